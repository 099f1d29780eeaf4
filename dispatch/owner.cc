#include "dispatch/owner.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// Jobs and records are kept this long past the retention, because the clock of
// another process that accepts their keys may differ by the clock error.
constexpr Milliseconds kExpiryMargin = 2 * kAllowedClockError;
constexpr Milliseconds kExpiryInterval = std::chrono::seconds(10);
// Refused jobs are kept too: together with the others they may reach this
// multiple of m_max_jobs. Above it, submissions are redirected.
constexpr size_t kRefusedJobsFactor = 2;

JobNotRun RefuseReusedKey() {
  return {NotRunReason::kKeyReused,
          "the key belongs to another submission; nothing of this one was run"};
}

}  // namespace

Owner::Owner(OwnerConfig config, ProcessId self)
    : m_config(config),
      m_self(std::move(self)),
      m_runner(m_self, config.m_seed, m_jobs, m_actions),
      m_takeovers(m_self),
      m_table_changes(config.m_freshness) {}

PartitionId Owner::PartitionOf(const SubmissionKey& key) const {
  return key.Partition(static_cast<uint32_t>(m_table->m_partitions.size()));
}

void Owner::SetTable(MonoTime now,
                     WallTime wall_now,
                     Revision revision,
                     std::shared_ptr<const PartitionTable> table) {
  if (m_table != nullptr && revision <= m_revision) {
    return;
  }
  m_revision = revision;
  const auto before = std::exchange(m_table, std::move(table));
  m_table_changes.OnTable(now, revision, m_table->LatestChange());
  const std::vector<PartitionId> gained = UpdateOwnedPartitions(now);
  m_takeovers.SetTable(now, m_table);
  RecollectAfterDepartures(now, before.get());
  m_takeovers.Begin(now, m_table, gained);
  m_runner.SetTargets(now, m_table, m_inventory);
  FinishTakeovers(now, wall_now);
}

std::vector<PartitionId> Owner::UpdateOwnedPartitions(MonoTime now) {
  std::vector<PartitionId> gained;
  std::set<PartitionId> lost;
  for (PartitionId id = 0; id < m_table->m_partitions.size(); ++id) {
    const Partition& partition = m_table->m_partitions[id];
    const auto owned = m_owned_partitions.find(id);
    const bool mine = partition.m_owner && *partition.m_owner == m_self;
    if (owned != m_owned_partitions.end() &&
        (!mine || owned->second.m_epoch != partition.m_epoch)) {
      lost.insert(id);
    }
    if (mine && (owned == m_owned_partitions.end() ||
                 owned->second.m_epoch != partition.m_epoch)) {
      gained.push_back(id);
    }
  }
  DropPartitions(now, lost);
  std::vector<PartitionId> to_collect;
  for (const PartitionId id : gained) {
    OwnedPartition& owned = m_owned_partitions[id];
    owned = OwnedPartition();
    owned.m_epoch = m_table->m_partitions[id].m_epoch;
    // Epoch 1 has no previous owner, so there are no records to collect.
    if (owned.m_epoch == 1) {
      owned.m_phase = Phase::kServing;
    } else {
      to_collect.push_back(id);
    }
  }
  return to_collect;
}

void Owner::DropPartitions(MonoTime now,
                           const std::set<PartitionId>& partitions) {
  if (partitions.empty()) {
    return;
  }
  std::vector<SubmissionKey> keys;
  m_jobs.ForEach([&](Job& job) {
    if (!partitions.contains(job.m_partition)) {
      return;
    }
    keys.push_back(job.m_key);
    std::vector<StartRecord> records;
    AppendRecords(job, records);
    for (StartRecord& record : records) {
      m_unclaimed_records.Add(*m_table, job.m_partition, std::move(record));
    }
  });
  for (const SubmissionKey& key : keys) {
    if (!m_jobs.Find(key)->m_end) {
      m_actions.emplace_back(JobDropped{key});
    }
    m_runner.Drop(now, key);
  }
  std::erase_if(m_deferred, [&](const auto& item) {
    if (!partitions.contains(item.second.m_partition)) {
      return false;
    }
    m_actions.emplace_back(JobDropped{item.first});
    return true;
  });
  for (const PartitionId id : partitions) {
    OwnedPartition& owned = m_owned_partitions[id];
    if (owned.m_phase == Phase::kServing) {
      m_histories[id] = {id, owned.m_epoch, owned.m_unknown_before};
    }
    owned.m_phase = Phase::kLost;
    m_takeovers.Cancel(id);
  }
}

