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

// What a decision about a job rested on, for the logs.
struct JobTrace {
  size_t m_tasks = 0;
  size_t m_done = 0;
  // Runs that agents were told to start.
  size_t m_placements = 0;
  // The agents told, in order, without repetitions in a row.
  std::string m_agents;
  // From the arrival to the first such order; 0 without one.
  Microseconds m_waited{0};
  Microseconds m_expected{0};
  // Agents that accept work for the job's service, the processors free on
  // them, and the age of the oldest of their statuses.
  size_t m_usable_agents = 0;
  int64_t m_free_cpu_millis = 0;
  Microseconds m_oldest_status{0};
  // Jobs at this entry.
  size_t m_jobs = 0;
};

// The final answer of a job.
struct AnswerJob {
  JobHandle m_job = 0;
  JobResult m_outcome;
  JobTrace m_trace;
};

using SchedulerAction = std::variant<SendToAgent, AnswerJob>;

}  // namespace comfreyshift

#endif  // SCHEDULER_ACTIONS_H_
