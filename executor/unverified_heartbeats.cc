#include "executor/unverified_heartbeats.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// Maximum number of incarnations whose heartbeats are held.
constexpr size_t kMaxIncarnations = 8;

}  // namespace

void UnverifiedHeartbeats::Add(const RunnerHeartbeat& heartbeat, MonoTime now) {
  auto held = m_entries.find(heartbeat.m_process_incarnation);
  if (held == m_entries.end()) {
    if (m_entries.size() >= kMaxIncarnations) {
      return;
    }
    held = m_entries
               .emplace(heartbeat.m_process_incarnation,
                        Entry{RunnerDescription(), now})
               .first;
  }
  held->second.m_description.Add(heartbeat, now);
}

bool UnverifiedHeartbeats::Includes(const RunnerHeartbeat& heartbeat) const {
  const auto held = m_entries.find(heartbeat.m_process_incarnation);
  return held != m_entries.end() &&
         held->second.m_description.Includes(heartbeat);
}

std::optional<RunnerDescription> UnverifiedHeartbeats::Take(
    const RunnerIncarnation& incarnation) {
  auto taken = m_entries.extract(incarnation);
  if (taken.empty()) {
    return std::nullopt;
  }
  return std::move(taken.mapped().m_description);
}

void UnverifiedHeartbeats::RemoveRunner(const std::string& runner_id) {
  std::erase_if(m_entries,
                [&](const auto& item) { return item.first.m_id == runner_id; });
}

std::vector<RunnerIncarnation> UnverifiedHeartbeats::TakeDue(MonoTime now) {
  std::vector<RunnerIncarnation> due;
  for (auto& [incarnation, entry] : m_entries) {
    if (entry.m_next_poll_at <= now) {
      entry.m_next_poll_at = MonoTime::max();
      due.push_back(incarnation);
    }
  }
  return due;
}

void UnverifiedHeartbeats::RetryAt(const RunnerIncarnation& incarnation,
                                   MonoTime poll_at) {
  const auto found = m_entries.find(incarnation);
  if (found != m_entries.end()) {
    found->second.m_next_poll_at = poll_at;
  }
}

MonoTime UnverifiedHeartbeats::NextPollAt() const {
  MonoTime next = MonoTime::max();
  for (const auto& [incarnation, entry] : m_entries) {
    next = std::min(next, entry.m_next_poll_at);
  }
  return next;
}

}  // namespace comfreyshift
