#ifndef EXECUTOR_ACTIONS_H_
#define EXECUTOR_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/core.h"
#include "executor/end_evidence.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// A point in time on a runner's own steady clock.
using RunnerTime = std::chrono::milliseconds;

// Starts a run on the runner. Its result goes to OnStartRunResult.
struct StartRequest {
  RunnerIncarnation m_process_incarnation;
  RunKey m_run;
  SharedText m_payload;
  uint64_t m_fencing_token = 0;
  RunnerTime m_lease_until{0};
  // A response after this time counts as none.
  MonoTime m_give_up_at;
  // Number of earlier requests for this run, which got no response.
  uint32_t m_retries = 0;
  // The entry that placed the run, and what it knew then.
  std::string m_entry;
  OperatorKnowledge m_decided_on;
};

// Stops a run. Its result goes to OnStopRunResult.
struct StopRequest {
  RunnerIncarnation m_process_incarnation;
  RunKey m_run;
  uint64_t m_fencing_token = 0;
  // A response after this time counts as none.
  MonoTime m_give_up_at;
};

enum class PollPurpose : uint8_t {
  // Reads the lists of the runner's known incarnation.
  kReadLists,
  // Shows whether a heartbeat is that of the runner.
  kVerifyHeartbeat,
  // Shows whether the known incarnation still answers.
  kConfirmIncarnation,
};

// Reads the runner's lists of runs. Its result goes to OnPollResult.
struct PollRequest {
  RunnerIncarnation m_process_incarnation;
  PollPurpose m_purpose = PollPurpose::kReadLists;
  uint64_t m_fencing_token = 0;
  // The runner forgets ends up to this number.
  uint64_t m_acknowledged_ends = 0;
  // Renews the lease of all runs until then; empty if nothing runs.
  std::optional<RunnerTime> m_lease_until;
  MonoTime m_sent_at;
  // The runner responds when a run ends, or at this time at the latest.
  MonoTime m_answer_by;
  // A response after this time counts as none.
  MonoTime m_give_up_at;
};

// Sends a message to an entry, if its connection is open.
struct SendToEntry {
  ProcessId m_entry;
  LinkMessage m_message;
  // With the first report of a run: what shows its end.
  std::optional<EndEvidence> m_evidence = std::nullopt;
};

using ExecutorAction =
    std::variant<StartRequest, StopRequest, PollRequest, SendToEntry>;

}  // namespace comfreyshift

#endif  // EXECUTOR_ACTIONS_H_
