#include "dispatch/job_runner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyshift {

namespace {

// Number of refusals after which a task is dropped. With the delays below this
// takes about 10 s, twice the maximum age of a freshness proof.
constexpr uint8_t kMaxTries = 16;
constexpr Milliseconds kFirstRetryDelay{20};
constexpr Milliseconds kMaxRetryDelay{1000};
constexpr Milliseconds kSettleRetryDelay{200};
// The placer's estimates change over time even without events, so the tasks
// that it left waiting are offered again after this delay.
constexpr Milliseconds kPlacePollDelay{20};

// The first retry is immediate, because only one target has refused so far.
Milliseconds RetryDelay(uint8_t tries) {
  if (tries <= 1) {
    return Milliseconds(0);
  }
  const int doublings = std::min(tries - 2, 8);
  return std::min(kFirstRetryDelay * (1 << doublings), kMaxRetryDelay);
}

bool IsInFlight(TaskState state) {
  return state == TaskState::kSent || state == TaskState::kSettling;
}

JobStop StopForLostOutcome(uint32_t index) {
  return {JobFailure::kUnknownMayHaveRun, NotRunReason::kNeverStarted,
          "the outcome of task " + std::to_string(index) + " is lost"};
}

JobStop StopForFailedTask(uint32_t index, const TaskAnswer& answer) {
  return {JobFailure::kTaskFailed, NotRunReason::kNeverStarted,
          "task " + std::to_string(index) + " ended with status " +
              std::to_string(answer.m_status)};
}

}  // namespace

JobRunner::JobRunner(const ProcessId& self,
                     uint64_t seed,
                     JobTable& jobs,
                     std::vector<OwnerAction>& actions)
    : m_self(self),
      m_jobs(jobs),
      m_actions(actions),
      m_targets(self),
      m_placer(seed) {}

void JobRunner::SetFreshUntil(MonoTime deadline) {
  m_fresh_until = deadline;
  if (!m_waiting.empty()) {
    m_place_at = MonoTime::min();
  }
}

void JobRunner::SetTargets(MonoTime now,
                           std::shared_ptr<const PartitionTable> table,
                           std::shared_ptr<const Inventory> inventory) {
  m_placer.SetTargets(now,
                      m_targets.Build(std::move(table), std::move(inventory)));
  m_refusal_replicator.SetHolders(m_targets.holders());
  m_jobs.ForEachActive([&](Job& job) {
    for (uint32_t i = 0; i < job.m_tasks.size(); ++i) {
      const JobTask& task = job.m_tasks[i];
      if (IsInFlight(task.m_state) && !IsAgent(*task.m_agent)) {
        OnTaskUnknown(job, i);
      }
    }
  });
  m_place_at = MonoTime::min();
}

void JobRunner::Start(MonoTime now, Job& job) {
  std::optional<JobStop> stop;
  // The queue returns the task pushed last first.
  for (auto i = static_cast<uint32_t>(job.m_tasks.size()); i-- > 0;) {
    const JobTask& task = job.m_tasks[i];
    if (task.m_state == TaskState::kWaiting) {
      m_waiting.Push(job, i);
    } else if (task.m_state == TaskState::kSettling) {
      ++job.m_outstanding;
      ++m_outstanding;
      m_placer.OnSent(now, *m_targets.IndexOf(*task.m_agent));
      SendSettleCommand(job, i);
    } else if (task.m_state == TaskState::kUnknown) {
      stop = StopForLostOutcome(i);
    } else if (task.m_state == TaskState::kDone && !task.m_answer.ok()) {
      stop = stop.value_or(StopForFailedTask(i, task.m_answer));
    }
  }
  if (stop) {
    Stop(job, *stop);
  }
  EndIfDecided(job);
  Place(now);
}

void JobRunner::Place(MonoTime now) {
  m_place_at = MonoTime::max();
  if (now >= m_fresh_until || m_draining) {
    return;
  }
  std::set<uint32_t> blocked;
  while (const auto item = m_waiting.Next(blocked)) {
    const auto target = ChooseTarget(now, *item);
    if (!target) {
      blocked.insert(item->m_class);
      m_place_at = now + kPlacePollDelay;
      continue;
    }
    m_waiting.Pop(*item);
    SendTask(now, *item->m_job, item->m_task, *target);
  }
}

