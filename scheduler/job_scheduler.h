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
#include "scheduler/admission_policy.h"
#include "scheduler/agent_table.h"
#include "scheduler/job_limits.h"
#include "scheduler/job_tasks.h"
#include "scheduler/retry_advice.h"
#include "scheduler/run_time_model.h"
#include "scheduler/stop_policy.h"
#include "scheduler/waiting_job_order.h"

namespace comfreyshift {

// Jobs of more tasks are wide: they come after the others and use only a part
// of what agents take at a time.
inline constexpr size_t kMaxOrdinaryTasks = 512;

// Decides what one entry does with its clients' jobs: which of them wait, which
// are rejected, and on which agent each task runs.
class JobScheduler {
 public:
  // Run numbers begin at `first_run_number`, the Unix time in milliseconds at
  // `now`, and rise by one a millisecond. Those of an entry that starts later,
  // or gets a job again, are therefore higher. `seed` should differ between
  // entries.
  JobScheduler(uint64_t first_run_number, uint64_t seed, MonoTime now);

  // Takes a job from a client. Its result is returned by a later Tick.
  JobHandle Submit(JobRequest request, const QueueConfig& queue, MonoTime now);
  // Sets the bounds of what jobs hold. There are none before.
  void SetLimits(const JobLimits& limits) { m_limits = limits; }
  // Stops all runs of a job whose client has disconnected.
  void Cancel(JobHandle job, MonoTime now);
  // Rejects, from now on, the jobs that cannot be answered before the process
  // ends at `ends_at`, also those that wait and have not started.
  void Drain(MonoTime ends_at);
  // Ends all jobs: those that have not started are rejected, the others lost.
  void EndAllJobs(MonoTime now);

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
  // Sets the run time of a task on another rack than its data, as a multiple of
  // the run time on the data's rack.
  void SetRemoteFactor(double factor) { m_agents.SetRemoteFactor(factor); }

  // Does what is due by `now` and returns the messages and results to send.
  std::vector<SchedulerAction> Tick(MonoTime now);
  // Returns when Tick must be called next if there is no new input.
  MonoTime NextDeadline(MonoTime now) const;

  // Returns when the connection to an agent counts as dead if nothing has
  // arrived on it since `last_received`.
  MonoTime SilenceDeadline(const std::string& name,
                           MonoTime last_received) const;

  // Returns the number of jobs of a queue that have not started.
  size_t CountWaitingJobs(const std::string& queue) const;
  size_t job_count() const { return m_jobs.size(); }
  const AgentTable& agents() const { return m_agents; }
  // Returns the view of an agent, or null.
  const AgentView* FindAgent(const std::string& name) {
    return m_agents.Find(name);
  }

 private:
  struct Job {
    JobRequest m_request;
    QueueConfig m_queue;
    MonoTime m_received_at;
    // Deadline set by the latency objective.
    MonoTime m_due_at;
    // From this time on the job may miss its objective on free runners, and is
    // rejected if no runner accepts work.
    MonoTime m_may_be_late_at;
    // When it must have started to meet its objective on the median runner with
    // the margin. If nothing of it has, it is rejected.
    MonoTime m_latest_start_at;
    // A response after this time is of no use to the client.
    MonoTime m_useful_until;
    // Expected run time of a task on the median runner.
    Microseconds m_expected{0};
    // Factor by which the run time may well be longer than expected.
    double m_margin = 1.0;
    JobTasks m_tasks;
    // Expected work of the tasks that wait.
    double m_waiting_work = 0.0;
    // Runs that agents were told to start and have not reported as ended.
    size_t m_runs_in_flight = 0;
    // Whether it was compared with the known runners.
    bool m_is_checked = false;
    // Whether any run that did start has ended.
    bool m_has_run = false;
    JobDiagnostics m_diagnostics;

    // See kMaxOrdinaryTasks.
    bool is_wide() const { return m_tasks.size() > kMaxOrdinaryTasks; }
    // Whether any task has run or may still run.
    bool has_started() const { return m_runs_in_flight > 0 || m_has_run; }
  };

  // A run that an agent was told to start and has not reported as ended.
  struct Placement {
    std::string m_agent;
    // Incarnation of the agent when it was told.
    uint64_t m_incarnation = 0;
    // 0 once the job has ended; then only the agent's report is awaited.
    JobHandle m_job = 0;
    size_t m_task = 0;
    uint64_t m_sequence = 0;
    Resources m_demand;
    bool m_is_wide = false;
    // Start time of the agent's runner when the agent was told.
    int64_t m_runner_start_time_ms = 0;
  };

  using JobTable = std::map<JobHandle, Job>;

