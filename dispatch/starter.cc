#include "dispatch/starter.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

Starter::Starter(StarterConfig config, ProcessId self)
    : m_config(std::move(config)),
      m_self(std::move(self)),
      m_records(m_config.m_retention) {}

void Starter::SetTable(std::shared_ptr<const PartitionTable> table) {
  m_table = std::move(table);
  m_is_member = m_table->Find(m_self) != nullptr;
}

void Starter::SetInventory(std::shared_ptr<const Inventory> inventory) {
  m_inventory = std::move(inventory);
  m_next_check = MonoTime::min();
}

bool Starter::MayStart(MonoTime now, const std::string& client) const {
  return !CheckMayStart(now, client, MonoTime::max());
}

std::optional<NotRunReason> Starter::CheckMayStart(MonoTime now,
                                                   const std::string& client,
                                                   MonoTime deadline) const {
  if (now >= m_fresh_until) {
    return NotRunReason::kNotFresh;
  }
  if (!m_is_member) {
    return NotRunReason::kNotMember;
  }
  if (m_inventory == nullptr ||
      m_inventory->CheckStart(client, m_config.m_target)) {
    return NotRunReason::kDenied;
  }
  if (now >= deadline) {
    return NotRunReason::kDeadline;
  }
  return std::nullopt;
}

std::optional<NotRunReason> Starter::CheckStartCommand(
    MonoTime now,
    WallTime wall_now,
    const StartCommand& command) const {
  if (m_draining) {
    return NotRunReason::kShuttingDown;
  }
  if (m_records.IsExpired(wall_now, command.m_first_sent)) {
    return NotRunReason::kDeadline;
  }
  if (m_queue.size() >= m_config.m_max_queue) {
    return NotRunReason::kQueueFull;
  }
  return CheckMayStart(now, command.m_client, command.m_deadline);
}

PartitionId Starter::PartitionOf(const SubmissionKey& key) const {
  return key.Partition(static_cast<uint32_t>(m_table->m_partitions.size()));
}

bool Starter::IsCurrent(PartitionId partition, Epoch epoch) const {
  if (m_table != nullptr && partition < m_table->m_partitions.size() &&
      epoch < m_table->m_partitions[partition].m_epoch) {
    return false;
  }
  return m_records.IsCurrent(partition, epoch);
}

bool Starter::CheckAndObserveEpoch(PartitionId partition, Epoch epoch) {
  return IsCurrent(partition, epoch) &&
         m_records.ObserveEpoch(partition, epoch);
}

void Starter::OnStart(MonoTime now,
                      WallTime wall_now,
                      ReplyToken token,
                      StartCommand command) {
  const TaskRef task = command.m_task;
  const AttemptId attempt{command.m_epoch, command.m_attempt};
  if (!CheckAndObserveEpoch(command.m_partition, command.m_epoch)) {
    Reply(token, command.m_attempt, task,
          TaskNotStarted{NotRunReason::kStaleEpoch});
    return;
  }
  TaskRecord& record =
      m_records.Add(command.m_partition, task, command.m_first_sent);
  const bool superseded = attempt <= record.m_attempt;
  // The record's outcome is the reply to this attempt too, so the record covers
  // it from now on.
  record.m_attempt = std::max(record.m_attempt, attempt);
  if (record.m_state == RecordState::kEnded) {
    Reply(token, command.m_attempt, task, record.m_outcome);
    return;
  }
  if (record.m_state != RecordState::kTombstone) {
    record.m_waiting.push_back({token, command.m_attempt});
    return;
  }
  if (superseded) {
    Reply(token, command.m_attempt, task,
          TaskNotStarted{NotRunReason::kNeverStarted});
    return;
  }
  if (const auto reason = CheckStartCommand(now, wall_now, command)) {
    Reply(token, command.m_attempt, task, TaskNotStarted{*reason});
    return;
  }
  record.m_state = RecordState::kQueued;
  record.m_agent = m_self;
  record.m_waiting.push_back({token, command.m_attempt});
  m_next_check = std::min(m_next_check, command.m_deadline);
  Enqueue({command.m_partition,
           command.m_due,
           {task, std::move(command.m_client), std::move(command.m_spec),
            command.m_deadline}});
  RunQueued(now);
}