std::optional<TargetIndex> JobRunner::ChooseTarget(
    MonoTime now,
    const WaitingQueue::Item& item) {
  const TaskSpec& spec = item.m_job->m_specs[item.m_task];
  const JobTask& task = item.m_job->m_tasks[item.m_task];
  const TargetSet::Allowed& allowed =
      m_targets.AllowedFor(m_waiting.ClassOf(item));
  if (allowed.m_count == 0) {
    return std::nullopt;
  }
  PlacementRequest request;
  request.m_allowed = &allowed.m_flags;
  request.m_client = item.m_job->m_client;
  request.m_request = spec.m_request;
  request.m_declared_run_time = spec.m_declared_run_time;
  request.m_memory_mb = spec.m_memory_mb;
  request.m_needs_accelerator = spec.m_needs_accelerator;
  request.m_tasks_left = std::max(1U, item.m_job->unsent());
  // The target that refused the task last is excluded if there is another.
  std::vector<bool> others;
  if (task.m_agent != nullptr && allowed.m_count > 1) {
    if (const auto refused = m_targets.IndexOf(*task.m_agent)) {
      others = allowed.m_flags;
      others[*refused] = false;
      request.m_allowed = &others;
    }
  }
  return m_placer.Choose(now, request);
}

void JobRunner::SendTask(MonoTime now,
                         Job& job,
                         uint32_t index,
                         TargetIndex target) {
  JobTask& task = job.m_tasks[index];
  task.m_state = TaskState::kSent;
  task.m_attempt = ++m_attempts;
  task.m_placing_attempt = {job.m_epoch, task.m_attempt};
  task.m_agent = m_targets.AgentAt(target);
  ++job.m_outstanding;
  ++m_outstanding;
  m_placer.OnSent(now, target);
  StartCommand command;
  command.m_partition = job.m_partition;
  command.m_epoch = job.m_epoch;
  command.m_attempt = task.m_attempt;
  command.m_owner = m_self;
  command.m_task = {job.m_key, index};
  command.m_first_sent = job.m_first_sent;
  command.m_client = job.m_client;
  command.m_spec = job.m_specs[index];
  command.m_deadline = job.m_deadline;
  command.m_due = job.due();
  m_actions.emplace_back(SendStart{*task.m_agent, std::move(command)});
}

void JobRunner::SendSettleCommand(Job& job, uint32_t index) {
  JobTask& task = job.m_tasks[index];
  task.m_attempt = ++m_attempts;
  m_actions.emplace_back(
      SendSettle{*task.m_agent,
                 SettleCommand{job.m_partition, job.m_epoch, task.m_attempt,
                               TaskRef{job.m_key, index}, job.m_first_sent}});
}

bool JobRunner::OnStartReply(MonoTime now,
                             const ProcessId& from,
                             StartReply reply) {
  OnLoad(now, from, reply.m_load);
  const uint32_t index = reply.m_task.m_index;
  Job* job = m_jobs.Find(reply.m_task.m_key);
  if (job == nullptr || index >= job->m_tasks.size()) {
    return true;
  }
  const JobTask& task = job->m_tasks[index];
  if (!IsInFlight(task.m_state) || task.m_attempt != reply.m_attempt ||
      *task.m_agent != from) {
    return true;
  }
  if (auto* done = std::get_if<TaskDone>(&reply.m_outcome)) {
    OnTaskDone(now, *job, index, std::move(*done));
  } else if (const auto* refused =
                 std::get_if<TaskNotStarted>(&reply.m_outcome)) {
    if (refused->m_reason == NotRunReason::kStaleEpoch) {
      return false;
    }
    OnTaskNotStarted(now, *job, index, refused->m_reason);
  } else {
    if (const auto target = m_targets.IndexOf(from)) {
      m_placer.OnDone(now, *target, Microseconds(0), false);
    }
    OnTaskUnknown(*job, index);
  }
  Place(now);
  return true;
}

void JobRunner::DecrementOutstanding(Job& job) {
  --job.m_outstanding;
  --m_outstanding;
}

void JobRunner::OnTaskDone(MonoTime now,
                           Job& job,
                           uint32_t index,
                           TaskDone done) {
  JobTask& task = job.m_tasks[index];
  const bool ok = done.m_answer.ok();
  const Milliseconds declared = index < job.m_specs.size()
                                    ? job.m_specs[index].m_declared_run_time
                                    : Milliseconds(0);
  if (const auto target = m_targets.IndexOf(*task.m_agent)) {
    m_placer.OnDone(now, *target, done.m_run_time, ok, declared);
  }
  DecrementOutstanding(job);
  task.m_state = TaskState::kDone;
  task.m_answer = std::move(done.m_answer);
  m_jobs.CountAnswer(task.m_answer);
  m_waiting.CountDone(job);
  if (!ok) {
    Stop(job, StopForFailedTask(index, task.m_answer));
  }
  EndIfDecided(job);
}

