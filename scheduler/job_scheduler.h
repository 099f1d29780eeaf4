#ifndef SCHEDULER_JOB_SCHEDULER_H_
#define SCHEDULER_JOB_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"
#include "scheduler/actions.h"
#include "scheduler/agent_table.h"
#include "scheduler/retry_advice.h"
#include "scheduler/run_time_model.h"

namespace comfreyshift {

// Decides what one entry does with its clients' jobs: which wait, which are
// refused, and on which agent each task runs.
class JobScheduler {
 public:
  // Numbers of runs begin at `first_run_number` and rise by one a millisecond,
  // so that those of an entry that starts later, or gets a job again, are
  // higher. It is the Unix time in milliseconds at `now`. `seed` should differ
  // between entries.
  JobScheduler(uint64_t first_run_number, uint64_t seed, MonoTime now);

  // A client has sent a job. Its answer comes out of a later Tick.
  JobHandle Submit(JobRequest request, const QueueConfig& queue, MonoTime now);
  // The client has gone. All runs of the job are stopped.
  void Cancel(JobHandle job, MonoTime now);
  // The process stops: new jobs are refused.
  void Drain();

  void OnAgentConnected(const std::string& name,
                        const ProcessId& agent,
                        MonoTime now);
  void OnAgentDisconnected(const std::string& name, MonoTime now);
  void OnAgentRemoved(const std::string& name);
  void OnStatus(const std::string& name,
                const RunnerStatus& status,
                MonoTime now);
  void OnReport(const std::string& name, const RunReport& report, MonoTime now);
  void OnClosedZones(const ClosedZones& zones) {
    m_agents.SetClosedZones(zones);
  }
  // Run time of a task away from its data, as a multiple of that near it.
  void SetRemoteFactor(double factor) { m_agents.SetRemoteFactor(factor); }

  // Does what is due and returns what is to be sent.
  std::vector<SchedulerAction> Tick(MonoTime now);
  // When Tick must be called next without new input.
  MonoTime NextDeadline(MonoTime now) const;

  // When the connection to an agent counts as silent, if nothing has arrived on
  // it since `last_received`.
  MonoTime SilentAt(const std::string& name, MonoTime last_received) const;

  // Jobs of a queue of which nothing has started.
  size_t WaitingJobs(const std::string& queue) const;
  size_t job_count() const { return m_jobs.size(); }
  const AgentTable& agents() const { return m_agents; }
  // Returns what is known of an agent, or null.
  const AgentView* FindAgent(const std::string& name) {
    return m_agents.Find(name);
  }

 private:
  enum class TaskState : uint8_t { kWaiting, kPlaced, kDone };

  struct Task {
    uint32_t m_step = 0;
    uint32_t m_index = 0;
    TaskState m_state = TaskState::kWaiting;
    uint32_t m_failures = 0;
    RunKey m_run;
    // Where its last run was not done; empty for none.
    std::string m_last_failed_agent;
  };

  struct Job {
    JobRequest m_request;
    QueueConfig m_queue;
    MonoTime m_received_at;
    // The objective.
    MonoTime m_due_at;
    // A job of which nothing has started is refused then.
    MonoTime m_reject_at;
    // Run time of a task on the usual runner.
    Microseconds m_expected{0};
    std::vector<Task> m_tasks;
    size_t m_done = 0;
    // Runs that agents have been told of and have not reported.
    size_t m_runs_in_flight = 0;
    // Whether any run has ended that was started.
    bool m_has_run = false;
    JobTrace m_trace;

    // Whether anything of the job has run or still may.
    bool has_started() const { return m_runs_in_flight > 0 || m_has_run; }
  };

  // A run that an agent has been told to start and has not reported.
  struct Placement {
    std::string m_agent;
    // Incarnation of the agent that was told.
    uint64_t m_incarnation = 0;
    // 0 once the job has ended: only the report is awaited.
    JobHandle m_job = 0;
    size_t m_task = 0;
    uint64_t m_sequence = 0;
    Resources m_demand;
  };

  using JobTable = std::map<JobHandle, Job>;

  PlacementRequirements GetRequirements(const Job& job,
                                        const Task& task,
                                        MonoTime now) const;
  StartRun MakeStart(const Job& job, const Task& task, MonoTime now) const;
  bool PlaceTask(JobHandle handle,
                 Job& job,
                 size_t index,
                 const CapacitySummary& survey,
                 MonoTime now);
  void PlaceWaiting(MonoTime now);
  std::vector<JobHandle> WaitingInOrder() const;
  void EndJob(JobHandle handle, JobResult outcome, MonoTime now);
  JobTrace GetDiagnostics(const Job& job, MonoTime now) const;
  static void RecordPlacement(Job& job, const std::string& agent, MonoTime now);
  void StopRuns(JobHandle handle);
  void SettleRun(const RunKey& run,
                 const Placement& placement,
                 RunOutcome outcome,
                 MonoTime now);
  void SettleLostAgents(MonoTime now);
  void RejectOverdue(MonoTime now);
  void EndExpired(MonoTime now);
  void DropAfterFreeze(MonoTime now);
  void SendEntryHeartbeats(MonoTime now);
  void SendEntryHeartbeat(const std::string& name,
                          AgentView& agent,
                          MonoTime now);
  uint64_t NextRunNumber(MonoTime now);
  bool HasUnsettledRun(const TaskKey& task) const;

  AgentTable m_agents;
  RunTimeModel m_run_times;
  // By service.
  std::map<std::string, RetryAdvice> m_retry_advice;
  JobTable m_jobs;
  std::map<RunKey, Placement> m_placements;
  JobHandle m_next_job = 1;
  uint64_t m_first_run_number;
  MonoTime m_created_at;
  uint64_t m_last_run_number = 0;
  bool m_is_draining = false;
  std::optional<MonoTime> m_last_tick;
  MonoTime m_next_heartbeats_at;
  // Asked of agents that are followed closely.
  Microseconds m_status_interval{0};
  std::vector<SchedulerAction> m_actions;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_JOB_SCHEDULER_H_
