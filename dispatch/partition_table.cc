#include "dispatch/partition_table.h"

#include <algorithm>
#include <map>
#include <set>

namespace comfreyshift {

namespace {

// Builds the table that follows another one.
class TablePlan {
 public:
  TablePlan(const PartitionTable& before, const TableChange& change)
      : m_before(before), m_after(before), m_change(change) {}

  PartitionTable Make(WallTime now, Milliseconds retention) {
    // The table's times never go back, whichever clock its proposer has.
    m_now = std::max(now, m_before.LatestChange());
    m_one_rack_before = Racks(m_before.m_members).size() <= 1;
    PruneDeparted(retention);
    RemoveMembers();
    AddMembers();
    GuardOneRack();
    ReleasePartitions();
    AssignFreePartitions();
    Rebalance();
    return std::move(m_after);
  }

 private:
  static std::set<std::string> Racks(const std::vector<Member>& members) {
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
    // A member that joins again with a higher incarnation is gone as it was.
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

  // With a single rack, owners place tasks in their own rack: keys first sent
  // until now are not protected by the choice of another rack.
  void GuardOneRack() {
    if (!m_one_rack_before) {
      return;
    }
    for (Partition& partition : m_after.m_partitions) {
      if (partition.m_owner) {
        partition.m_owner_since = m_now;
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
                   UnknownBefore(LostWith(removed->first), rack,
                                 partition.m_owner_since));
      partition.m_previous_rack = rack;
      partition.m_previous_since = partition.m_owner_since;
      partition.m_moved_alive = false;
      partition.m_owner.reset();
      m_free.push_back(id);
    }
  }

  // Departures whose records may be lost together with this owner's copies. One
  // that leaves cleanly handed its copies over: only members lost since then
  // may have had them.
  std::vector<DepartedMember> LostWith(const ProcessId& owner) const {
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
      partition.m_owner_since = SinceOf(partition);
      partition.m_moved_at = m_now;
      ++partition.m_epoch;
      m_load[*partition.m_owner] = ++least.value().first;
      by_load.insert(std::move(least));
    }
  }

  // Returns since when no task of the partition, which has its new owner now,
  // was placed in that owner's rack.
  WallTime SinceOf(const Partition& partition) const {
    // A first owner has no keys from before its time.
    if (partition.m_epoch == 0) {
      return WallTime();
    }
    const Member* owner = m_after.Find(*partition.m_owner);
    return owner->m_rack == partition.m_previous_rack
               ? partition.m_previous_since
               : m_now;
  }

  // Moves partitions from the owners that have more than an even share. Their
  // owners live on and keep their copies, so nothing becomes unknown.
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

  // A partition stays where it is while its new owner may still collect.
  bool IsTakeoverRecent(const Partition& partition) const {
    return !m_after.m_departed.empty() &&
           partition.m_moved_at + kTakeoverTime > m_now;
  }

  void Move(Partition& partition, const ProcessId& to) {
    --m_load[*partition.m_owner];
    partition.m_previous_rack = m_after.Find(*partition.m_owner)->m_rack;
    partition.m_previous_since = partition.m_owner_since;
    partition.m_moved_alive = true;
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

std::optional<WallTime> PartitionTable::LeftCleanlyAt(
    const ProcessId& id) const {
  for (const DepartedMember& departed : m_departed) {
    if (departed.m_id == id && departed.m_clean) {
      return departed.m_departed_at;
    }
  }
  return std::nullopt;
}

bool PartitionTable::NeverStartedAt(const ProcessId& agent) const {
  const auto left_at = LeftCleanlyAt(agent);
  // A member lost meanwhile may have had the records that it handed over.
  return left_at && LatestLoss() + kTakeoverTime < *left_at;
}

WallTime PartitionTable::LatestChange() const {
  WallTime latest;
  for (const Partition& partition : m_partitions) {
    latest = std::max(latest, partition.m_moved_at);
    latest = std::max(latest, partition.m_owner_since);
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
                       WallTime owner_since) {
  WallTime unknown_before;
  for (const DepartedMember& member : departed) {
    if (member.m_clean) {
      continue;
    }
    WallTime bound = member.m_departed_at;
    if (member.m_rack == owner_rack) {
      bound = std::min(bound, owner_since);
    }
    unknown_before = std::max(unknown_before, bound);
  }
  return unknown_before;
}

PartitionTable ApplyChange(const PartitionTable& table,
                           const TableChange& change,
                           WallTime now,
                           Milliseconds retention) {
  return TablePlan(table, change).Make(now, retention);
}

PartitionTable MakeEmptyTable(uint32_t partition_count) {
  PartitionTable table;
  table.m_partitions.resize(partition_count);
  return table;
}

}  // namespace comfreyshift
