#ifndef EXECUTOR_RUNNER_OBSERVATION_H_
#define EXECUTOR_RUNNER_OBSERVATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "executor/actions.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// What came of an order to start a run.
enum class StartAnswer : uint8_t {
  kStarted,
  // The runner did nothing, for another reason than those below.
  kRejected,
  // A run of the task with a higher or the same number has ended there.
  kNumberTooLow,
  // The runner has seen a higher fencing token.
  kFenced,
  // The runner says it is unhealthy; it did nothing.
  kUnhealthy,
  // Another life of the runner answered; it did nothing.
  kOtherLife,
  // The order was not sent.
  kNotSent,
  // There was no answer; the order may still be carried out at any time.
  kUnknown,
};

// What came of an order to stop a run.
enum class StopAnswer : uint8_t {
  kAccepted,
  kFenced,
  kOtherLife,
  kUnknown,
};

// A run that the runner is working on.
struct RunningRow {
  RunKey m_run;
  // Progress in percent.
  double m_percent = 0.0;
};

// A run that has ended, and its number in the runner's list of ends.
struct EndedRow {
  uint64_t m_number = 0;
  RunKey m_run;
  RunOutcome m_outcome = RunOutcome::kStopped;
};

// The lists of runs that one look returned.
struct RunnerLists {
  RunnerTime m_clock{0};
  // Birth time of the life that answered, if it said so.
  std::optional<int64_t> m_born_ms;
  std::vector<RunningRow> m_running;
  std::vector<EndedRow> m_ended;
};

// Why a look returned no lists.
enum class LookFailure : uint8_t { kNoAnswer, kFenced, kOtherLife, kRejected };

}  // namespace comfreyshift

#endif  // EXECUTOR_RUNNER_OBSERVATION_H_