void JobRunner::OnTaskNotStarted(MonoTime now,
                                 Job& job,
                                 uint32_t index,
                                 NotRunReason reason) {
  JobTask& task = job.m_tasks[index];
  if (const auto target = m_targets.IndexOf(*task.m_agent)) {
    if (reason == NotRunReason::kTargetUnreachable) {
      // An unreachable target would look idle. It counts as failing, so that it
      // gets no tasks until a probe succeeds.
      m_placer.OnDone(now, *target, Microseconds(0), false);
    } else {
      m_placer.OnNotStarted(now, *target);
    }
  }
  DecrementOutstanding(job);
  if (job.m_stop || job.m_end) {
    task.m_state = TaskState::kDropped;
    EndIfDecided(job);
    return;
  }
  ++task.m_tries;
  if (task.m_tries >= kMaxTries) {
    task.m_state = TaskState::kDropped;
    Stop(job, {JobFailure::kNotRunPartly, reason,
               "task " + std::to_string(index) + " was refused " +
                   std::to_string(task.m_tries) + " times, last as " +
                   std::string(ToString(reason))});
    return;
  }
  task.m_state = TaskState::kDelayed;
  m_retry_timers.push(
      {now + RetryDelay(task.m_tries), {job.m_key, index}, task.m_attempt});
  RunDueRetries(now);
}

void JobRunner::OnTaskUnknown(Job& job, uint32_t index) {
  DecrementOutstanding(job);
  job.m_tasks[index].m_state = TaskState::kUnknown;
  ++job.m_unknown;
  Stop(job, StopForLostOutcome(index));
}

void JobRunner::OnReplyLost(MonoTime now,
                            const ProcessId& from,
                            const TaskRef& ref) {
  Job* job = m_jobs.Find(ref.m_key);
  if (job == nullptr || ref.m_index >= job->m_tasks.size()) {
    return;
  }
  JobTask& task = job->m_tasks[ref.m_index];
  if (!IsInFlight(task.m_state) || *task.m_agent != from) {
    return;
  }
  if (task.m_state == TaskState::kSent) {
    task.m_state = TaskState::kSettling;
    SendSettleCommand(*job, ref.m_index);
    return;
  }
  m_retry_timers.push({now + kSettleRetryDelay, ref, task.m_attempt});
}

void JobRunner::RunDueRetries(MonoTime now) {
  while (!m_retry_timers.empty() && m_retry_timers.top().m_at <= now) {
    const RetryTimer timer = m_retry_timers.top();
    m_retry_timers.pop();
    Job* job = m_jobs.Find(timer.m_task.m_key);
    if (job == nullptr) {
      continue;
    }
    const uint32_t index = timer.m_task.m_index;
    JobTask& task = job->m_tasks[index];
    if (task.m_attempt != timer.m_attempt) {
      continue;
    }
    if (task.m_state == TaskState::kSettling) {
      SendSettleCommand(*job, index);
    } else if (task.m_state == TaskState::kDelayed) {
      task.m_state = TaskState::kWaiting;
      m_waiting.Push(*job, index);
      m_place_at = MonoTime::min();
    }
  }
}

void JobRunner::Stop(Job& job, JobStop stop) {
  const bool unknown = stop.m_failure == JobFailure::kUnknownMayHaveRun;
  const bool first = !job.m_stop;
  // A job stopped by its deadline would still be complete with all answers, so
  // a failed task has to replace that stop.
  const bool failed_late = !first &&
                           job.m_stop->m_failure == JobFailure::kDeadline &&
                           stop.m_failure == JobFailure::kTaskFailed;
  if (first || unknown || failed_late) {
    job.m_stop = std::move(stop);
  }
  if (first) {
    m_waiting.RemoveAll(job);
    for (uint32_t i = 0; i < job.m_tasks.size(); ++i) {
      JobTask& task = job.m_tasks[i];
      if (IsInFlight(task.m_state)) {
        m_actions.emplace_back(SendCancel{*task.m_agent, {job.m_key, i}});
      } else if (task.m_state == TaskState::kWaiting ||
                 task.m_state == TaskState::kDelayed) {
        task.m_state = TaskState::kDropped;
      }
    }
  }
  EndIfDecided(job);
}

void JobRunner::EndIfDecided(Job& job) {
  if (job.m_end || job.m_refusing) {
    return;
  }
  const bool all_done = job.m_done == job.m_tasks.size();
  // A job that got all its answers is complete, even after its deadline.
  if (all_done &&
      (!job.m_stop || job.m_stop->m_failure == JobFailure::kDeadline)) {
    End(job, JobIsComplete{});
    return;
  }
  if (!job.m_stop) {
    return;
  }
  if (job.started()) {
    End(job, JobFailed{job.m_stop->m_failure, job.m_stop->m_detail});
    return;
  }
  if (job.m_outstanding == 0) {
    Refuse(job, job.m_stop->m_reason, job.m_stop->m_detail);
  }
}