void Owner::RecollectAfterDepartures(MonoTime now,
                                     const PartitionTable* before) {
  if (before == nullptr) {
    return;
  }
  std::set<ProcessId> departed;
  for (const Member& member : before->m_members) {
    if (m_table->Find(member.m_id) == nullptr &&
        m_table->CleanDepartureTime(member.m_id)) {
      departed.insert(member.m_id);
    }
  }
  if (departed.empty()) {
    return;
  }
  std::set<PartitionId> affected;
  m_unclaimed_records.FindRunningAt(departed, affected);
  m_jobs.ForEachActive([&](Job& job) {
    if (!job.m_end && job.IsInFlightAt(departed)) {
      affected.insert(job.m_partition);
    }
  });
  std::map<PartitionId, WallTime> to_recollect;
  for (const PartitionId id : affected) {
    const auto owned = m_owned_partitions.find(id);
    if (owned == m_owned_partitions.end() ||
        owned->second.m_phase != Phase::kServing) {
      continue;
    }
    owned->second.m_phase = Phase::kTakingOver;
    DeferJobs(now, id);
    to_recollect[id] = owned->second.m_unknown_before;
  }
  m_takeovers.Recollect(now, to_recollect);
}

void Owner::DeferJobs(MonoTime now, PartitionId partition) {
  std::vector<Job*> jobs;
  m_jobs.ForEachActive([&](Job& job) {
    if (job.m_partition == partition && !job.m_end && !job.m_refusing) {
      jobs.push_back(&job);
    }
  });
  for (Job* job : jobs) {
    std::vector<StartRecord> records;
    AppendRecords(*job, records);
    for (StartRecord& record : records) {
      m_unclaimed_records.Add(*m_table, partition, std::move(record));
    }
    DeferredSubmission deferred;
    deferred.m_partition = partition;
    deferred.m_cancelled =
        job->m_stop && job->m_stop->m_failure == JobFailure::kCancelled;
    deferred.m_no_other_content_started = job->m_no_other_content_started;
    Submission& submission = deferred.m_submission;
    submission.m_key = job->m_key;
    submission.m_first_sent = job->m_first_sent;
    submission.m_client = job->m_client;
    submission.m_tasks = std::move(job->m_specs);
    submission.m_deadline = job->m_deadline;
    m_runner.Drop(now, job->m_key);
    m_deferred[submission.m_key] = std::move(deferred);
  }
}

void Owner::SetInventory(MonoTime now,
                         std::shared_ptr<const Inventory> inventory) {
  m_inventory = std::move(inventory);
  m_runner.SetTargets(now, m_table, m_inventory);
}

void Owner::OnRevisionConfirmed(MonoTime now, Revision revision) {
  m_table_changes.OnConfirmed(now, revision);
}

SubmitResult Owner::Submit(MonoTime now,
                           WallTime wall_now,
                           Submission submission) {
  if (const auto known = SubmitKnownKey(submission)) {
    return *known;
  }
  if (m_table == nullptr || m_table->m_partitions.empty()) {
    return SubmitRedirect{NotRunReason::kNotMember};
  }
  const PartitionId partition = PartitionOf(submission.m_key);
  const auto refused = CheckSubmission(now, wall_now, submission, partition);
  if (refused) {
    return *refused;
  }
  if (m_owned_partitions.at(partition).m_phase == Phase::kTakingOver) {
    const SubmissionKey key = submission.m_key;
    m_deferred[key] = DeferredSubmission{std::move(submission), partition};
    return SubmitAccepted{false};
  }
  StartJob(now, wall_now, std::move(submission));
  return SubmitAccepted{false};
}

