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
  // Tasks that may wait for a slot.
  uint32_t m_max_queue = 880;
};

// Names the RPC that waits for a reply; chosen by the shell.
using ReplyToken = uint64_t;

// Send this task to the target now. OnTaskEnded ends it. The shell must check
// MayStart once more right before it writes to the target's socket, and end the
// task as not started when it is false.
struct RunTask {
  TaskRef m_task;
  std::string m_client;
  TaskSpec m_spec;
  MonoTime m_deadline;
};
struct ReplyStart {
  ReplyToken m_token = 0;
  StartReply m_reply;
};
using StarterAction = std::variant<RunTask, ReplyStart>;

// Keeps a record of every start on one target and refuses a second one. Tasks
// over the target's slots wait in a queue.
class Starter {
 public:
  Starter(StarterConfig config, ProcessId self);

  void SetTable(std::shared_ptr<const PartitionTable> table);
  void SetInventory(std::shared_ptr<const Inventory> inventory);
  void SetFreshUntil(MonoTime deadline) { m_fresh_until = deadline; }

  // True when a task of `client` may start on the target at `now`: fresh proof,
  // listed in the table, and allowed by inventory and rules.
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

  // Takes records over. Returns false, and keeps none of them, when one of the
  // command's epochs is no longer current.
  bool OnAdopt(WallTime wall_now, const AdoptCommand& command);

  // Removes a queued task; a running one goes on to its end.
  void OnCancel(MonoTime now, const TaskRef& task);

  // Refuses every new start and empties the queue as not started. Records of
  // other members that leave are still adopted, until BeginHandover.
  void StartDraining(MonoTime now);

  void Tick(MonoTime now, WallTime wall_now);
  MonoTime NextDeadline() const;
  std::vector<StarterAction> TakeActions();

  LoadReport Load() const;
  size_t running() const { return m_running; }
  size_t records() const { return m_records.size(); }

  // Returns all records that other members must keep once this one has left:
  // complete when it is draining and no task runs. From then on it adopts
  // nothing more, unless the handover is given up.
  std::vector<StartRecord> BeginHandover();
  void GiveUpHandover() { m_handing_over = false; }

 private:
  struct QueuedTask {
    PartitionId m_partition = 0;
    MonoTime m_due;
    RunTask m_run;
  };

  PartitionId PartitionOf(const SubmissionKey& key) const;
  bool IsCurrent(PartitionId partition, Epoch epoch) const;
  // Confirms the epoch against all that was seen in commands and in the table.
  bool ConfirmEpoch(PartitionId partition, Epoch epoch);
  std::optional<NotRunReason> WhyNotStart(MonoTime now,
                                          WallTime wall_now,
                                          const StartCommand& command) const;
  // Returns why a task may not start now, or nothing when it may.
  std::optional<NotRunReason> WhyNotNow(MonoTime now,
                                        const std::string& client,
                                        MonoTime deadline) const;
  void Enqueue(QueuedTask task);
  void RunQueued(MonoTime now);
  // Ends all queued tasks that may no longer start as not started, so that
  // their owners place them elsewhere.
  void RefuseQueued(MonoTime now);
  // Ends a record and answers all commands that wait for it.
  void End(const TaskRef& task, TaskRecord& record, TaskOutcome outcome);
  void Reply(ReplyToken token,
             uint64_t attempt,
             const TaskRef& task,
             TaskOutcome outcome);
  // Counts the queued tasks whose owner is that of `key`.
  std::optional<uint32_t> QueuedOfOwner(const SubmissionKey& key) const;
  void AdoptRecord(WallTime wall_now, const StartRecord& adopted);

  StarterConfig m_config;
  ProcessId m_self;
  std::shared_ptr<const PartitionTable> m_table;
  std::shared_ptr<const Inventory> m_inventory;
  MonoTime m_fresh_until = MonoTime::min();
  bool m_listed = false;
  bool m_draining = false;
  bool m_handing_over = false;
  RecordTable m_records;
  std::deque<QueuedTask> m_queue;
  // When a queued task may have to be refused next.
  MonoTime m_next_check = MonoTime::max();
  size_t m_running = 0;
  std::vector<StarterAction> m_actions;
};

}  // namespace comfreyshift

#endif  // DISPATCH_STARTER_H_
