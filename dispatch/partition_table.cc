#include "dispatch/partition_table.h"

#include <algorithm>
#include <map>
#include <set>

namespace comfreyshift {

namespace {

// Builds the table that follows another one.
class TableBuilder {
 public:
  TableBuilder(const PartitionTable& before, const TableChange& change)
      : m_before(before), m_after(before), m_change(change) {}

  PartitionTable Build(WallTime now, Milliseconds retention) {
    // The times in the table never decrease, even if this proposer's clock is
    // behind that of an earlier one.
    m_now = std::max(now, m_before.LatestChange());
    m_one_rack_before = AgentRacks(m_before.m_members).size() <= 1;
    PruneDeparted(retention);
    RemoveMembers();
    AddMembers();
    ResetSingleRackProtection();
    ReleasePartitions();
    AssignFreePartitions();
    Rebalance();
    return std::move(m_after);
  }

 private:
  static std::set<std::string> AgentRacks(const std::vector<Member>& members) {
    std::set<std::string> racks;
    for (const Member& member : members) {
      if (member.m_role == MemberRole::kAgent) {
        racks.insert(member.m_rack);
      }
    }
    return racks;
  }

  void PruneDeparted(Milliseconds retention) {
    std::erase_if(m_after.m_departed, [&](const DepartedMember& departed) {
      return departed.m_departed_at + retention + 2 * kAllowedClockError <
             m_now;
    });
  }

  void RemoveMembers() {
    std::map<ProcessId, bool> leaving;
    for (const ProcessId& id : m_change.m_leaving_cleanly) {
      leaving[id] = true;
    }
    for (const ProcessId& id : m_change.m_dead) {
      leaving[id] = false;
    }
    // A member that rejoins with a higher incarnation has lost its previous
    // one, which counts as dead.
    for (const Member& joining : m_change.m_joining) {
      for (const Member& member : m_before.m_members) {
        if (member.m_id.m_name == joining.m_id.m_name &&
            member.m_id.m_incarnation < joining.m_id.m_incarnation) {
          leaving.try_emplace(member.m_id, false);
        }
      }
    }
    std::erase_if(m_after.m_members, [&](const Member& member) {
      const auto found = leaving.find(member.m_id);
      if (found == leaving.end()) {
        return false;
      }
      m_removed[member.m_id] = member;
      if (member.m_role == MemberRole::kAgent) {
        m_after.m_departed.push_back(
            {member.m_id, member.m_rack, m_now, found->second});
      }
      return true;
    });
  }

  void AddMembers() {
    std::map<std::string, uint64_t> listed;
    for (const Member& member : m_after.m_members) {
      listed[member.m_id.m_name] = member.m_id.m_incarnation;
    }
    for (const Member& member : m_change.m_joining) {
      const auto found = listed.find(member.m_id.m_name);
      const bool departed = std::any_of(
          m_after.m_departed.begin(), m_after.m_departed.end(),
          [&](const DepartedMember& old) {
            return old.m_id.m_name == member.m_id.m_name &&
                   old.m_id.m_incarnation >= member.m_id.m_incarnation;
          });
      if (found != listed.end() || departed) {
        continue;
      }
      listed[member.m_id.m_name] = member.m_id.m_incarnation;
      m_after.m_members.push_back(member);
      if (member.m_role == MemberRole::kAgent) {
        m_joined.push_back(member.m_id);
      }
    }
    std::sort(m_after.m_members.begin(), m_after.m_members.end(),
              [](const Member& left, const Member& right) {
                return left.m_id < right.m_id;
              });
    for (const Member& member : m_after.m_members) {
      if (member.m_role == MemberRole::kAgent) {
        m_load[member.m_id] = 0;
      }
    }
  }

  // With a single rack, owners place tasks in their own rack, so that keys
  // first sent until now do not count as placed outside of it.
  void ResetSingleRackProtection() {
    if (!m_one_rack_before) {
      return;
    }
    for (Partition& partition : m_after.m_partitions) {
      if (partition.m_owner) {
        partition.m_rack_avoided_since = m_now;
      }
    }
  }

  void ReleasePartitions() {
    for (PartitionId id = 0; id < m_after.m_partitions.size(); ++id) {
      Partition& partition = m_after.m_partitions[id];
      if (!partition.m_owner) {
        m_free.push_back(id);
        continue;
      }
      const auto removed = m_removed.find(*partition.m_owner);
      if (removed == m_removed.end()) {
        ++m_load[*partition.m_owner];
        continue;
      }
      const std::string& rack = removed->second.m_rack;
      partition.m_unknown_before =
          std::max(partition.m_unknown_before,
                   UnknownBefore(PossibleRecordLosses(removed->first), rack,
                                 partition.m_rack_avoided_since));
      partition.m_previous_rack = rack;
      partition.m_previous_rack_avoided_since = partition.m_rack_avoided_since;
      partition.m_moved_from_live_owner = false;
      partition.m_owner.reset();
      m_free.push_back(id);
    }
  }

  // Returns the departures whose records may be lost together with the copies
  // of this owner. An owner that leaves cleanly handed over its copies, so that
  // only members lost since the handover may have had them.
  std::vector<DepartedMember> PossibleRecordLosses(
      const ProcessId& owner) const {
    std::vector<DepartedMember> lost = m_after.m_departed;
    const bool clean =
        std::any_of(lost.begin(), lost.end(), [&](const DepartedMember& item) {
          return item.m_id == owner && item.m_clean;
        });
    if (clean) {
      std::erase_if(lost, [&](const DepartedMember& item) {
        return item.m_departed_at + kTakeoverTime <= m_now;
      });
    }
    return lost;
  }