void Starter::Enqueue(QueuedTask task) {
  // Tasks with the same due time stay in order of arrival.
  const auto position =
      std::upper_bound(m_queue.begin(), m_queue.end(), task.m_due,
                       [](MonoTime due, const QueuedTask& queued) {
                         return due < queued.m_due;
                       });
  m_queue.insert(position, std::move(task));
}

void Starter::RunQueued(MonoTime now) {
  while (m_running < m_config.m_slots && !m_queue.empty()) {
    QueuedTask next = std::move(m_queue.front());
    m_queue.pop_front();
    const TaskRef task = next.m_run.m_task;
    TaskRecord& record = *m_records.Find(next.m_partition, task);
    const auto reason =
        CheckMayStart(now, next.m_run.m_client, next.m_run.m_deadline);
    if (reason) {
      End(task, record, TaskNotStarted{*reason});
      continue;
    }
    record.m_state = RecordState::kRunning;
    ++m_running;
    m_actions.emplace_back(std::move(next.m_run));
  }
}

void Starter::RefuseQueued(MonoTime now) {
  m_next_check = MonoTime::max();
  std::deque<QueuedTask> kept;
  for (QueuedTask& queued : m_queue) {
    const RunTask& run = queued.m_run;
    const auto reason = CheckMayStart(now, run.m_client, run.m_deadline);
    if (reason) {
      End(run.m_task, *m_records.Find(queued.m_partition, run.m_task),
          TaskNotStarted{*reason});
      continue;
    }
    m_next_check = std::min(m_next_check, run.m_deadline);
    kept.push_back(std::move(queued));
  }
  m_queue = std::move(kept);
}

void Starter::OnTaskEnded(MonoTime now,
                          const TaskRef& task,
                          TaskOutcome outcome) {
  TaskRecord* record = m_records.Find(PartitionOf(task.m_key), task);
  if (record == nullptr || record->m_state != RecordState::kRunning) {
    return;
  }
  --m_running;
  End(task, *record, std::move(outcome));
  RunQueued(now);
}

void Starter::End(const TaskRef& task,
                  TaskRecord& record,
                  TaskOutcome outcome) {
  const bool started = !std::holds_alternative<TaskNotStarted>(outcome);
  record.m_state = started ? RecordState::kEnded : RecordState::kTombstone;
  record.m_outcome = std::move(outcome);
  for (const WaitingReply& waiting : std::exchange(record.m_waiting, {})) {
    Reply(waiting.m_token, waiting.m_attempt, task, record.m_outcome);
  }
}

void Starter::Reply(ReplyToken token,
                    uint64_t attempt,
                    const TaskRef& task,
                    TaskOutcome outcome) {
  LoadReport load = Load();
  load.m_queued_of_owner = QueuedOfOwner(task.m_key);
  m_actions.emplace_back(
      ReplyStart{token, {task, attempt, std::move(outcome), load}});
}

void Starter::OnSettle(MonoTime /*now*/,
                       WallTime /*wall_now*/,
                       ReplyToken token,
                       const SettleCommand& command) {
  const TaskRef& task = command.m_task;
  if (!CheckAndObserveEpoch(command.m_partition, command.m_epoch)) {
    Reply(token, command.m_attempt, task,
          TaskNotStarted{NotRunReason::kStaleEpoch});
    return;
  }
  TaskRecord& record =
      m_records.Add(command.m_partition, task, command.m_first_sent);
  switch (record.m_state) {
    case RecordState::kEnded:
      Reply(token, command.m_attempt, task, record.m_outcome);
      return;
    case RecordState::kQueued:
    case RecordState::kRunning:
      record.m_waiting.push_back({token, command.m_attempt});
      return;
    case RecordState::kTombstone:
      record.m_attempt = std::max(
          record.m_attempt, AttemptId{command.m_epoch, command.m_attempt});
      Reply(token, command.m_attempt, task,
            TaskNotStarted{NotRunReason::kNeverStarted});
      return;
  }
}

