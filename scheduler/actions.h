#ifndef SCHEDULER_ACTIONS_H_
#define SCHEDULER_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// A job in progress at this entry.
using JobHandle = uint64_t;

// All tasks are done.
struct JobTasksDone {};

// A task failed as often as its queue allows.
struct JobTasksFailed {};

// Nothing has run and nothing will.
struct JobRefused {
  RefusalReason m_reason = RefusalReason::kOverloaded;
  // The job has a fair chance again then.
  MonoTime m_retry_at;
};

// Parts of the job may have run. All that did has ended or is being stopped.
struct JobLost {};

using JobResult =
    std::variant<JobTasksDone, JobTasksFailed, JobRefused, JobLost>;

// Send a message to an agent, if its connection is open.
struct SendToAgent {
  std::string m_agent;
  LinkMessage m_message;
};

// The final answer of a job.
struct AnswerJob {
  JobHandle m_job = 0;
  JobResult m_outcome;
};

using SchedulerAction = std::variant<SendToAgent, AnswerJob>;

}  // namespace comfreyshift

#endif  // SCHEDULER_ACTIONS_H_
