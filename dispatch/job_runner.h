#ifndef DISPATCH_JOB_RUNNER_H_
#define DISPATCH_JOB_RUNNER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "core/core.h"
#include "dispatch/job_table.h"
#include "dispatch/owner_actions.h"
#include "dispatch/refusal_replicator.h"
#include "dispatch/target_set.h"
#include "dispatch/waiting_queue.h"
#include "placement/placement.h"

namespace comfreyshift {

// Runs the tasks of one owner's jobs: places them on targets, asks agents for
// the outcomes of lost replies, retries refused tasks on other targets, and
// ends the jobs.
class JobRunner {
 public:
  // `jobs` and `actions` must outlive the runner.
  JobRunner(const ProcessId& self,
            uint64_t seed,
            JobTable& jobs,
            std::vector<OwnerAction>& actions);

  void SetFreshUntil(MonoTime deadline);

  // Applies a newer table or inventory. Tasks in flight at agents that left the
  // table become unknown, because they may have run.
  void SetTargets(MonoTime now,
                  std::shared_ptr<const PartitionTable> table,
                  std::shared_ptr<const Inventory> inventory);

  // Starts a new job. Tasks in state kSettling were started under an earlier
  // owner; their agents are asked for the outcome.
  void Start(MonoTime now, Job& job);

  // Refuses a job as not run. The job ends when another member has a copy of
  // the refusal.
  void Refuse(Job& job, NotRunReason reason, std::string detail);

  // Ends a job that an earlier owner refused. Its m_stop must hold the reason.
  void EndAsRefused(Job& job);

  // Stops a job because its caller cancelled it.
  void Cancel(Job& job);

  // Applies the record of one task, from an earlier owner or an agent, to a new
  // job.
  void Resume(Job& job, StartRecord record);

  // Stops placing tasks.
  void StartDraining() { m_draining = true; }

  // Removes a job without an answer, because this owner lost or defers it.
  void Drop(MonoTime now, const SubmissionKey& key);

  // Returns false when the agent knows a newer owner of the job's partition.
  bool OnStartReply(MonoTime now, const ProcessId& from, StartReply reply);
  void OnReplyLost(MonoTime now, const ProcessId& from, const TaskRef& task);
  void OnAdoptDone(MonoTime now, uint64_t id, bool adopted);
  void OnLoad(MonoTime now, const ProcessId& from, const LoadReport& load);

  void Tick(MonoTime now);
  MonoTime NextDeadline() const;

  // Returns why no target can run the task now, or nothing when one can.
  std::optional<NotRunReason> CheckTargetAvailable(const std::string& client,
                                                   const TaskSpec& spec);

  // True if the present table lists the agent.
  bool IsAgent(const ProcessId& id) const {
    return m_targets.IndexOf(id).has_value();
  }
  // Number of tasks in flight, of all jobs.
  size_t outstanding() const { return m_outstanding; }

 private:
  // When to retry a task, or its SettleCommand. Ignored if the task has a newer
  // attempt by then.
  struct RetryTimer {
    MonoTime m_at;
    TaskRef m_task;
    uint64_t m_attempt = 0;

    bool operator>(const RetryTimer& other) const { return m_at > other.m_at; }
  };

  // Sends waiting tasks to targets until the placer finds none.
  void Place(MonoTime now);
  std::optional<TargetIndex> ChooseTarget(MonoTime now,
                                          const WaitingQueue::Item& item);
  void SendTask(MonoTime now, Job& job, uint32_t index, TargetIndex target);
  void SendSettleCommand(Job& job, uint32_t index);
  void RunDueRetries(MonoTime now);

  // Counts a task of `job` as no longer in flight.
  void DecrementOutstanding(Job& job);
  void OnTaskDone(MonoTime now, Job& job, uint32_t index, TaskDone done);
  void OnTaskNotStarted(MonoTime now,
                        Job& job,
                        uint32_t index,
                        NotRunReason reason);
  void OnTaskUnknown(Job& job, uint32_t index);

  // Stops a job: no further task of it is started, and those in flight are
  // cancelled.
  void Stop(Job& job, JobStop stop);
  // Ends or refuses the job if its result is decided.
  void EndIfDecided(Job& job);
  void End(Job& job, JobEnd end);

  ProcessId m_self;
  JobTable& m_jobs;
  std::vector<OwnerAction>& m_actions;
  TargetSet m_targets;
  Placer m_placer;
  WaitingQueue m_waiting;
  RefusalReplicator m_refusal_replicator;
  std::priority_queue<RetryTimer, std::vector<RetryTimer>, std::greater<>>
      m_retry_timers;
  MonoTime m_fresh_until = MonoTime::min();
  // When the placer is asked again for targets of the waiting tasks.
  MonoTime m_place_at = MonoTime::max();
  uint64_t m_attempts = 0;
  size_t m_outstanding = 0;
  bool m_draining = false;
};

}  // namespace comfreyshift

#endif  // DISPATCH_JOB_RUNNER_H_