  // What the tasks of a step require; see m_avoided_agent for a single task.
  PlacementRequirements GetRequirements(const Job& job,
                                        const Step& step,
                                        MonoTime now) const;
  static const Step& StepOf(const Job& job, size_t task);
  StartRun MakeStartRun(const Job& job,
                        size_t task,
                        const RunKey& run,
                        MonoTime now) const;
  // Places the waiting task of the lowest number.
  bool PlaceTask(JobHandle handle,
                 Job& job,
                 const CapacitySummary& summary,
                 MonoTime useful_until,
                 MonoTime now);
  // Places up to kTasksPerTurn tasks of a job. Returns whether it may place
  // more after the turns of the others.
  bool PlaceTurn(JobHandle handle,
                 Job& job,
                 const CapacitySummary& summary,
                 MonoTime now);
  // Begins a tick's pass over the waiting jobs.
  void BeginPass();
  // Whether this tick has done as much as it may; the rest is left to the next.
  bool IsPassOver();
  void PlaceWaitingTasks(MonoTime now);
  // Places waiting tasks of one service, in the order of the jobs.
  void PlaceWaitingTasks(const std::string& service,
                         const std::vector<WaitingJob>& jobs,
                         MonoTime now);
  // Returns the jobs with waiting tasks by their service, in no order.
  std::map<std::string, std::vector<WaitingJob>> FindWaitingJobs() const;
  void EndJob(JobHandle handle, JobResult outcome, MonoTime now);
  JobDiagnostics GetDiagnostics(const Job& job, MonoTime now) const;
  static void RecordPlacement(Job& job, const std::string& agent, MonoTime now);
  void StopRuns(JobHandle handle);
  void RecordRunOutcome(const RunKey& run,
                        const Placement& placement,
                        RunOutcome outcome,
                        MonoTime now);
  // The run of a placement is no longer the agent's.
  static void ReleaseRun(AgentView& agent, const Placement& placement);
  void EndRunsOfLostAgents(MonoTime now);
  // Whether a run of an earlier incarnation of its agent has ended.
  static bool HasEndedWithPredecessor(const Placement& placement,
                                      const AgentView& agent,
                                      MonoTime now);
  // Rejects the jobs that cannot be served in time, or places them on runners
  // that nothing else needs. `jobs` are those of one service in the order in
  // which they are placed.
  void RejectUnservableJobs(const std::vector<WaitingJob>& jobs, MonoTime now);
  // Returns why a job cannot start in time, given the work that goes before it,
  // or kNone.
  RejectionCause FindRejectionCause(const Job& job,
                                    double work_ahead,
                                    MonoTime now) const;
  // Places all tasks of a job that has not started on runners where it misses
  // its objective and is still of use. Returns false and places none if these
  // do not have the capacity for all.
  bool PlaceLate(JobHandle handle, Job& job, MonoTime now);
  void RejectJob(JobHandle handle, RejectionCause cause, MonoTime now);
  // Compares a job with the known runners, once. Returns why they can never
  // serve it, or kNone.
  RejectionCause FindImpossibility(Job& job, MonoTime now) const;
  // Rejects a job if there are more waiting ones than the limits allow.
  void RejectExcessJob(MonoTime now);
  void EndExpiredJobs(MonoTime now);
  // Whether the job is answered before this process ends.
  bool CanBeAnsweredHere(const Job& job, MonoTime now) const;
  // While stopping: rejects the jobs whose time to start has passed.
  void RejectJobsThatOutliveThisProcess(MonoTime now);
  // Ends a job without its result.
  void AbandonJob(JobHandle handle, const JobRejected& rejection, MonoTime now);
  void EndJobsAfterFreeze(MonoTime now);
  void SendEntryHeartbeats(MonoTime now);
  // Returns how often the agent is to send its status.
  Microseconds StatusInterval(const AgentView& agent) const;
  Microseconds HeartbeatInterval(const AgentView& agent) const;
  bool IsHeartbeatDue(const AgentView& agent, MonoTime now) const;
  uint64_t NextRunNumber(MonoTime now);
  bool HasRunInFlight(const TaskKey& task) const;

  JobLimits m_limits;
  AgentTable m_agents;
  RunTimeModel m_run_times;
  // Jobs of one service that wait for capacity.
  struct Backlog {
    AdmissionPolicy m_admission;
    WaitingJobOrder m_order;
    // Whether tasks were left without capacity by the last pass.
    bool m_is_short = false;
  };

  // Keyed by service.
  std::map<std::string, Backlog> m_backlogs;
  // Keyed by service.
  std::map<std::string, RetryAdvice> m_retry_advice;
  JobTable m_jobs;
  std::map<RunKey, Placement> m_placements;
  // Placements and visits of agents at which this tick's pass ends.
  uint64_t m_last_placement = 0;
  uint64_t m_last_visit = 0;
  uint64_t m_placements_made = 0;
  // Whether the last pass was ended early.
  bool m_is_pass_cut = false;
  JobHandle m_next_job = 1;
  uint64_t m_first_run_number;
  MonoTime m_created_at;
  uint64_t m_last_run_number = 0;
  // When this process ends; MonoTime::max() while it is not stopping.
  MonoTime m_ends_at = MonoTime::max();
  std::optional<MonoTime> m_last_tick;
  MonoTime m_next_heartbeats_at;
  // When runs of lost agents are checked for next; at once after a change of an
  // agent's incarnation.
  MonoTime m_next_loss_check_at;
  // Status interval of the agents in the watch set.
  Microseconds m_watched_interval{0};
  // Interval of heartbeats and statuses of the agents that are neither watched
  // nor have runs of this entry.
  Microseconds m_idle_interval{0};
  std::vector<SchedulerAction> m_actions;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_JOB_SCHEDULER_H_
