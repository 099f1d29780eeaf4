#ifndef DISPATCH_STARTER_H_
#define DISPATCH_STARTER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"
#include "dispatch/partition_table.h"
#include "dispatch/record_table.h"
#include "inventory/inventory.h"

namespace comfreyshift {

struct StarterConfig {
  Milliseconds m_retention = std::chrono::minutes(10);
  std::string m_target;
  uint32_t m_slots = 8;
  // Maximum number of tasks that wait for a slot.
  uint32_t m_max_queue = 880;
};

// Identifies the RPC that waits for a reply; chosen by the I/O layer.
using ReplyToken = uint64_t;

// Instructs the I/O layer to send the task to the target and to report its end
// with OnTaskEnded. Right before it writes to the target's socket, the I/O
// layer must check MayStart again, and end the task as not started if it is
// false.
struct RunTask {
  TaskRef m_task;
  std::string m_client;
  TaskSpec m_spec;
  MonoTime m_deadline;
};
// Instructs the I/O layer to send the reply of a StartCommand or SettleCommand.
struct ReplyStart {
  ReplyToken m_token = 0;
  StartReply m_reply;
};
using StarterAction = std::variant<RunTask, ReplyStart>;

// The agent side of one target: records every task that it starts and refuses
// to start a task twice. Tasks above the number of the target's slots wait in a
// queue.
class Starter {
 public:
  Starter(StarterConfig config, ProcessId self);

  void SetTable(std::shared_ptr<const PartitionTable> table);
  void SetInventory(std::shared_ptr<const Inventory> inventory);
  void SetFreshUntil(MonoTime deadline) { m_fresh_until = deadline; }

  // True if a task of `client` may start on the target at `now`: the freshness
  // proof is valid, the table lists this process, and the inventory and its
  // rules allow it.
  bool MayStart(MonoTime now, const std::string& client) const;

  void OnStart(MonoTime now,
               WallTime wall_now,
               ReplyToken token,
               StartCommand command);
  void OnTaskEnded(MonoTime now, const TaskRef& task, TaskOutcome outcome);
  void OnSettle(MonoTime now,
                WallTime wall_now,
                ReplyToken token,
                const SettleCommand& command);
  CollectReply OnCollect(MonoTime now, const CollectCommand& command);

  // Adopts records of another process. Returns false and keeps none of them
  // when one of the command's epochs is not current, when this process has no
  // table yet, or while it hands over its own records.
  bool OnAdopt(WallTime wall_now, const AdoptCommand& command);

  // Removes a queued task. A running task is not interrupted.
  void OnCancel(MonoTime now, const TaskRef& task);

  // Refuses new starts and ends all queued tasks as not started. Records of
  // other leaving members are still adopted, until BeginHandover.
  void StartDraining(MonoTime now);

  void Tick(MonoTime now, WallTime wall_now);
  MonoTime NextDeadline() const;
  std::vector<StarterAction> TakeActions();

  LoadReport Load() const;
  size_t running() const { return m_running; }
  size_t records() const { return m_records.size(); }

  // Returns all records that other members must keep once this one has left.
  // They are complete if it is draining and no task runs. No record is adopted
  // from then on, unless the handover is aborted.
  std::vector<StartRecord> BeginHandover();
  void AbortHandover() { m_handing_over = false; }

 private:
  struct QueuedTask {
    PartitionId m_partition = 0;
    MonoTime m_due;
    RunTask m_run;
  };

  PartitionId PartitionOf(const SubmissionKey& key) const;
  bool IsCurrent(PartitionId partition, Epoch epoch) const;
  // Returns false if the table or an earlier command has a higher epoch.
  // Otherwise remembers `epoch` as the highest one seen.
  bool CheckAndObserveEpoch(PartitionId partition, Epoch epoch);
  // Returns why a new command is refused, or nothing when its task may be
  // queued.
  std::optional<NotRunReason> CheckStartCommand(
      MonoTime now,
      WallTime wall_now,
      const StartCommand& command) const;
  // Returns why a task may not start at `now`, or nothing when it may.
  std::optional<NotRunReason> CheckMayStart(MonoTime now,
                                            const std::string& client,
                                            MonoTime deadline) const;
  void Enqueue(QueuedTask task);
  // Starts queued tasks while slots are free.
  void RunQueued(MonoTime now);
  // Ends as not started all queued tasks that may no longer start, so that
  // their owners place them elsewhere.
  void RefuseQueued(MonoTime now);
  // Ends the task of a record and replies to all commands that wait for it.
  void End(const TaskRef& task, TaskRecord& record, TaskOutcome outcome);
  void Reply(ReplyToken token,
             uint64_t attempt,
             const TaskRef& task,
             TaskOutcome outcome);
  // Counts the queued tasks whose partitions have the same owner as that of
  // `key`. Returns nothing without a table.
  std::optional<uint32_t> QueuedOfOwner(const SubmissionKey& key) const;
  void AdoptRecord(WallTime wall_now, const StartRecord& adopted);

  StarterConfig m_config;
  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  std::shared_ptr<const Inventory> m_inventory;
  MonoTime m_fresh_until = MonoTime::min();
  bool m_is_member = false;
  bool m_draining = false;
  bool m_handing_over = false;
  RecordTable m_records;
  std::deque<QueuedTask> m_queue;
  // The earliest time at which a queued task may have to be refused.
  MonoTime m_next_check = MonoTime::max();
  size_t m_running = 0;
  std::vector<StarterAction> m_actions;
};

}  // namespace comfreyshift

#endif  // DISPATCH_STARTER_H_
