#include "executor/run_table.h"

#include <algorithm>

namespace comfreyshift {

void RunTable::Run::SetState(State state, MonoTime now) {
  m_state = state;
  m_state_since = now;
}

void RunTable::Run::RequestStop(MonoTime now) {
  if (m_state == State::kStarting || m_state == State::kRunning) {
    SetState(State::kStopping, now);
    m_next_stop_at = now;
  }
}

void RunTable::Run::Abandon(MonoTime due_at, MonoTime now) {
  RequestStop(now);
  m_stop_due_at = std::min(m_stop_due_at, due_at);
}

std::pair<RunTable::Iterator, bool> RunTable::Add(const ProcessId& entry,
                                                  const StartRun& start,
                                                  MonoTime now) {
  const auto result = m_runs.try_emplace(start.m_run);
  if (!result.second) {
    return result;
  }
  Run& run = result.first->second;
  run.m_entry = entry;
  run.m_start = start;
  run.m_state_since = now;
  return result;
}

Resources RunTable::CapacityAfterAllRuns(Resources capacity) const {
  for (const auto& [key, run] : m_runs) {
    capacity -= run.m_start.m_demand;
  }
  return capacity;
}

Resources RunTable::UnreservedCapacity(Resources capacity) const {
  for (const auto& [key, run] : m_runs) {
    if (run.HoldsReservation()) {
      capacity -= run.m_start.m_demand;
    }
  }
  return capacity;
}

size_t RunTable::CountReservations() const {
  return static_cast<size_t>(std::ranges::count_if(
      m_runs, [](const auto& item) { return item.second.HoldsReservation(); }));
}

size_t RunTable::CountStarting() const {
  return static_cast<size_t>(
      std::ranges::count_if(m_runs, [](const auto& item) {
        return item.second.m_state == State::kStarting;
      }));
}

std::vector<RunTable::Iterator> RunTable::WaitingByPriority() {
  std::vector<Iterator> waiting;
  for (auto found = m_runs.begin(); found != m_runs.end(); ++found) {
    if (!found->second.HoldsReservation()) {
      waiting.push_back(found);
    }
  }
  std::ranges::stable_sort(waiting, {}, [](const auto& found) {
    return found->second.m_start.m_queue_priority;
  });
  return waiting;
}

bool RunTable::HasOtherRun(Iterator found) const {
  const TaskKey& task = found->first.m_task;
  const auto first = m_runs.lower_bound(RunKey{task, 0});
  for (auto other = first; other != m_runs.end() && other->first.m_task == task;
       ++other) {
    if (other != found && other->second.HoldsReservation()) {
      return true;
    }
  }
  return false;
}

bool RunTable::NeedsLease() const {
  return std::ranges::any_of(m_runs, [](const auto& item) {
    return item.second.HoldsReservation() && !item.second.m_is_reported;
  });
}

bool RunTable::IsStopOverdue(MonoTime now) const {
  return std::ranges::any_of(m_runs, [now](const auto& item) {
    const Run& run = item.second;
    return run.m_state == State::kStopping && run.m_stop_due_at <= now;
  });
}

std::vector<RunKey> RunTable::TakeDueStops(MonoTime now,
                                           MonoTime next_stop_at) {
  std::vector<RunKey> due;
  for (auto& [key, run] : m_runs) {
    if (run.m_state == State::kStopping && run.m_next_stop_at <= now) {
      run.m_next_stop_at = next_stop_at;
      due.push_back(key);
    }
  }
  return due;
}

MonoTime RunTable::NextDeadline(MonoTime now) const {
  MonoTime next = MonoTime::max();
  for (const auto& [key, run] : m_runs) {
    if (run.m_start.m_abandon_at > now) {
      next = std::min(next, run.m_start.m_abandon_at);
    }
    if (run.m_state == State::kWaiting) {
      next = std::min(next, run.m_start.m_queue_until);
    }
    if (run.m_state == State::kStarting) {
      next = std::min(next, run.m_retry_at);
    }
    if (run.m_state == State::kStopping) {
      next = std::min(next, run.m_next_stop_at);
    }
  }
  return next;
}

}  // namespace comfreyshift
