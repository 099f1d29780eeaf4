#include "dispatch/takeover.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

constexpr Milliseconds kRetryDelay{100};
// An agent that refused a command knows a newer table, which will arrive at
// this process soon.
constexpr Milliseconds kRejectedRetryDelay{1000};

// True if an agent of `before` left cleanly and is not in `after`.
bool HasCleanDeparture(const PartitionTable& before,
                       const PartitionTable& after) {
  return std::any_of(before.m_members.begin(), before.m_members.end(),
                     [&](const Member& member) {
                       return member.m_role == MemberRole::kAgent &&
                              after.Find(member.m_id) == nullptr &&
                              after.CleanDepartureTime(member.m_id);
                     });
}

}  // namespace

void Takeovers::Begin(MonoTime now,
                      std::shared_ptr<const PartitionTable> table,
                      const std::vector<PartitionId>& partitions) {
  m_table = std::move(table);
  if (partitions.empty()) {
    return;
  }
  Round round;
  for (const PartitionId id : partitions) {
    const Partition& partition = m_table->m_partitions[id];
    GainedPartition gain;
    gain.m_epoch = partition.m_epoch;
    gain.m_unknown_before = partition.m_unknown_before;
    round.m_gained_partitions[id] = gain;
  }
  // Agents may have been lost after the move and before the first table with it
  // that this process received.
  IncludeLossesSinceMove(round);
  AwaitAllAgents(now, round);
  m_rounds[m_next_round++] = std::move(round);
}

void Takeovers::AwaitAllAgents(MonoTime now, Round& round) const {
  round.m_awaited_agents.clear();
  for (const Member& member : m_table->m_members) {
    if (member.m_role == MemberRole::kAgent) {
      round.m_awaited_agents[member.m_id] = now;
    }
  }
}

void Takeovers::Recollect(MonoTime now,
                          const std::map<PartitionId, WallTime>& partitions) {
  if (partitions.empty()) {
    return;
  }
  Round round;
  for (const auto& [id, unknown_before] : partitions) {
    GainedPartition gain;
    gain.m_epoch = m_table->m_partitions[id].m_epoch;
    gain.m_reported_unknown_before = unknown_before;
    gain.m_recollected = true;
    round.m_gained_partitions[id] = gain;
  }
  AwaitAllAgents(now, round);
  m_rounds[m_next_round++] = std::move(round);
}

void Takeovers::SetTable(MonoTime now,
                         std::shared_ptr<const PartitionTable> table) {
  const bool restart =
      m_table != nullptr && HasCleanDeparture(*m_table, *table);
  m_table = std::move(table);
  std::map<uint64_t, Round> rounds;
  for (auto& [id, round] : std::exchange(m_rounds, {})) {
    RemoveDepartedAgents(round);
    // Agents that already replied may have adopted records of the leaving agent
    // after their reply. All agents are asked again in a round with a new id,
    // so that replies to commands of the old round are ignored.
    if (restart) {
      AwaitAllAgents(now, round);
    }
    rounds[restart ? m_next_round++ : id] = std::move(round);
  }
  m_rounds = std::move(rounds);
}

void Takeovers::RemoveDepartedAgents(Round& round) const {
  bool lost = false;
  std::erase_if(round.m_awaited_agents, [&](const auto& item) {
    const bool gone = m_table->Find(item.first) == nullptr;
    lost = lost || (gone && !m_table->CleanDepartureTime(item.first));
    return gone;
  });
  if (lost) {
    IncludeLossesSinceMove(round);
  }
}

void Takeovers::IncludeLossesSinceMove(Round& round) const {
  for (auto& [id, gain] : round.m_gained_partitions) {
    const Partition& partition = m_table->m_partitions[id];
    std::vector<DepartedMember> lost = m_table->m_departed;
    std::erase_if(lost, [&](const DepartedMember& departed) {
      return departed.m_departed_at < partition.m_moved_at;
    });
    // An agent that left cleanly may have handed over records to the rack that
    // the previous owner avoided, so a loss in any rack counts.
    const bool any_rack =
        std::any_of(lost.begin(), lost.end(),
                    [](const DepartedMember& item) { return item.m_clean; });
    gain.m_unknown_before = std::max(
        gain.m_unknown_before,
        any_rack ? m_table->LatestLoss()
                 : UnknownBefore(lost, partition.m_previous_rack,
                                 partition.m_previous_rack_avoided_since));
  }
}