std::optional<SubmitResult> Owner::SubmitKnownKey(
    const Submission& submission) const {
  if (const auto deferred = m_deferred.find(submission.m_key);
      deferred != m_deferred.end()) {
    if (Fingerprint(deferred->second.m_submission) == Fingerprint(submission)) {
      return SubmitAccepted{true};
    }
    if (deferred->second.m_no_other_content_started) {
      return SubmitAnswered{RefuseReusedKey()};
    }
    // Until the takeover is complete it is not known whether tasks of this
    // content may have run.
    return SubmitRedirect{NotRunReason::kNotOwner};
  }
  const Job* job = m_jobs.Find(submission.m_key);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (job->m_fingerprint != Fingerprint(submission)) {
    if (job->m_no_other_content_started) {
      return SubmitAnswered{RefuseReusedKey()};
    }
    return SubmitAnswered{
        JobFailed{JobFailure::kUnknownMayHaveRun,
                  "the key was used for a submission with other content"}};
  }
  if (job->m_end) {
    return SubmitAnswered{MakeAnswer(*job)};
  }
  return SubmitAccepted{true};
}

std::optional<SubmitResult> Owner::CheckSubmission(
    MonoTime now,
    WallTime wall_now,
    const Submission& submission,
    PartitionId partition) const {
  if (wall_now - submission.m_first_sent > m_config.m_retention) {
    return SubmitAnswered{JobFailed{JobFailure::kUnknownMayHaveRun,
                                    "the key is older than records are kept"}};
  }
  if (submission.m_first_sent - wall_now > m_config.m_retention) {
    return SubmitAnswered{
        JobNotRun{NotRunReason::kDenied, "the key's time is in the future"}};
  }
  const auto owned = m_owned_partitions.find(partition);
  if (owned == m_owned_partitions.end() ||
      owned->second.m_phase == Phase::kLost) {
    return SubmitRedirect{NotRunReason::kNotOwner};
  }
  if (m_draining) {
    return SubmitRedirect{NotRunReason::kShuttingDown};
  }
  if (now >= m_fresh_until) {
    return SubmitRedirect{NotRunReason::kNotFresh};
  }
  if (m_jobs.size() + m_deferred.size() >=
      m_config.m_max_jobs * kRefusedJobsFactor) {
    return SubmitRedirect{NotRunReason::kQueueFull};
  }
  return std::nullopt;
}

Job& Owner::CreateJob(MonoTime now,
                      WallTime wall_now,
                      Submission submission,
                      PartitionId partition) {
  auto job = std::make_unique<Job>();
  job->m_key = submission.m_key;
  job->m_partition = partition;
  job->m_epoch = m_owned_partitions.at(partition).m_epoch;
  job->m_first_sent = submission.m_first_sent;
  job->m_fingerprint = Fingerprint(submission);
  job->m_client = std::move(submission.m_client);
  job->m_specs = std::move(submission.m_tasks);
  job->m_tasks.resize(job->m_specs.size());
  job->m_sequence = m_sequence++;
  job->m_submitted = now;
  // No task starts after its key has expired: its record could be removed
  // before a resubmission of the key is refused.
  const MonoTime too_old =
      now + (job->m_first_sent + m_config.m_retention - wall_now);
  job->m_deadline = std::min(submission.m_deadline, too_old);
  return m_jobs.Add(std::move(job), too_old + kExpiryMargin);
}

Job& Owner::StartJob(MonoTime now, WallTime wall_now, Submission submission) {
  const PartitionId partition = PartitionOf(submission.m_key);
  std::vector<StartRecord> records =
      m_unclaimed_records.Take(partition, submission.m_key);
  const bool resumed = !records.empty();
  Job& job = CreateJob(now, wall_now, std::move(submission), partition);
  if (!Resume(job, std::move(records))) {
    m_runner.EndAsRefused(job);
    return job;
  }
  MarkUnknown(job);
  job.m_no_other_content_started = !resumed && job.m_unknown == 0;
  if (!resumed && !job.started()) {
    if (auto refused = CheckNewJob(wall_now, job)) {
      m_runner.Refuse(job, refused->m_reason, std::move(refused->m_detail));
      return job;
    }
  }
  m_runner.Start(now, job);
  return job;
}

