#ifndef DISPATCH_MESSAGES_H_
#define DISPATCH_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"
#include "placement/placement.h"

namespace comfreyshift {

// Maximum number of tasks in one submission.
inline constexpr uint32_t kMaxTasksPerJob = 440;

// Why a task or a job was not run, for certain.
enum class NotRunReason : uint8_t {
  kNotFresh,      // The process has no proof that its configuration is current.
  kStaleEpoch,    // The partition has a newer owner.
  kNotOwner,      // The process does not own the partition.
  kNotMember,     // The process is not in the partition table yet.
  kDenied,        // Inventory or rules do not allow it.
  kQueueFull,     // A queue or table is full; a later retry may succeed.
  kDeadline,      // The deadline cannot be met or has passed.
  kCannotRun,     // No target will ever be able to run it.
  kQuota,         // The client is over its quota.
  kShuttingDown,  // The process is stopping.
  kCancelled,     // The caller cancelled it before it started.
  kTargetUnreachable,  // The connection to the target was refused.
  kNeverStarted,       // A tombstone prevents its start at this agent.
  kNoCapacity,         // All targets that it may use are gone or closed.
  kKeyReused,          // The key belongs to a submission with other content.
};

// Returns the name of a reason in snake_case, as answers and logs show it.
std::string_view ToString(NotRunReason reason);

struct TaskSpec {
  // Name of the kind of request, as the inventory lists it.
  std::string m_request;
  std::string m_payload;
  // Declared by the caller; 0 when not declared.
  Milliseconds m_declared_run_time{0};
  uint64_t m_memory_mb = 0;
  bool m_needs_accelerator = false;

  bool operator==(const TaskSpec&) const = default;
};

struct Submission {
  SubmissionKey m_key;
  WallTime m_first_sent;
  std::string m_client;
  std::vector<TaskSpec> m_tasks;
  MonoTime m_deadline;
};

// The target's answer to one task: an HTTP status and a body.
struct TaskAnswer {
  uint32_t m_status = 0;
  std::string m_body;

  bool ok() const { return m_status >= 200 && m_status < 300; }
  bool operator==(const TaskAnswer&) const = default;
};

struct TaskDone {
  TaskAnswer m_answer;
  Microseconds m_run_time{0};
};
struct TaskNotStarted {
  NotRunReason m_reason = NotRunReason::kNotFresh;
};
// The task may have run, and its answer is lost for good.
struct TaskMayHaveRun {};
using TaskOutcome = std::variant<TaskDone, TaskNotStarted, TaskMayHaveRun>;

// Asks an agent to start one task on its target.
struct StartCommand {
  PartitionId m_partition = 0;
  Epoch m_epoch = 0;
  // Number of the command, counted by the owner. A refusal or a tombstone
  // applies to this and all lower pairs of epoch and attempt.
  uint64_t m_attempt = 0;
  ProcessId m_owner;
  TaskRef m_task;
  WallTime m_first_sent;
  std::string m_client;
  TaskSpec m_spec;
  MonoTime m_deadline;
  // Position in the agent's queue: the task with the earliest time starts
  // first.
  MonoTime m_due;
};

// The reply to a StartCommand or a SettleCommand.
struct StartReply {
  TaskRef m_task;
  // The attempt of the command.
  uint64_t m_attempt = 0;
  TaskOutcome m_outcome;
  LoadReport m_load;
};

// Asks an agent for the outcome of a task whose reply was lost. The agent
// replies when the task has ended. If it neither queued nor started the task,
// it keeps a tombstone, so that the task never starts there.
struct SettleCommand {
  PartitionId m_partition = 0;
  Epoch m_epoch = 0;
  uint64_t m_attempt = 0;
  TaskRef m_task;
  WallTime m_first_sent;
};

// Task index of the record which says that the whole job was refused as not
// run.
inline constexpr uint32_t kWholeJob = UINT32_MAX;

// Orders the commands for one task: by the epoch of the partition first, then
// by the attempt of the owner.
struct AttemptId {
  Epoch m_epoch = 0;
  uint64_t m_attempt = 0;

  auto operator<=>(const AttemptId&) const = default;
};

// The record of a task that an agent started, or of the refusal of a whole job.
struct StartRecord {
  TaskRef m_task;
  WallTime m_first_sent;
  // The agent that started the task; empty for the refusal of a job.
  ProcessId m_agent;
  // False while the task runs.
  bool m_ended = false;
  TaskOutcome m_outcome;
  // The attempt that placed the task at the agent. A SettleCommand does not
  // raise it.
  AttemptId m_attempt;
};

struct PartitionEpoch {
  PartitionId m_partition = 0;
  Epoch m_epoch = 0;
};

// Announces new epochs to an agent and requests its records of those
// partitions.
struct CollectCommand {
  // Identifies the collection round of the owner. The I/O layer passes it back
  // together with the reply and need not send it.
  uint64_t m_round = 0;
  ProcessId m_owner;
  std::vector<PartitionEpoch> m_partitions;
};

// What a live previous owner reports to the owner that takes over its
// partition.
struct PartitionHistory {
  PartitionId m_partition = 0;
  // The epoch under which the previous owner owned the partition.
  Epoch m_epoch = 0;
  // A key that was first sent before this time and has no record may have run.
  // The allowed clock error is not included.
  WallTime m_unknown_before;
};

struct CollectReply {
  // False when the agent knows a higher epoch for one of the partitions. The
  // reply has no records then.
  bool m_accepted = false;
  std::vector<StartRecord> m_records;
  // Histories of the partitions that the agent's process served as owner.
  std::vector<PartitionHistory> m_histories;
};

// Hands over records to an agent, which keeps them like its own. Sent for the
// refusal of a job, before the caller is told of it, and for all records of a
// member that leaves.
struct AdoptCommand {
  // Chosen by the sender; the reply repeats it.
  uint64_t m_id = 0;
  // The sender's epochs of the partitions of the records; empty for a member
  // that leaves. The agent refuses the command when it knows a higher epoch.
  std::vector<PartitionEpoch> m_epochs;
  std::vector<StartRecord> m_records;
};

// Why a job failed. Some of its tasks may have run.
enum class JobFailure : uint8_t {
  kTaskFailed,         // A target answered a task with an error.
  kUnknownMayHaveRun,  // It is unknown whether a task ran.
  kCancelled,          // The caller cancelled it after a task had started.
  kDeadline,           // The deadline passed after a task had started.
  kNotRunPartly,       // A task could not be started after others had.
};

std::string_view ToString(JobFailure failure);

struct JobComplete {
  // One answer for each task, in the order of the submission.
  std::vector<TaskAnswer> m_answers;
};
struct JobFailed {
  JobFailure m_failure = JobFailure::kTaskFailed;
  std::string m_detail;
};
// No task of the job was started or ever will be. With kKeyReused this holds
// for the refused content only, and another owner may accept that content
// later.
struct JobNotRun {
  NotRunReason m_reason = NotRunReason::kNotFresh;
  std::string m_detail;
};
using JobAnswer = std::variant<JobComplete, JobFailed, JobNotRun>;

}  // namespace comfreyshift

#endif  // DISPATCH_MESSAGES_H_
