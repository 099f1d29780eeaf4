#ifndef JOBS_RUN_H_
#define JOBS_RUN_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyshift {

// Identifies one task of a job.
struct TaskKey {
  std::string m_job;
  uint32_t m_step = 0;
  uint32_t m_index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

// Identifies one run of a task. Run numbers of a task rise over time, also when
// the job is sent again to another entry.
struct RunKey {
  TaskKey m_task;
  uint64_t m_number = 0;

  auto operator<=>(const RunKey&) const = default;
};

// How a run ended, as an agent reports it.
enum class RunOutcome : uint8_t {
  kDone,
  // It failed, because of the task or the runner.
  kFailed,
  // It was stopped or its lease expired. Its work is lost.
  kStopped,
  // It has not started and never will.
  kNotStarted,
};

std::string_view ToString(RunOutcome outcome);

}  // namespace comfreyshift

#endif  // JOBS_RUN_H_
