#include "dispatch/takeover.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

constexpr Milliseconds kRetryDelay{100};
// An agent that refused knows a newer table, which arrives here soon.
constexpr Milliseconds kRefusedDelay{1000};

// True when an agent of `before` has left cleanly by `after`.
bool HasCleanLeaver(const PartitionTable& before, const PartitionTable& after) {
  return std::any_of(before.m_members.begin(), before.m_members.end(),
                     [&](const Member& member) {
                       return member.m_role == MemberRole::kAgent &&
                              after.Find(member.m_id) == nullptr &&
                              after.LeftCleanlyAt(member.m_id);
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
    Gain gain;
    gain.m_epoch = partition.m_epoch;
    gain.m_unknown_before = partition.m_unknown_before;
    round.m_gains[id] = gain;
  }
  // Agents may have been lost after the move and before this table.
  CountLostSinceMove(round);
  AwaitAllAgents(now, round);
  m_rounds[m_next_round++] = std::move(round);
}

void Takeovers::AwaitAllAgents(MonoTime now, Round& round) const {
  round.m_awaited.clear();
  for (const Member& member : m_table->m_members) {
    if (member.m_role == MemberRole::kAgent) {
      round.m_awaited[member.m_id] = now;
    }
  }
}

void Takeovers::Recheck(MonoTime now,
                        const std::map<PartitionId, WallTime>& partitions) {
  if (partitions.empty()) {
    return;
  }
  Round round;
  for (const auto& [id, unknown_before] : partitions) {
    Gain gain;
    gain.m_epoch = m_table->m_partitions[id].m_epoch;
    gain.m_history = unknown_before;
    gain.m_rechecked = true;
    round.m_gains[id] = gain;
  }
  AwaitAllAgents(now, round);
  m_rounds[m_next_round++] = std::move(round);
}

void Takeovers::SetTable(MonoTime now,
                         std::shared_ptr<const PartitionTable> table) {
  const bool restart = m_table != nullptr && HasCleanLeaver(*m_table, *table);
  m_table = std::move(table);
  std::map<uint64_t, Round> rounds;
  for (auto& [id, round] : std::exchange(m_rounds, {})) {
    RemoveGoneAgents(round);
    // The records of the one that left may be at agents that replied before
    // they had them. Replies to commands of the old round must not count.
    if (restart) {
      AwaitAllAgents(now, round);
    }
    rounds[restart ? m_next_round++ : id] = std::move(round);
  }
  m_rounds = std::move(rounds);
}

void Takeovers::RemoveGoneAgents(Round& round) const {
  bool lost = false;
  std::erase_if(round.m_awaited, [&](const auto& item) {
    const bool gone = m_table->Find(item.first) == nullptr;
    lost = lost || (gone && !m_table->LeftCleanlyAt(item.first));
    return gone;
  });
  if (lost) {
    CountLostSinceMove(round);
  }
}

void Takeovers::CountLostSinceMove(Round& round) const {
  for (auto& [id, gain] : round.m_gains) {
    const Partition& partition = m_table->m_partitions[id];
    std::vector<DepartedMember> lost = m_table->m_departed;
    std::erase_if(lost, [&](const DepartedMember& departed) {
      return departed.m_departed_at < partition.m_moved_at;
    });
    // One that left cleanly may have handed records to the rack that the owner
    // before avoided.
    const bool any_rack =
        std::any_of(lost.begin(), lost.end(),
                    [](const DepartedMember& item) { return item.m_clean; });
    gain.m_unknown_before =
        std::max(gain.m_unknown_before,
                 any_rack ? m_table->LatestLoss()
                          : UnknownBefore(lost, partition.m_previous_rack,
                                          partition.m_previous_since));
  }
}

void Takeovers::Cancel(PartitionId partition) {
  for (auto& [id, round] : m_rounds) {
    round.m_gains.erase(partition);
  }
  std::erase_if(m_rounds,
                [](const auto& item) { return item.second.m_gains.empty(); });
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
  const auto awaited = round.m_awaited.find(from);
  if (awaited == round.m_awaited.end()) {
    return false;
  }
  if (!reply.m_accepted) {
    awaited->second = now + kRefusedDelay;
    return false;
  }
  round.m_awaited.erase(awaited);
  for (const PartitionHistory& history : reply.m_histories) {
    const auto gain = round.m_gains.find(history.m_partition);
    if (gain != round.m_gains.end() && !gain->second.m_rechecked &&
        history.m_epoch + 1 == gain->second.m_epoch) {
      gain->second.m_history = history.m_unknown_before;
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
  const auto awaited = found->second.m_awaited.find(from);
  if (awaited != found->second.m_awaited.end()) {
    awaited->second = now + kRetryDelay;
  }
}

void Takeovers::Tick(MonoTime now, std::vector<OwnerAction>& actions) {
  for (auto& [id, round] : m_rounds) {
    CollectCommand command{id, m_self, {}};
    for (auto& [agent, ask_at] : round.m_awaited) {
      if (ask_at > now) {
        continue;
      }
      if (command.m_partitions.empty()) {
        for (const auto& [partition, gain] : round.m_gains) {
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
    for (const auto& [agent, ask_at] : round.m_awaited) {
      next = std::min(next, ask_at);
    }
  }
  return next;
}

std::optional<WallTime> Takeovers::UnknownBeforeOf(PartitionId partition,
                                                   const Gain& gain,
                                                   const ChangeLog& log) const {
  // An owner that lives has copies of what any other member lost.
  if (gain.m_history) {
    return gain.m_history;
  }
  // The owner before may not have finished its own takeover, and then no one
  // knows whether it had the records of the members that are gone.
  const bool incomplete = m_table->m_partitions[partition].m_moved_alive;
  return log.InForce(
      incomplete ? std::max(gain.m_unknown_before, m_table->LatestLoss())
                 : gain.m_unknown_before);
}

std::vector<Takeovers::Served> Takeovers::TakeCompleted(const ChangeLog& log) {
  std::vector<Served> served;
  for (auto& [id, round] : m_rounds) {
    if (!round.m_awaited.empty()) {
      continue;
    }
    std::erase_if(round.m_gains, [&](const auto& item) {
      const auto unknown = UnknownBeforeOf(item.first, item.second, log);
      if (unknown) {
        served.push_back({item.first, *unknown});
      }
      return unknown.has_value();
    });
  }
  std::erase_if(m_rounds,
                [](const auto& item) { return item.second.m_gains.empty(); });
  return served;
}

}  // namespace comfreyshift
