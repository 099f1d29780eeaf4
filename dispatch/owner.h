#ifndef DISPATCH_OWNER_H_
#define DISPATCH_OWNER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"
#include "dispatch/partition_table.h"
#include "inventory/inventory.h"
#include "placement/placement.h"

namespace comfreyshift {

struct OwnerConfig {
  // How long jobs and records are kept after the first sending of their key.
  Milliseconds m_retention = std::chrono::minutes(10);
  // The longest age of a proof of freshness anywhere in the system.
  Milliseconds m_freshness = std::chrono::seconds(5);
  uint64_t m_seed = 1;
};

// What the shell has to do for the owner. Each command is answered by one call:
// a start or settle by OnStartReply or OnReplyLost, a collect by OnCollectReply
// or OnCollectLost.
struct SendStart {
  ProcessId m_to;
  StartCommand m_command;
};
struct SendSettle {
  ProcessId m_to;
  SettleCommand m_command;
};
struct SendCancel {
  ProcessId m_to;
  TaskRef m_task;
};
struct SendCollect {
  ProcessId m_to;
  CollectCommand m_command;
};
// The answer of a job, for every caller that waits for it.
struct JobEnded {
  SubmissionKey m_key;
  JobAnswer m_answer;
};
using OwnerAction =
    std::variant<SendStart, SendSettle, SendCancel, SendCollect, JobEnded>;

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

  // Takes a newer table. Partitions gained start their takeover; partitions
  // lost drop their jobs, and callers that wait get a redirect by resubmitting.
  void SetTable(MonoTime now,
                WallTime wall_now,
                Revision revision,
                std::shared_ptr<const PartitionTable> table);
  void SetInventory(MonoTime now, std::shared_ptr<const Inventory> inventory);

  // This process may place tasks until `deadline`.
  void SetFreshUntil(MonoTime deadline) { m_fresh_until = deadline; }

  // More than half of the witnesses confirmed `revision` or a newer one.
  void OnRevisionConfirmed(MonoTime now, Revision revision);

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
  void OnLoad(MonoTime now, const ProcessId& from, const LoadReport& load);

  // Runs all systems that are due: deadlines, retries, takeovers, placement of
  // waiting tasks and removal of old jobs.
  void Tick(MonoTime now, WallTime wall_now);

  // Returns when Tick has to run next, if nothing else happens.
  MonoTime NextDeadline() const;

  std::vector<OwnerAction> TakeActions();

  // Number of jobs without an answer yet.
  size_t running_jobs() const;
};

}  // namespace comfreyshift

#endif  // DISPATCH_OWNER_H_
