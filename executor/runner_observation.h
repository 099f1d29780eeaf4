#ifndef EXECUTOR_RUNNER_OBSERVATION_H_
#define EXECUTOR_RUNNER_OBSERVATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "executor/actions.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// Result of a request to start a run.
enum class StartResult : uint8_t {
  kStarted,
  // The runner did not start it, for another reason than those below.
  kRejected,
  // A run of the task with the same or a higher number has ended on the runner.
  kNumberTooLow,
  // The runner has seen a higher fencing token.
  kFenced,
  // The runner reports that it is unhealthy; it did not start the run.
  kUnhealthy,
  // Another incarnation of the runner responded; it did not start the run.
  kOtherIncarnation,
  // The request was not sent.
  kNotSent,
  // There was no response in time; the request may still be carried out at any
  // time.
  kNoResponse,
  // The response does not show whether the run has started or will.
  kUnknown,
};

// Result of a request to stop a run.
enum class StopResult : uint8_t {
  kAccepted,
  kFenced,
  kOtherIncarnation,
  kUnknown,
};

// A run in progress on the runner.
struct ActiveRun {
  RunKey m_run;
  // Progress in percent.
  double m_progress_percent = 0.0;
};

// A run that has ended, and its number in the runner's list of ends.
struct EndedRun {
  uint64_t m_number = 0;
  RunKey m_run;
  RunOutcome m_outcome = RunOutcome::kStopped;
};

// The lists of runs that a poll returned.
struct RunLists {
  RunnerTime m_clock{0};
  // Start time of the incarnation that responded; empty if it did not say.
  std::optional<int64_t> m_start_time_ms;
  std::vector<ActiveRun> m_running;
  std::vector<EndedRun> m_ended;
};

// Why a poll returned no lists.
enum class PollFailure : uint8_t {
  kNoResponse,
  kFenced,
  kOtherIncarnation,
  kRejected
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUNNER_OBSERVATION_H_