void JobRunner::End(Job& job, JobEnd end) {
  m_jobs.End(job, std::move(end));
  m_actions.emplace_back(JobEnded{job.m_key, MakeAnswer(job)});
}

void JobRunner::Refuse(Job& job, NotRunReason reason, std::string detail) {
  if (!job.m_stop) {
    job.m_stop = JobStop{JobFailure::kNotRunPartly, reason, std::move(detail)};
  }
  job.m_refusing = true;
  StartRecord refusal;
  refusal.m_task = {job.m_key, kWholeJob};
  refusal.m_first_sent = job.m_first_sent;
  refusal.m_ended = true;
  refusal.m_outcome = TaskNotStarted{reason};
  if (!m_refusal_replicator.Begin(refusal, {job.m_partition, job.m_epoch},
                                  m_actions)) {
    End(job, JobNotRun{reason, job.m_stop->m_detail});
  }
}

void JobRunner::EndAsRefused(Job& job) {
  End(job, JobNotRun{job.m_stop->m_reason, job.m_stop->m_detail});
}

void JobRunner::Cancel(Job& job) {
  Stop(job, {JobFailure::kCancelled, NotRunReason::kCancelled,
             "the caller cancelled it"});
}

void JobRunner::Resume(Job& job, StartRecord record) {
  JobTask& task = job.m_tasks[record.m_task.m_index];
  task.m_placing_attempt = record.m_attempt;
  auto* done = std::get_if<TaskDone>(&record.m_outcome);
  if (record.m_ended && done != nullptr) {
    task.m_state = TaskState::kDone;
    task.m_answer = std::move(done->m_answer);
    m_jobs.CountAnswer(task.m_answer);
    ++job.m_done;
  } else if (!record.m_ended && IsAgent(record.m_agent)) {
    task.m_state = TaskState::kSettling;
  } else {
    task.m_state = TaskState::kUnknown;
    ++job.m_unknown;
  }
  task.m_agent = std::make_shared<const ProcessId>(std::move(record.m_agent));
}

void JobRunner::OnAdoptDone(MonoTime now, uint64_t id, bool adopted) {
  const auto key = m_refusal_replicator.OnDone(now, id, adopted);
  if (!key) {
    return;
  }
  Job* job = m_jobs.Find(*key);
  if (job != nullptr && job->m_refusing) {
    EndAsRefused(*job);
  }
}

void JobRunner::Drop(MonoTime now, const SubmissionKey& key) {
  Job& job = *m_jobs.Find(key);
  m_waiting.RemoveAll(job);
  m_refusal_replicator.Cancel(key);
  for (const JobTask& task : job.m_tasks) {
    if (!IsInFlight(task.m_state)) {
      continue;
    }
    --m_outstanding;
    if (const auto target = m_targets.IndexOf(*task.m_agent)) {
      m_placer.OnNotStarted(now, *target);
    }
  }
  m_jobs.Remove(key);
}

void JobRunner::OnLoad(MonoTime now,
                       const ProcessId& from,
                       const LoadReport& load) {
  if (const auto target = m_targets.IndexOf(from)) {
    m_placer.OnLoad(now, *target, load);
    if (!m_waiting.empty()) {
      m_place_at = MonoTime::min();
    }
  }
}

std::optional<NotRunReason> JobRunner::CheckTargetAvailable(
    const std::string& client,
    const TaskSpec& spec) {
  return m_targets.CheckAvailable(
      {client, spec.m_needs_accelerator, spec.m_memory_mb}, spec.m_request);
}

void JobRunner::Tick(MonoTime now) {
  while (Job* job = m_jobs.PopOverdue(now)) {
    if (job->m_refusing) {
      continue;
    }
    const auto reason =
        CheckTargetAvailable(job->m_client, job->m_specs.front());
    Stop(*job, {JobFailure::kDeadline, reason.value_or(NotRunReason::kDeadline),
                "the deadline passed"});
  }
  RunDueRetries(now);
  m_refusal_replicator.Tick(now, m_actions);
  if (m_place_at <= now) {
    Place(now);
  }
  m_jobs.Expire(now);
}

MonoTime JobRunner::NextDeadline() const {
  MonoTime next =
      std::min(m_jobs.NextDeadline(), m_refusal_replicator.NextDeadline());
  next = std::min(next, m_place_at);
  if (!m_retry_timers.empty()) {
    next = std::min(next, m_retry_timers.top().m_at);
  }
  return next;
}

}  // namespace comfreyshift
