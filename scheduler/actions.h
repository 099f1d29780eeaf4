#ifndef SCHEDULER_ACTIONS_H_
#define SCHEDULER_ACTIONS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// Identifies a job in progress at this entry.
using JobHandle = uint64_t;

// All tasks of the job were done.
struct JobTasksDone {};

// A task failed as many times as its queue allows.
struct JobTasksFailed {};

// No task of the job has run, and none will.
struct JobRejected {
  RejectionReason m_reason = RejectionReason::kOverloaded;
  // When the client should send the job again.
  MonoTime m_retry_at;
};

// Some tasks may have run. Every run of the job has ended or is being stopped.
struct JobLost {};

using JobResult =
    std::variant<JobTasksDone, JobTasksFailed, JobRejected, JobLost>;

// Sends a message to an agent, if its connection is open.
struct SendToAgent {
  std::string m_agent;
  LinkMessage m_message;
};

// Why an entry rejects a job, in more detail than RejectionReason.
enum class RejectionCause : uint8_t {
  // The job was not rejected, or the process stops or stood still.
  kNone,
  // No agent accepts work of the job's service.
  kNoRunner,
  // The work that goes before the job takes too long.
  kWorkAhead,
  // The job has waited as long as it could.
  kWaitedTooLong,
  // No known runner is large enough for a task, or has its label.
  kFitsNoRunner,
  // All known runners together cannot run its tasks before its client gives up.
  kTooManyTasks,
  // Too many jobs wait, of all clients or of this one.
  kTooManyJobs,
};

std::string_view ToString(RejectionCause cause);

// State of the job and of the agents when the job ended, for the logs.
struct JobDiagnostics {
  int32_t m_priority = 0;
  RejectionCause m_rejection_cause = RejectionCause::kNone;
  size_t m_tasks = 0;
  size_t m_done = 0;
  // Number of runs that agents were told to start.
  size_t m_placements = 0;
  // The agents of those runs in order, separated by blanks; consecutive
  // duplicates are left out.
  std::string m_agents;
  // Time from the job's arrival to the first placement; 0 if there was none.
  Microseconds m_waited{0};
  Microseconds m_expected{0};
  // Number of agents that accept work of the job's service, their free CPU, and
  // the age of the oldest of their statuses.
  size_t m_usable_agents = 0;
  int64_t m_free_cpu_millis = 0;
  Microseconds m_oldest_status{0};
  // Jobs in progress at this entry.
  size_t m_jobs = 0;
};

// Sends the final result of a job to its client.
struct SendJobResult {
  JobHandle m_job = 0;
  JobResult m_outcome;
  JobDiagnostics m_diagnostics;
};

// Why an entry takes a run for ended that no agent has reported as ended.
enum class LossReason : uint8_t {
  // Nothing has come from the agent for so long that the run has ended.
  kAgentLost,
  // The agent has been restarted, and its new incarnation accepts work.
  kAgentReplaced,
};

std::string_view ToString(LossReason reason);

// A run counts as ended without a report, for the logs.
struct RunLost {
  RunKey m_run;
  std::string m_agent;
  LossReason m_reason = LossReason::kAgentLost;
};

using SchedulerAction = std::variant<SendToAgent, SendJobResult, RunLost>;

}  // namespace comfreyshift

#endif  // SCHEDULER_ACTIONS_H_