CollectReply Starter::OnCollect(MonoTime /*now*/,
                                const CollectCommand& command) {
  CollectReply reply;
  for (const PartitionEpoch& item : command.m_partitions) {
    if (!IsCurrent(item.m_partition, item.m_epoch)) {
      return reply;
    }
  }
  reply.m_accepted = true;
  for (const PartitionEpoch& item : command.m_partitions) {
    m_records.ObserveEpoch(item.m_partition, item.m_epoch);
    m_records.Collect(item.m_partition, reply.m_records);
  }
  return reply;
}

bool Starter::OnAdopt(WallTime wall_now, const AdoptCommand& command) {
  if (m_table == nullptr || m_table->m_partitions.empty() || m_handing_over) {
    return false;
  }
  for (const PartitionEpoch& item : command.m_epochs) {
    if (!CheckAndObserveEpoch(item.m_partition, item.m_epoch)) {
      return false;
    }
  }
  for (const StartRecord& record : command.m_records) {
    AdoptRecord(wall_now, record);
  }
  return true;
}

void Starter::AdoptRecord(WallTime wall_now, const StartRecord& adopted) {
  if (m_records.IsExpired(wall_now,
                          adopted.m_first_sent + kAllowedClockError)) {
    return;
  }
  TaskRecord& record = m_records.Add(PartitionOf(adopted.m_task.m_key),
                                     adopted.m_task, adopted.m_first_sent);
  // An existing record is kept if its outcome is known or still to come, or if
  // the adopted one belongs to an earlier attempt and has no outcome.
  const bool older =
      adopted.m_attempt < record.m_attempt &&
      (!adopted.m_ended ||
       std::holds_alternative<TaskMayHaveRun>(adopted.m_outcome));
  const bool known =
      record.m_state != RecordState::kTombstone &&
      (older || !std::holds_alternative<TaskMayHaveRun>(record.m_outcome));
  if (known) {
    return;
  }
  record.m_attempt = adopted.m_attempt;
  record.m_agent = adopted.m_agent;
  record.m_state = RecordState::kEnded;
  // The outcome of a task that was running when its record was handed over is
  // lost.
  record.m_outcome =
      adopted.m_ended ? adopted.m_outcome : TaskOutcome(TaskMayHaveRun{});
}

void Starter::OnCancel(MonoTime /*now*/, const TaskRef& task) {
  const auto found = std::find_if(
      m_queue.begin(), m_queue.end(),
      [&](const QueuedTask& queued) { return queued.m_run.m_task == task; });
  if (found == m_queue.end()) {
    return;
  }
  TaskRecord& record = *m_records.Find(found->m_partition, task);
  m_queue.erase(found);
  End(task, record, TaskNotStarted{NotRunReason::kCancelled});
}

void Starter::StartDraining(MonoTime /*now*/) {
  m_draining = true;
  for (const QueuedTask& queued : std::exchange(m_queue, {})) {
    const TaskRef& task = queued.m_run.m_task;
    End(task, *m_records.Find(queued.m_partition, task),
        TaskNotStarted{NotRunReason::kShuttingDown});
  }
}

std::vector<StartRecord> Starter::BeginHandover() {
  m_handing_over = true;
  return m_records.CollectAll();
}

void Starter::Tick(MonoTime now, WallTime wall_now) {
  if (now >= NextDeadline()) {
    RefuseQueued(now);
  }
  RunQueued(now);
  m_records.Expire(wall_now);
}

MonoTime Starter::NextDeadline() const {
  if (m_queue.empty()) {
    return MonoTime::max();
  }
  return std::min(m_next_check, m_fresh_until);
}

std::vector<StarterAction> Starter::TakeActions() {
  return std::exchange(m_actions, {});
}

std::optional<uint32_t> Starter::QueuedOfOwner(const SubmissionKey& key) const {
  if (m_table == nullptr || m_table->m_partitions.empty()) {
    return std::nullopt;
  }
  const auto& owner = m_table->m_partitions[PartitionOf(key)].m_owner;
  return static_cast<uint32_t>(std::count_if(
      m_queue.begin(), m_queue.end(), [&](const QueuedTask& queued) {
        return m_table->m_partitions[queued.m_partition].m_owner == owner;
      }));
}

LoadReport Starter::Load() const {
  return {static_cast<uint32_t>(m_running),
          static_cast<uint32_t>(m_queue.size()), m_config.m_slots,
          std::nullopt};
}

}  // namespace comfreyshift