void Takeovers::Cancel(PartitionId partition) {
  for (auto& [id, round] : m_rounds) {
    round.m_gained_partitions.erase(partition);
  }
  std::erase_if(m_rounds, [](const auto& item) {
    return item.second.m_gained_partitions.empty();
  });
}

bool Takeovers::OnReply(MonoTime now,
                        const ProcessId& from,
                        const CollectCommand& command,
                        const CollectReply& reply) {
  const auto found = m_rounds.find(command.m_round);
  if (found == m_rounds.end()) {
    return false;
  }
  Round& round = found->second;
  const auto awaited = round.m_awaited_agents.find(from);
  if (awaited == round.m_awaited_agents.end()) {
    return false;
  }
  if (!reply.m_accepted) {
    awaited->second = now + kRejectedRetryDelay;
    return false;
  }
  round.m_awaited_agents.erase(awaited);
  for (const PartitionHistory& history : reply.m_histories) {
    const auto gain = round.m_gained_partitions.find(history.m_partition);
    if (gain != round.m_gained_partitions.end() &&
        !gain->second.m_recollected &&
        history.m_epoch + 1 == gain->second.m_epoch) {
      gain->second.m_reported_unknown_before = history.m_unknown_before;
    }
  }
  return true;
}

void Takeovers::OnLost(MonoTime now,
                       const ProcessId& from,
                       const CollectCommand& command) {
  const auto found = m_rounds.find(command.m_round);
  if (found == m_rounds.end()) {
    return;
  }
  const auto awaited = found->second.m_awaited_agents.find(from);
  if (awaited != found->second.m_awaited_agents.end()) {
    awaited->second = now + kRetryDelay;
  }
}

void Takeovers::Tick(MonoTime now, std::vector<OwnerAction>& actions) {
  for (auto& [id, round] : m_rounds) {
    CollectCommand command{id, m_self, {}};
    for (auto& [agent, ask_at] : round.m_awaited_agents) {
      if (ask_at > now) {
        continue;
      }
      if (command.m_partitions.empty()) {
        for (const auto& [partition, gain] : round.m_gained_partitions) {
          command.m_partitions.push_back({partition, gain.m_epoch});
        }
      }
      ask_at = MonoTime::max();
      actions.emplace_back(SendCollect{agent, command});
    }
  }
}

MonoTime Takeovers::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const auto& [id, round] : m_rounds) {
    for (const auto& [agent, ask_at] : round.m_awaited_agents) {
      next = std::min(next, ask_at);
    }
  }
  return next;
}

std::optional<WallTime> Takeovers::ResolveUnknownBefore(
    PartitionId partition,
    const GainedPartition& gain,
    const TableChangeTracker& table_changes) const {
  // A live owner has copies of the records that any other member lost.
  if (gain.m_reported_unknown_before) {
    return gain.m_reported_unknown_before;
  }
  // The previous owner may not have completed its own takeover. It is then
  // unknown whether it had the records of members that were lost.
  const bool incomplete =
      m_table->m_partitions[partition].m_moved_from_live_owner;
  return table_changes.EffectiveSince(
      incomplete ? std::max(gain.m_unknown_before, m_table->LatestLoss())
                 : gain.m_unknown_before);
}

std::vector<Takeovers::CompletedTakeover> Takeovers::TakeCompleted(
    const TableChangeTracker& table_changes) {
  std::vector<CompletedTakeover> served;
  for (auto& [id, round] : m_rounds) {
    if (!round.m_awaited_agents.empty()) {
      continue;
    }
    std::erase_if(round.m_gained_partitions, [&](const auto& item) {
      const auto unknown =
          ResolveUnknownBefore(item.first, item.second, table_changes);
      if (unknown) {
        served.push_back({item.first, *unknown});
      }
      return unknown.has_value();
    });
  }
  std::erase_if(m_rounds, [](const auto& item) {
    return item.second.m_gained_partitions.empty();
  });
  return served;
}

}  // namespace comfreyshift
