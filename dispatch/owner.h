#ifndef DISPATCH_OWNER_H_
#define DISPATCH_OWNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/core.h"
#include "dispatch/job_runner.h"
#include "dispatch/job_table.h"
#include "dispatch/messages.h"
#include "dispatch/owner_actions.h"
#include "dispatch/partition_table.h"
#include "dispatch/table_change_tracker.h"
#include "dispatch/takeover.h"
#include "dispatch/unclaimed_records.h"
#include "inventory/inventory.h"

namespace comfreyshift {

struct OwnerConfig {
  // How long jobs and records are kept, counted from the time when their key
  // was first sent.
  Milliseconds m_retention = std::chrono::minutes(10);
  // Maximum age of a freshness proof in any process of the system.
  Milliseconds m_freshness = std::chrono::seconds(5);
  uint64_t m_seed = 1;
  // Maximum number of jobs kept, running or ended. Jobs above it are refused as
  // not run.
  size_t m_max_jobs = 200'000;
  // Maximum number of bytes of task answers kept. While it is exceeded, new
  // jobs are refused as not run.
  size_t m_max_answer_bytes = 64 << 20;
};

// The submission is already answered, for example by a job with the same key.
struct SubmitAnswered {
  JobAnswer m_answer;
};
// The submission started a job or was attached to the running one with the same
// key. A JobEnded action will carry the answer.
struct SubmitAccepted {
  bool m_attached = false;
};
// This process cannot accept the submission now. A later try may be accepted,
// here or by the present owner of the partition.
struct SubmitRedirect {
  NotRunReason m_reason = NotRunReason::kNotOwner;
};
using SubmitResult =
    std::variant<SubmitAnswered, SubmitAccepted, SubmitRedirect>;

// Runs the jobs of the partitions that this process owns: starts each task at
// most once, and takes over partitions from previous owners. The clock, the
// table, the inventory and all messages are passed in by the caller.
class Owner {
 public:
  Owner(OwnerConfig config, ProcessId self);
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  // Applies a newer table; a revision that is not newer is ignored. Starts the
  // takeover of each partition gained. Drops the jobs of each partition lost
  // (JobDropped) and keeps their records for the next owner.
  void SetTable(MonoTime now,
                WallTime wall_now,
                Revision revision,
                std::shared_ptr<const PartitionTable> table);
  void SetInventory(MonoTime now, std::shared_ptr<const Inventory> inventory);

  // Extends the freshness proof: this process may place tasks until `deadline`.
  void SetFreshUntil(MonoTime deadline) {
    m_fresh_until = deadline;
    m_runner.SetFreshUntil(deadline);
  }

  // A majority of the witnesses confirmed `revision` or a newer one.
  void OnRevisionConfirmed(MonoTime now, Revision revision);

  // Starts a new job, or attaches to the job with the same key. A job refused
  // as not run stays refused: its key never runs, here or at a later owner. A
  // known key with other content is answered with kKeyReused, or with
  // kUnknownMayHaveRun when an earlier owner may have run that content.
  SubmitResult Submit(MonoTime now, WallTime wall_now, Submission submission);

  // Returns the answer of a job, or nothing if it is unknown or has not ended.
  std::optional<JobAnswer> Fetch(const SubmissionKey& key) const;

  // Cancels the tasks of a job that have not started. Returns false for an
  // unknown key.
  bool Cancel(MonoTime now, const SubmissionKey& key);

  void OnStartReply(MonoTime now, const ProcessId& from, StartReply reply);
  void OnReplyLost(MonoTime now, const ProcessId& from, const TaskRef& task);
  void OnCollectReply(MonoTime now,
                      WallTime wall_now,
                      const ProcessId& from,
                      const CollectCommand& command,
                      CollectReply reply);
  void OnCollectLost(MonoTime now,
                     const ProcessId& from,
                     const CollectCommand& command);
  void OnAdoptDone(MonoTime now, uint64_t id, bool adopted);

  // Adds this owner's records and histories of the partitions to the reply of
  // the agent in the same process. To be called only if the agent accepted the
  // command. Drops the partitions that this process owned under lower epochs.
  void OnCollect(MonoTime now,
                 const CollectCommand& command,
                 CollectReply& reply);

  // Stops placing tasks and accepting jobs. Once drained() is true and the
  // starter of this process has ended its tasks, the caller sends Records() and
  // the starter's BeginHandover() to other members as PlanHandover says. The
  // process may leave the table when all of them have adopted the records.
  void StartDraining(MonoTime now);
  bool drained() const { return m_draining && m_runner.outstanding() == 0; }
  std::vector<StartRecord> Records() const;

  void OnLoad(MonoTime now, const ProcessId& from, const LoadReport& load);