  void AssignFreePartitions() {
    if (m_load.empty()) {
      return;
    }
    std::set<std::pair<uint32_t, ProcessId>> by_load;
    for (const auto& [id, load] : m_load) {
      by_load.emplace(load, id);
    }
    for (const PartitionId id : m_free) {
      auto least = by_load.extract(by_load.begin());
      Partition& partition = m_after.m_partitions[id];
      partition.m_owner = least.value().second;
      partition.m_rack_avoided_since = RackAvoidedSince(partition);
      partition.m_moved_at = m_now;
      ++partition.m_epoch;
      m_load[*partition.m_owner] = ++least.value().first;
      by_load.insert(std::move(least));
    }
  }

  // Returns since when no task of the partition was placed in the rack of its
  // owner, which must be the new one already.
  WallTime RackAvoidedSince(const Partition& partition) const {
    // Before its first owner, a partition had no keys.
    if (partition.m_epoch == 0) {
      return WallTime();
    }
    const Member* owner = m_after.Find(*partition.m_owner);
    return owner->m_rack == partition.m_previous_rack
               ? partition.m_previous_rack_avoided_since
               : m_now;
  }

  // Moves partitions from the owners that have more than an even share. These
  // stay alive and keep their copies, so that no outcome becomes unknown.
  void Rebalance() {
    if (m_joined.empty()) {
      return;
    }
    const auto share =
        static_cast<uint32_t>(m_after.m_partitions.size() / m_load.size());
    auto receiver = m_load.begin();
    for (Partition& partition : m_after.m_partitions) {
      while (receiver != m_load.end() && receiver->second >= share) {
        ++receiver;
      }
      if (receiver == m_load.end()) {
        return;
      }
      if (partition.m_owner && m_load[*partition.m_owner] > share &&
          !IsTakeoverRecent(partition)) {
        Move(partition, receiver->first);
      }
    }
  }

  // Rebalancing skips a partition while its new owner may still be collecting
  // records.
  bool IsTakeoverRecent(const Partition& partition) const {
    return !m_after.m_departed.empty() &&
           partition.m_moved_at + kTakeoverTime > m_now;
  }

  void Move(Partition& partition, const ProcessId& to) {
    --m_load[*partition.m_owner];
    partition.m_previous_rack = m_after.Find(*partition.m_owner)->m_rack;
    partition.m_previous_rack_avoided_since = partition.m_rack_avoided_since;
    partition.m_moved_from_live_owner = true;
    partition.m_moved_at = m_now;
    partition.m_owner = to;
    ++partition.m_epoch;
    ++m_load[to];
  }

  const PartitionTable& m_before;
  PartitionTable m_after;
  const TableChange& m_change;
  WallTime m_now;
  bool m_one_rack_before = false;
  std::map<ProcessId, Member> m_removed;
  std::vector<ProcessId> m_joined;
  std::map<ProcessId, uint32_t> m_load;
  std::vector<PartitionId> m_free;
};

}  // namespace

const Member* PartitionTable::Find(const ProcessId& id) const {
  const auto found =
      std::lower_bound(m_members.begin(), m_members.end(), id,
                       [](const Member& member, const ProcessId& wanted) {
                         return member.m_id < wanted;
                       });
  if (found != m_members.end() && found->m_id == id) {
    return &*found;
  }
  return nullptr;
}

std::optional<WallTime> PartitionTable::CleanDepartureTime(
    const ProcessId& id) const {
  for (const DepartedMember& departed : m_departed) {
    if (departed.m_id == id && departed.m_clean) {
      return departed.m_departed_at;
    }
  }
  return std::nullopt;
}

bool PartitionTable::MissingRecordProvesNotStarted(
    const ProcessId& agent) const {
  const auto left_at = CleanDepartureTime(agent);
  // A member lost since the handover may have adopted the agent's records.
  return left_at && LatestLoss() + kTakeoverTime < *left_at;
}

WallTime PartitionTable::LatestChange() const {
  WallTime latest;
  for (const Partition& partition : m_partitions) {
    latest = std::max(latest, partition.m_moved_at);
    latest = std::max(latest, partition.m_rack_avoided_since);
  }
  for (const DepartedMember& departed : m_departed) {
    latest = std::max(latest, departed.m_departed_at);
  }
  return latest;
}

WallTime PartitionTable::LatestLoss() const {
  WallTime latest;
  for (const DepartedMember& departed : m_departed) {
    if (!departed.m_clean) {
      latest = std::max(latest, departed.m_departed_at);
    }
  }
  return latest;
}

WallTime UnknownBefore(const std::vector<DepartedMember>& departed,
                       const std::string& owner_rack,
                       WallTime rack_avoided_since) {
  WallTime unknown_before;
  for (const DepartedMember& member : departed) {
    if (member.m_clean) {
      continue;
    }
    WallTime bound = member.m_departed_at;
    if (member.m_rack == owner_rack) {
      bound = std::min(bound, rack_avoided_since);
    }
    unknown_before = std::max(unknown_before, bound);
  }
  return unknown_before;
}

PartitionTable ApplyChange(const PartitionTable& table,
                           const TableChange& change,
                           WallTime now,
                           Milliseconds retention) {
  return TableBuilder(table, change).Build(now, retention);
}

PartitionTable MakeEmptyTable(uint32_t partition_count) {
  PartitionTable table;
  table.m_partitions.resize(partition_count);
  return table;
}

}  // namespace comfreyshift