std::optional<JobNotRun> Owner::CheckNewJob(WallTime wall_now, const Job& job) {
  if (job.m_first_sent - wall_now > kAllowedClockError) {
    return JobNotRun{NotRunReason::kDenied, "the key's time is in the future"};
  }
  if (job.m_specs.empty() || job.m_specs.size() > kMaxTasksPerJob) {
    return JobNotRun{NotRunReason::kCannotRun,
                     "a job needs 1 to " + std::to_string(kMaxTasksPerJob) +
                         " tasks, this one has " +
                         std::to_string(job.m_specs.size())};
  }
  if (m_jobs.size() > m_config.m_max_jobs ||
      m_jobs.answer_bytes() > m_config.m_max_answer_bytes) {
    return JobNotRun{NotRunReason::kQueueFull, "the owner keeps too many jobs"};
  }
  for (uint32_t i = 0; i < job.m_specs.size(); ++i) {
    // Equal consecutive tasks have the same result.
    if (i > 0 && job.m_specs[i] == job.m_specs[i - 1]) {
      continue;
    }
    const auto reason =
        m_runner.CheckTargetAvailable(job.m_client, job.m_specs[i]);
    if (reason) {
      return JobNotRun{*reason, "no target can take task " + std::to_string(i)};
    }
  }
  return std::nullopt;
}

bool Owner::Resume(Job& job, std::vector<StartRecord> records) {
  bool refused = false;
  bool started = false;
  for (StartRecord& record : records) {
    const uint32_t index = record.m_task.m_index;
    if (index == kWholeJob) {
      refused = true;
      const auto* reason = std::get_if<TaskNotStarted>(&record.m_outcome);
      job.m_stop = JobStop{
          JobFailure::kNotRunPartly,
          reason == nullptr ? NotRunReason::kNeverStarted : reason->m_reason,
          "an earlier owner refused the job"};
      continue;
    }
    const bool unstarted =
        !record.m_ended &&
        m_table->MissingRecordProvesNotStarted(record.m_agent);
    if (index < job.m_tasks.size() && !unstarted) {
      started = true;
      m_runner.Resume(job, std::move(record));
    }
  }
  if (started) {
    if (refused) {
      job.m_stop.reset();
    }
    return true;
  }
  return !refused;
}

void Owner::MarkUnknown(Job& job) const {
  const WallTime unknown_before =
      m_owned_partitions.at(job.m_partition).m_unknown_before;
  if (unknown_before == WallTime() ||
      job.m_first_sent >= unknown_before + kAllowedClockError) {
    return;
  }
  for (JobTask& task : job.m_tasks) {
    if (task.m_state == TaskState::kWaiting) {
      task.m_state = TaskState::kUnknown;
      task.m_placing_attempt = {job.m_epoch, 0};
      ++job.m_unknown;
    }
  }
}

std::optional<JobAnswer> Owner::Fetch(const SubmissionKey& key) const {
  const Job* job = m_jobs.Find(key);
  if (job == nullptr || !job->m_end) {
    return std::nullopt;
  }
  return MakeAnswer(*job);
}

bool Owner::Cancel(MonoTime /*now*/, const SubmissionKey& key) {
  const auto deferred = m_deferred.find(key);
  if (deferred != m_deferred.end()) {
    deferred->second.m_cancelled = true;
    return true;
  }
  Job* job = m_jobs.Find(key);
  if (job == nullptr) {
    return false;
  }
  if (!job->m_end && !job->m_refusing) {
    m_runner.Cancel(*job);
  }
  return true;
}

void Owner::OnStartReply(MonoTime now,
                         const ProcessId& from,
                         StartReply reply) {
  const SubmissionKey key = reply.m_task.m_key;
  if (!m_runner.OnStartReply(now, from, std::move(reply))) {
    DropPartitions(now, {PartitionOf(key)});
  }
}

void Owner::OnReplyLost(MonoTime now,
                        const ProcessId& from,
                        const TaskRef& task) {
  m_runner.OnReplyLost(now, from, task);
}

