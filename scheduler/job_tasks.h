#ifndef SCHEDULER_JOB_TASKS_H_
#define SCHEDULER_JOB_TASKS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/jobs.h"

namespace comfreyshift {

// The tasks of one job and which of them wait, run or are done. A task takes
// memory only from its first start to its end. Tasks are numbered through all
// steps.
class JobTasks {
 public:
  // What is known of a task that has been started.
  struct Attempts {
    // Number of the present or last run.
    uint64_t m_run_number = 0;
    uint32_t m_failures = 0;
    // Agent of the last run that was not done; empty for none.
    std::string m_last_failed_agent;
  };
  struct Position {
    uint32_t m_step = 0;
    // Within the step.
    uint32_t m_index = 0;
  };

  JobTasks() = default;
  explicit JobTasks(const std::vector<Step>& steps);

  size_t size() const { return m_size; }
  size_t done() const { return m_done; }
  bool has_waiting() const { return !m_returned.empty() || m_next < m_size; }
  // Returns how many tasks of a step wait.
  uint32_t CountWaiting(size_t step) const { return m_waiting[step]; }

  // Returns the waiting task of the lowest number, if any waits.
  std::optional<size_t> FirstWaiting() const;
  Position Locate(size_t task) const;
  // Agent of the last run of a waiting task that was not done.
  const std::string& LastFailedAgent(size_t task) const;

  // `task` is the first that waits.
  void OnPlaced(size_t task, uint64_t run_number);
  void OnDone(size_t task);
  // A run was not done, so that the task waits again. Returns how often it has
  // failed, with this run if `has_failed` is set.
  uint32_t OnReturned(size_t task, const std::string& agent, bool has_failed);

  // The tasks that are placed, by their number.
  const std::map<size_t, Attempts>& placed() const { return m_placed; }

 private:
  size_t m_size = 0;
  size_t m_done = 0;
  // The tasks from this one on have not been started.
  size_t m_next = 0;
  // Number of the first task of each step.
  std::vector<size_t> m_first_of_step;
  // Number of waiting tasks of each step.
  std::vector<uint32_t> m_waiting;
  // Started tasks that wait again.
  std::map<size_t, Attempts> m_returned;
  std::map<size_t, Attempts> m_placed;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_JOB_TASKS_H_
