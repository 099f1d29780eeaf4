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
#include "dispatch/refusals.h"
#include "dispatch/target_set.h"
#include "dispatch/waiting_queue.h"
#include "placement/placement.h"

namespace comfreyshift {

// Runs the tasks of one owner's jobs: places them, settles lost replies, tries
// certain refusals elsewhere, and ends the jobs.
class JobRunner {
 public:
  // `jobs` and `actions` must outlive the runner.
  JobRunner(const ProcessId& self,
            uint64_t seed,
            JobTable& jobs,
            std::vector<OwnerAction>& actions);

  void SetFreshUntil(MonoTime deadline);

  // Takes a newer table or inventory. Tasks that are out at agents which left
  // the table may have run.
  void SetTargets(MonoTime now,
                  std::shared_ptr<const PartitionTable> table,
                  std::shared_ptr<const Inventory> inventory);

  // Starts a new job. Tasks that are kSettling were started under an earlier
  // owner and are asked for.
  void Start(MonoTime now, Job& job);

  // Ends a job as not run, once the refusal is kept elsewhere.
  void Refuse(Job& job, NotRunReason reason, std::string detail);

  // Ends a job that an earlier owner refused; its m_stop says why.
  void EndAsRefused(Job& job);

  // Starts nothing more of a job, because its caller cancelled it.
  void Cancel(Job& job);

  // Notes in a new job what an earlier owner or an agent knows of one task.
  void Resume(Job& job, StartRecord record);

  // Places no task from now on.
  void StartDraining() { m_draining = true; }

  // Removes a job that this owner lost, without an answer.
  void Drop(MonoTime now, const SubmissionKey& key);

  // Returns false when the agent knows a newer owner of the job's partition.
  bool OnStartReply(MonoTime now, const ProcessId& from, StartReply reply);
  void OnReplyLost(MonoTime now, const ProcessId& from, const TaskRef& task);
  void OnAdoptDone(MonoTime now, uint64_t id, bool adopted);
  void OnLoad(MonoTime now, const ProcessId& from, const LoadReport& load);

  void Tick(MonoTime now);
  MonoTime NextDeadline() const;

  // Returns why no target can take the task now, or nothing when one can.
  std::optional<NotRunReason> WhyNoTarget(const std::string& client,
                                          const TaskSpec& spec);

  // True for an agent of the present table.
  bool IsAgent(const ProcessId& id) const {
    return m_targets.IndexOf(id).has_value();
  }
  // Number of tasks whose outcome is awaited.
  size_t outstanding() const { return m_outstanding; }

 private:
  // A task that is looked at again at a time.
  struct Due {
    MonoTime m_at;
    TaskRef m_task;
    uint64_t m_attempt = 0;

    bool operator>(const Due& other) const { return m_at > other.m_at; }
  };

  void Place(MonoTime now);
  std::optional<TargetIndex> ChooseTarget(MonoTime now,
                                          const WaitingQueue::Item& item);
  void SendTask(MonoTime now, Job& job, uint32_t index, TargetIndex target);
  void SendSettleFor(Job& job, uint32_t index);
  void RunDue(MonoTime now);

  // Ends the attempt that is out.
  void CountBack(Job& job);
  void OnTaskDone(MonoTime now, Job& job, uint32_t index, TaskDone done);
  void OnTaskNotStarted(MonoTime now,
                        Job& job,
                        uint32_t index,
                        NotRunReason reason);
  void OnTaskUnknown(Job& job, uint32_t index);

  // Starts nothing more of a job.
  void Stop(Job& job, JobStop stop);
  // Ends the job if its answer is known now.
  void Evaluate(Job& job);
  void End(Job& job, JobEnd end);

  ProcessId m_self;
  JobTable& m_jobs;
  std::vector<OwnerAction>& m_actions;
  TargetSet m_targets;
  Placer m_placer;
  WaitingQueue m_waiting;
  Refusals m_refusals;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
  MonoTime m_fresh_until = MonoTime::min();
  // When waiting tasks are offered to the placer again.
  MonoTime m_place_at = MonoTime::max();
  uint64_t m_attempts = 0;
  size_t m_outstanding = 0;
  bool m_draining = false;
};

}  // namespace comfreyshift

#endif  // DISPATCH_JOB_RUNNER_H_