void Owner::OnCollectReply(MonoTime now,
                           WallTime wall_now,
                           const ProcessId& from,
                           const CollectCommand& command,
                           CollectReply reply) {
  if (!m_takeovers.OnReply(now, from, command, reply)) {
    return;
  }
  for (StartRecord& record : reply.m_records) {
    const PartitionId partition = PartitionOf(record.m_task.m_key);
    m_unclaimed_records.Add(*m_table, partition, std::move(record));
  }
  FinishTakeovers(now, wall_now);
}

void Owner::OnCollectLost(MonoTime now,
                          const ProcessId& from,
                          const CollectCommand& command) {
  m_takeovers.OnLost(now, from, command);
}

void Owner::OnAdoptDone(MonoTime now, uint64_t id, bool adopted) {
  m_runner.OnAdoptDone(now, id, adopted);
}

void Owner::OnCollect(MonoTime now,
                      const CollectCommand& command,
                      CollectReply& reply) {
  std::set<PartitionId> lost;
  for (const PartitionEpoch& item : command.m_partitions) {
    const auto owned = m_owned_partitions.find(item.m_partition);
    if (owned != m_owned_partitions.end() &&
        owned->second.m_epoch < item.m_epoch &&
        owned->second.m_phase != Phase::kLost) {
      lost.insert(item.m_partition);
    }
  }
  DropPartitions(now, lost);
  for (const PartitionEpoch& item : command.m_partitions) {
    m_unclaimed_records.Append(item.m_partition, reply.m_records);
    const auto history = m_histories.find(item.m_partition);
    if (history != m_histories.end() &&
        history->second.m_epoch < item.m_epoch) {
      reply.m_histories.push_back(history->second);
    }
  }
}

void Owner::FinishTakeovers(MonoTime now, WallTime wall_now) {
  for (const Takeovers::CompletedTakeover& served :
       m_takeovers.TakeCompleted(m_table_changes)) {
    OwnedPartition& owned = m_owned_partitions.at(served.m_partition);
    owned.m_phase = Phase::kServing;
    owned.m_unknown_before = served.m_unknown_before;
    SubmitDeferred(now, wall_now, served.m_partition);
  }
}

void Owner::SubmitDeferred(MonoTime now,
                           WallTime wall_now,
                           PartitionId partition) {
  std::vector<DeferredSubmission> ready;
  std::erase_if(m_deferred, [&](auto& item) {
    if (item.second.m_partition != partition) {
      return false;
    }
    ready.push_back(std::move(item.second));
    return true;
  });
  for (DeferredSubmission& deferred : ready) {
    const SubmissionKey key = deferred.m_submission.m_key;
    Job& job = StartJob(now, wall_now, std::move(deferred.m_submission));
    job.m_no_other_content_started |= deferred.m_no_other_content_started;
    if (deferred.m_cancelled) {
      Cancel(now, key);
    }
  }
}

void Owner::StartDraining(MonoTime /*now*/) {
  m_draining = true;
  m_runner.StartDraining();
}

std::vector<StartRecord> Owner::Records() const {
  std::vector<StartRecord> records;
  m_unclaimed_records.AppendAll(records);
  m_jobs.ForEach([&](Job& job) { AppendRecords(job, records); });
  return records;
}

void Owner::OnLoad(MonoTime now,
                   const ProcessId& from,
                   const LoadReport& load) {
  m_runner.OnLoad(now, from, load);
}

void Owner::Tick(MonoTime now, WallTime wall_now) {
  m_table_changes.Tick(now, wall_now);
  m_takeovers.Tick(now, m_actions);
  FinishTakeovers(now, wall_now);
  m_runner.Tick(now);
  if (m_expire_at <= now) {
    m_expire_at = now + kExpiryInterval;
    m_unclaimed_records.Expire(wall_now - m_config.m_retention - kExpiryMargin);
  }
}

MonoTime Owner::NextDeadline() const {
  MonoTime next = std::min(m_runner.NextDeadline(), m_takeovers.NextDeadline());
  next = std::min(next, m_table_changes.NextDeadline());
  return next;
}

std::vector<OwnerAction> Owner::TakeActions() {
  return std::exchange(m_actions, {});
}

}  // namespace comfreyshift