  // Performs all work that is due: deadlines, retries, takeovers, placement of
  // waiting tasks and removal of expired jobs and records.
  void Tick(MonoTime now, WallTime wall_now);

  // Returns when Tick has to be called next if no other event arrives before.
  MonoTime NextDeadline() const;

  // Removes and returns the actions that the caller has to perform.
  std::vector<OwnerAction> TakeActions();

  // Number of jobs without an answer, deferred submissions included.
  size_t running_jobs() const { return m_jobs.running() + m_deferred.size(); }

 private:
  enum class Phase : uint8_t { kTakingOver, kServing, kLost };
  struct OwnedPartition {
    Epoch m_epoch = 0;
    Phase m_phase = Phase::kTakingOver;
    WallTime m_unknown_before;
  };
  // A submission that waits until the takeover of its partition is complete.
  struct DeferredSubmission {
    Submission m_submission;
    PartitionId m_partition = 0;
    bool m_cancelled = false;
    // See Job::m_no_other_content_started.
    bool m_no_other_content_started = false;
  };

  PartitionId PartitionOf(const SubmissionKey& key) const;
  // Compares the owned partitions with the table: drops those that have another
  // owner or a newer epoch, adds those gained, and returns the partitions that
  // need a takeover.
  std::vector<PartitionId> UpdateOwnedPartitions(MonoTime now);
  // Drops the jobs of the partitions, keeps their records for the next owner
  // and stops serving the partitions.
  void DropPartitions(MonoTime now, const std::set<PartitionId>& partitions);
  // Defers the jobs with tasks in flight at agents that left cleanly since
  // `before`, and collects the records that those agents handed over.
  void RecollectAfterDepartures(MonoTime now, const PartitionTable* before);
  // Turns the running jobs of the partition back into deferred submissions.
  void DeferJobs(MonoTime now, PartitionId partition);
  void FinishTakeovers(MonoTime now, WallTime wall_now);
  // Starts the deferred submissions of the partition.
  void SubmitDeferred(MonoTime now, WallTime wall_now, PartitionId partition);

  // Returns the result for a key that has a job or a deferred submission, or
  // nothing for a new key.
  std::optional<SubmitResult> SubmitKnownKey(
      const Submission& submission) const;
  // Returns why a submission with a new key cannot become a job at this owner,
  // or nothing when it can.
  std::optional<SubmitResult> CheckSubmission(MonoTime now,
                                              WallTime wall_now,
                                              const Submission& submission,
                                              PartitionId partition) const;
  Job& CreateJob(MonoTime now,
                 WallTime wall_now,
                 Submission submission,
                 PartitionId partition);
  // Returns why a new job is refused, or nothing when it may run.
  std::optional<JobNotRun> CheckNewJob(WallTime wall_now, const Job& job);
  Job& StartJob(MonoTime now, WallTime wall_now, Submission submission);
  // Applies the records of earlier owners to a new job. Returns false when an
  // earlier owner refused the job and no task of it was started.
  bool Resume(Job& job, std::vector<StartRecord> records);
  // Marks the waiting tasks as unknown when records of the job's key may have
  // been lost.
  void MarkUnknown(Job& job) const;

  OwnerConfig m_config;
  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  std::shared_ptr<const Inventory> m_inventory;
  Revision m_revision = 0;
  MonoTime m_fresh_until = MonoTime::min();
  bool m_draining = false;
  std::vector<OwnerAction> m_actions;
  JobTable m_jobs;
  JobRunner m_runner;
  Takeovers m_takeovers;
  TableChangeTracker m_table_changes;
  UnclaimedRecords m_unclaimed_records;
  std::unordered_map<PartitionId, OwnedPartition> m_owned_partitions;
  std::map<SubmissionKey, DeferredSubmission> m_deferred;
  // Histories of partitions that this process served and then lost.
  std::unordered_map<PartitionId, PartitionHistory> m_histories;
  uint64_t m_sequence = 0;
  MonoTime m_expire_at = MonoTime::min();
};

struct HandoverPlan {
  std::vector<SendAdopt> m_commands;
  // False when no agent can adopt some record at present. The member must not
  // leave then.
  bool m_complete = true;
};

// Returns the commands that hand over the records of a leaving member. Each
// record goes to an agent outside the rack of its partition's owner. Agents in
// `refused` are skipped, because they leave as well or cannot be reached. When
// the table changes before the member has left, the handover must be planned
// and sent again.
HandoverPlan PlanHandover(const PartitionTable& table,
                          const ProcessId& self,
                          std::vector<StartRecord> records,
                          const std::set<ProcessId>& refused = {});

}  // namespace comfreyshift

#endif  // DISPATCH_OWNER_H_
