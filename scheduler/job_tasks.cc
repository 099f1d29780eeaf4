#include "scheduler/job_tasks.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

JobTasks::JobTasks(const std::vector<Step>& steps) {
  m_first_of_step.reserve(steps.size());
  m_waiting.reserve(steps.size());
  for (const Step& step : steps) {
    m_first_of_step.push_back(m_size);
    m_waiting.push_back(step.m_count);
    m_size += step.m_count;
  }
}

std::optional<size_t> JobTasks::FirstWaiting() const {
  if (!m_returned.empty()) {
    return m_returned.begin()->first;
  }
  return m_next < m_size ? std::optional(m_next) : std::nullopt;
}

JobTasks::Position JobTasks::Locate(size_t task) const {
  const auto after = std::ranges::upper_bound(m_first_of_step, task);
  const auto step = static_cast<size_t>(after - m_first_of_step.begin()) - 1;
  return {static_cast<uint32_t>(step),
          static_cast<uint32_t>(task - m_first_of_step[step])};
}

const std::string& JobTasks::LastFailedAgent(size_t task) const {
  static const std::string none;
  const auto found = m_returned.find(task);
  return found == m_returned.end() ? none : found->second.m_last_failed_agent;
}

void JobTasks::OnPlaced(size_t task, uint64_t run_number) {
  Attempts attempts;
  if (const auto returned = m_returned.find(task);
      returned != m_returned.end()) {
    attempts = std::move(returned->second);
    m_returned.erase(returned);
  } else {
    ++m_next;
  }
  attempts.m_run_number = run_number;
  m_placed[task] = std::move(attempts);
  --m_waiting[Locate(task).m_step];
}

void JobTasks::OnDone(size_t task) {
  m_placed.erase(task);
  ++m_done;
}

uint32_t JobTasks::OnReturned(size_t task,
                              const std::string& agent,
                              bool has_failed) {
  Attempts& attempts = m_returned[task];
  attempts = std::move(m_placed.at(task));
  m_placed.erase(task);
  ++m_waiting[Locate(task).m_step];
  attempts.m_last_failed_agent = agent;
  attempts.m_failures += has_failed ? 1 : 0;
  return attempts.m_failures;
}

}  // namespace comfreyshift
