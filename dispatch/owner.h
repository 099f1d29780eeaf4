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
#include "dispatch/change_log.h"
#include "dispatch/job_runner.h"
#include "dispatch/job_table.h"
#include "dispatch/known_records.h"
#include "dispatch/messages.h"
#include "dispatch/owner_actions.h"
#include "dispatch/partition_table.h"
#include "dispatch/takeover.h"
#include "inventory/inventory.h"

namespace comfreyshift {

struct OwnerConfig {
  // How long jobs and records are kept after the first sending of their key.
  Milliseconds m_retention = std::chrono::minutes(10);
  // The longest age of a proof of freshness anywhere in the system.
  Milliseconds m_freshness = std::chrono::seconds(5);
  uint64_t m_seed = 1;
  // Jobs kept, running or ended; new ones above this are refused as not run.
  size_t m_max_jobs = 200'000;
  // Bytes of task answers kept; new jobs above this are refused as not run.
  size_t m_max_answer_bytes = 64 << 20;
};

// The job already ended, with this answer.
struct SubmitAnswered {
  JobAnswer m_answer;
};
// The job runs, new or attached to; JobEnded will bring its answer.
struct SubmitAccepted {
  bool m_attached = false;
};
// This process cannot take the submission now; another try may reach the owner.
struct SubmitRedirect {
  NotRunReason m_reason = NotRunReason::kNotOwner;
};
using SubmitResult =
    std::variant<SubmitAnswered, SubmitAccepted, SubmitRedirect>;

// Holds the jobs of the partitions that this process owns: runs each task at
// most once, and takes over partitions from owners that are gone. Time and
// everything known from outside are passed in.
class Owner {
 public:
  Owner(OwnerConfig config, ProcessId self);
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  // Takes a newer table. Partitions gained start their takeover; partitions
  // lost drop their jobs (JobDropped), and their records are kept for the next
  // owner.
  void SetTable(MonoTime now,
                WallTime wall_now,
                Revision revision,
                std::shared_ptr<const PartitionTable> table);
  void SetInventory(MonoTime now, std::shared_ptr<const Inventory> inventory);

  // This process may place tasks until `deadline`.
  void SetFreshUntil(MonoTime deadline) {
    m_fresh_until = deadline;
    m_runner.SetFreshUntil(deadline);
  }

  // More than half of the witnesses confirmed `revision` or a newer one.
  void OnRevisionConfirmed(MonoTime now, Revision revision);

  // Runs a new job, or attaches to the one with the same key. A job refused as
  // not run stays refused: its key never runs, here or at a later owner. Other
  // content under a known key is answered kKeyReused, or "may have run" when an
  // earlier owner may have run it.
  SubmitResult Submit(MonoTime now, WallTime wall_now, Submission submission);

  // Returns the answer of an ended job, or nothing.
  std::optional<JobAnswer> Fetch(const SubmissionKey& key) const;

  // Cancels what has not started. Returns false for an unknown key.
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

  // Adds what this owner knows of the partitions to the reply of the agent in
  // the same process, when that has accepted the command. Partitions that it
  // owned under lower epochs are given up.
  void OnCollect(MonoTime now,
                 const CollectCommand& command,
                 CollectReply& reply);

  // Places nothing more and takes no new job. Once drained() is true and the
  // process's own starter has ended its tasks, Records() and the starter's
  // BeginHandover() go to other members by PlanHandover; when all of them have
  // adopted, the process may leave the table.
  void StartDraining(MonoTime now);
  bool drained() const { return m_draining && m_runner.outstanding() == 0; }
  std::vector<StartRecord> Records() const;

  void OnLoad(MonoTime now, const ProcessId& from, const LoadReport& load);

  // Runs all systems that are due: deadlines, retries, takeovers, placement of
  // waiting tasks and removal of old jobs.
  void Tick(MonoTime now, WallTime wall_now);

  // Returns when Tick has to run next, if nothing else happens.
  MonoTime NextDeadline() const;

  std::vector<OwnerAction> TakeActions();

  // Number of jobs without an answer yet.
  size_t running_jobs() const { return m_jobs.running() + m_held.size(); }

 private:
  enum class Phase : uint8_t { kTakingOver, kServing, kLost };
  struct Owned {
    Epoch m_epoch = 0;
    Phase m_phase = Phase::kTakingOver;
    WallTime m_unknown_before;
  };
  // A submission that waits for the end of a takeover.
  struct Held {
    Submission m_submission;
    PartitionId m_partition = 0;
    bool m_cancelled = false;
    // See Job.
    bool m_owns_key = false;
  };

  PartitionId PartitionOf(const SubmissionKey& key) const;
  // Gives up partitions whose table entry moved on, and returns those gained.
  std::vector<PartitionId> CompareOwned(MonoTime now);
  void Lose(MonoTime now, const std::set<PartitionId>& partitions);
  // Holds the jobs with tasks at agents that left cleanly since `before`, and
  // asks all agents for the records that these handed over.
  void RecheckLeft(MonoTime now, const PartitionTable* before);
  void HoldJobs(MonoTime now, PartitionId partition);
  void FinishTakeovers(MonoTime now, WallTime wall_now);
  void SubmitHeld(MonoTime now, WallTime wall_now, PartitionId partition);

  std::optional<SubmitResult> SubmitKnown(const Submission& submission) const;
  std::optional<SubmitResult> WhyNotAccepted(MonoTime now,
                                             WallTime wall_now,
                                             const Submission& submission,
                                             PartitionId partition) const;
  Job& CreateJob(MonoTime now,
                 WallTime wall_now,
                 Submission submission,
                 PartitionId partition);
  // Returns why a new job is refused, or nothing when it may run.
  std::optional<JobNotRun> WhyRefused(WallTime wall_now, const Job& job);
  Job& StartJob(MonoTime now, WallTime wall_now, Submission submission);
  bool Resume(Job& job, std::vector<StartRecord> records);
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
  ChangeLog m_log;
  KnownRecords m_known;
  std::unordered_map<PartitionId, Owned> m_owned;
  std::map<SubmissionKey, Held> m_held;
  // Of partitions that this process served and gave up.
  std::unordered_map<PartitionId, PartitionHistory> m_histories;
  uint64_t m_sequence = 0;
  MonoTime m_expire_at = MonoTime::min();
};

struct HandoverPlan {
  std::vector<SendAdopt> m_commands;
  // False when a record has no holder at present; the member must not leave.
  bool m_complete = true;
};

// Returns the commands that hand the records of a leaving member over, each to
// an agent outside of the rack of the record's owner. An agent in `refused`
// gets none, because it leaves as well or cannot be reached. When the table
// changes before the member has left, the commands have to be planned and sent
// again.
HandoverPlan PlanHandover(const PartitionTable& table,
                          const ProcessId& self,
                          std::vector<StartRecord> records,
                          const std::set<ProcessId>& refused = {});

}  // namespace comfreyshift

#endif  // DISPATCH_OWNER_H_
