#ifndef JOBS_RUN_H_
#define JOBS_RUN_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyshift {

// One task of a job.
struct TaskKey {
  std::string m_job;
  uint32_t m_step = 0;
  uint32_t m_index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

// One start of a task. Numbers of a task's runs rise over time, also when the
// job is sent again to another entry.
struct RunKey {
  TaskKey m_task;
  uint64_t m_number = 0;

  auto operator<=>(const RunKey&) const = default;
};

// How a run ended, as an agent reports it.
enum class RunOutcome : uint8_t {
  kDone,
  // It failed by its own fault or the runner's.
  kFailed,
  // It was stopped or its lease lapsed. Its work is lost.
  kStopped,
  // It has not started and never will.
  kNotStarted,
};

std::string_view ToString(RunOutcome outcome);

}  // namespace comfreyshift

#endif  // JOBS_RUN_H_
