#include "rpc/wire.h"

#include <kj/debug.h>

#include <algorithm>
#include <string_view>
#include <type_traits>

namespace comfreyshift::wire_codec {

namespace {

constexpr auto kLastReason = NotRunReason::kKeyReused;
constexpr auto kLastFailure = JobFailure::kNotRunPartly;

// The longest time left that a peer may state: a day, far above any deadline
// and far below what would overflow a time point.
constexpr int64_t kMaxTimeLeftUs =
    std::chrono::microseconds(std::chrono::hours(24)).count();

std::string ReadText(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

std::string ReadBytes(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

capnp::Data::Reader ToData(std::string_view bytes) {
  return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()),
                             bytes.size());
}

capnp::Data::Reader ToData(const SubmissionKey& key) {
  return capnp::Data::Reader(key.bytes().data(), key.bytes().size());
}

MonoTime ReadDeadline(int64_t time_left_us, MonoTime now) {
  return now + Microseconds(
                   std::clamp(time_left_us, -kMaxTimeLeftUs, kMaxTimeLeftUs));
}

int64_t TimeLeftUs(MonoTime deadline, MonoTime now) {
  return std::chrono::duration_cast<Microseconds>(deadline - now).count();
}

WallTime ReadWallTime(int64_t ms) {
  return WallTime(Milliseconds(ms));
}

int64_t WallMs(WallTime time) {
  return time.time_since_epoch().count();
}

TaskSpec Read(wire::TaskSpec::Reader in) {
  return {ReadText(in.getRequest()), ReadBytes(in.getPayload()),
          Milliseconds(in.getDeclaredRunTimeMs()), in.getMemoryMb(),
          in.getNeedsAccelerator()};
}

void Write(const TaskSpec& spec, wire::TaskSpec::Builder out) {
  out.setRequest(spec.m_request);
  out.setPayload(ToData(spec.m_payload));
  out.setDeclaredRunTimeMs(
      static_cast<uint64_t>(spec.m_declared_run_time.count()));
  out.setMemoryMb(spec.m_memory_mb);
  out.setNeedsAccelerator(spec.m_needs_accelerator);
}

TaskAnswer Read(wire::TaskAnswer::Reader in) {
  return {in.getStatus(), ReadBytes(in.getBody())};
}

void Write(const TaskAnswer& answer, wire::TaskAnswer::Builder out) {
  out.setStatus(answer.m_status);
  out.setBody(ToData(answer.m_body));
}

TaskOutcome Read(wire::TaskOutcome::Reader in) {
  switch (in.which()) {
    case wire::TaskOutcome::DONE:
      return TaskDone{Read(in.getDone().getAnswer()),
                      Microseconds(in.getDone().getRunTimeUs())};
    case wire::TaskOutcome::NOT_STARTED:
      return TaskNotStarted{ReadReason(in.getNotStarted())};
    case wire::TaskOutcome::MAY_HAVE_RUN:
      return TaskMayHaveRun{};
  }
  KJ_FAIL_REQUIRE("task outcome of unknown kind");
}

void Write(const TaskOutcome& outcome, wire::TaskOutcome::Builder out) {
  std::visit(
      [&](const auto& value) {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, TaskDone>) {
          Write(value.m_answer, out.initDone().initAnswer());
          out.getDone().setRunTimeUs(value.m_run_time.count());
        } else if constexpr (std::is_same_v<T, TaskNotStarted>) {
          out.setNotStarted(static_cast<uint8_t>(value.m_reason));
        } else {
          out.setMayHaveRun();
        }
      },
      outcome);
}

void Write(const JobComplete& complete, wire::JobAnswer::Builder out) {
  auto list = out.initComplete(complete.m_answers.size());
  for (size_t i = 0; i < complete.m_answers.size(); ++i) {
    Write(complete.m_answers[i], list[i]);
  }
}

void Write(const JobFailed& failed, wire::JobAnswer::Builder out) {
  out.initFailed().setFailure(static_cast<uint8_t>(failed.m_failure));
  out.getFailed().setDetail(failed.m_detail);
}

void Write(const JobNotRun& not_run, wire::JobAnswer::Builder out) {
  out.initNotRun().setReason(static_cast<uint8_t>(not_run.m_reason));
  out.getNotRun().setNotRunDetail(not_run.m_detail);
}

LoadReport Read(wire::Load::Reader in) {
  LoadReport load{in.getRunning(), in.getQueued(), in.getSlots(), std::nullopt};
  if (in.getQueuedOfOwner() >= 0) {
    load.m_queued_of_owner = static_cast<uint32_t>(in.getQueuedOfOwner());
  }
  return load;
}

void Write(const LoadReport& load, wire::Load::Builder out) {
  out.setRunning(load.m_running);
  out.setQueued(load.m_queued);
  out.setSlots(load.m_slots);
  if (load.m_queued_of_owner) {
    out.setQueuedOfOwner(*load.m_queued_of_owner);
  }
}

std::vector<PartitionEpoch> Read(capnp::List<wire::PartitionEpoch>::Reader in) {
  std::vector<PartitionEpoch> epochs;
  epochs.reserve(in.size());
  for (const auto partition : in) {
    epochs.push_back({partition.getPartition(), partition.getEpoch()});
  }
  return epochs;
}

void Write(const std::vector<PartitionEpoch>& epochs,
           capnp::List<wire::PartitionEpoch>::Builder out) {
  for (size_t i = 0; i < epochs.size(); ++i) {
    out[i].setPartition(epochs[i].m_partition);
    out[i].setEpoch(epochs[i].m_epoch);
  }
}

}  // namespace

SubmissionKey ReadKey(capnp::Data::Reader data) {
  std::array<uint8_t, 16> bytes{};
  KJ_REQUIRE(data.size() == bytes.size(), "submission key is not 16 bytes long",
             data.size());
  std::copy(data.begin(), data.end(), bytes.begin());
  return SubmissionKey(bytes);
}

ProcessId Read(wire::ProcessId::Reader in) {
  return {ReadText(in.getName()), in.getIncarnation()};
}

void Write(const ProcessId& id, wire::ProcessId::Builder out) {
  out.setName(id.m_name);
  out.setIncarnation(id.m_incarnation);
}

NotRunReason ReadReason(uint8_t value) {
  KJ_REQUIRE(value <= static_cast<uint8_t>(kLastReason),
             "reason is out of range", value);
  return static_cast<NotRunReason>(value);
}

TaskRef Read(wire::TaskRef::Reader in) {
  KJ_REQUIRE(in.getIndex() < kMaxTasksPerJob || in.getIndex() == kWholeJob,
             "task index is out of range", in.getIndex());
  return {ReadKey(in.getKey()), in.getIndex()};
}

void Write(const TaskRef& task, wire::TaskRef::Builder out) {
  out.setKey(ToData(task.m_key));
  out.setIndex(task.m_index);
}

Submission Read(wire::Submission::Reader in, MonoTime now) {
  Submission submission;
  submission.m_key = ReadKey(in.getKey());
  submission.m_first_sent = ReadWallTime(in.getFirstSentMs());
  submission.m_client = ReadText(in.getClient());
  submission.m_deadline = ReadDeadline(in.getTimeLeftUs(), now);
  const auto tasks = in.getTasks();
  KJ_REQUIRE(tasks.size() > 0 && tasks.size() <= kMaxTasksPerJob,
             "number of tasks is out of range", tasks.size());
  submission.m_tasks.reserve(tasks.size());
  for (const auto task : tasks) {
    submission.m_tasks.push_back(Read(task));
  }
  return submission;
}

void Write(const Submission& submission,
           MonoTime now,
           wire::Submission::Builder out) {
  out.setKey(ToData(submission.m_key));
  out.setFirstSentMs(WallMs(submission.m_first_sent));
  out.setClient(submission.m_client);
  out.setTimeLeftUs(TimeLeftUs(submission.m_deadline, now));
  auto tasks = out.initTasks(submission.m_tasks.size());
  for (size_t i = 0; i < submission.m_tasks.size(); ++i) {
    Write(submission.m_tasks[i], tasks[i]);
  }
}

JobAnswer Read(wire::JobAnswer::Reader in) {
  switch (in.which()) {
    case wire::JobAnswer::COMPLETE: {
      JobComplete complete;
      complete.m_answers.reserve(in.getComplete().size());
      for (const auto answer : in.getComplete()) {
        complete.m_answers.push_back(Read(answer));
      }
      return complete;
    }
    case wire::JobAnswer::FAILED: {
      const uint8_t failure = in.getFailed().getFailure();
      KJ_REQUIRE(failure <= static_cast<uint8_t>(kLastFailure),
                 "job failure is out of range", failure);
      return JobFailed{static_cast<JobFailure>(failure),
                       ReadText(in.getFailed().getDetail())};
    }
    case wire::JobAnswer::NOT_RUN:
      return JobNotRun{ReadReason(in.getNotRun().getReason()),
                       ReadText(in.getNotRun().getNotRunDetail())};
  }
  KJ_FAIL_REQUIRE("job answer of unknown kind");
}

void Write(const JobAnswer& answer, wire::JobAnswer::Builder out) {
  std::visit([&](const auto& value) { Write(value, out); }, answer);
}

StartCommand Read(wire::StartCommand::Reader in, MonoTime now) {
  StartCommand command;
  command.m_partition = in.getPartition();
  command.m_epoch = in.getEpoch();
  command.m_attempt = in.getAttempt();
  command.m_owner = Read(in.getOwner());
  command.m_task = Read(in.getTask());
  command.m_first_sent = ReadWallTime(in.getFirstSentMs());
  command.m_client = ReadText(in.getClient());
  command.m_spec = Read(in.getSpec());
  command.m_deadline = ReadDeadline(in.getTimeLeftUs(), now);
  command.m_due = ReadDeadline(in.getDueInUs(), now);
  return command;
}

void Write(const StartCommand& command,
           MonoTime now,
           wire::StartCommand::Builder out) {
  out.setPartition(command.m_partition);
  out.setEpoch(command.m_epoch);
  out.setAttempt(command.m_attempt);
  Write(command.m_owner, out.initOwner());
  Write(command.m_task, out.initTask());
  out.setFirstSentMs(WallMs(command.m_first_sent));
  out.setClient(command.m_client);
  Write(command.m_spec, out.initSpec());
  out.setTimeLeftUs(TimeLeftUs(command.m_deadline, now));
  out.setDueInUs(TimeLeftUs(command.m_due, now));
}

StartReply Read(wire::StartReply::Reader in) {
  return {Read(in.getTask()), in.getAttempt(), Read(in.getOutcome()),
          Read(in.getLoad())};
}

void Write(const StartReply& reply, wire::StartReply::Builder out) {
  Write(reply.m_task, out.initTask());
  out.setAttempt(reply.m_attempt);
  Write(reply.m_outcome, out.initOutcome());
  Write(reply.m_load, out.initLoad());
}

SettleCommand Read(wire::SettleCommand::Reader in) {
  return {in.getPartition(), in.getEpoch(), in.getAttempt(), Read(in.getTask()),
          ReadWallTime(in.getFirstSentMs())};
}

void Write(const SettleCommand& command, wire::SettleCommand::Builder out) {
  out.setPartition(command.m_partition);
  out.setEpoch(command.m_epoch);
  out.setAttempt(command.m_attempt);
  Write(command.m_task, out.initTask());
  out.setFirstSentMs(WallMs(command.m_first_sent));
}

std::vector<StartRecord> Read(capnp::List<wire::StartRecord>::Reader in) {
  std::vector<StartRecord> records;
  records.reserve(in.size());
  for (const auto record : in) {
    records.push_back({Read(record.getTask()),
                       ReadWallTime(record.getFirstSentMs()),
                       Read(record.getAgent()),
                       record.getEnded(),
                       Read(record.getOutcome()),
                       {record.getEpoch(), record.getAttempt()}});
  }
  return records;
}

void Write(const std::vector<StartRecord>& records,
           capnp::List<wire::StartRecord>::Builder out) {
  for (size_t i = 0; i < records.size(); ++i) {
    Write(records[i].m_task, out[i].initTask());
    out[i].setFirstSentMs(WallMs(records[i].m_first_sent));
    Write(records[i].m_agent, out[i].initAgent());
    out[i].setEnded(records[i].m_ended);
    Write(records[i].m_outcome, out[i].initOutcome());
    out[i].setEpoch(records[i].m_attempt.m_epoch);
    out[i].setAttempt(records[i].m_attempt.m_attempt);
  }
}

CollectCommand Read(wire::CollectCommand::Reader in) {
  CollectCommand command;
  command.m_owner = Read(in.getOwner());
  command.m_partitions = Read(in.getPartitions());
  return command;
}

void Write(const CollectCommand& command, wire::CollectCommand::Builder out) {
  Write(command.m_owner, out.initOwner());
  Write(command.m_partitions, out.initPartitions(command.m_partitions.size()));
}

CollectReply Read(wire::CollectReply::Reader in) {
  CollectReply reply{in.getAccepted(), Read(in.getRecords()), {}};
  for (const auto history : in.getHistories()) {
    reply.m_histories.push_back({history.getPartition(), history.getEpoch(),
                                 ReadWallTime(history.getUnknownBeforeMs())});
  }
  return reply;
}

void Write(const CollectReply& reply, wire::CollectReply::Builder out) {
  out.setAccepted(reply.m_accepted);
  Write(reply.m_records, out.initRecords(reply.m_records.size()));
  auto histories = out.initHistories(reply.m_histories.size());
  for (size_t i = 0; i < reply.m_histories.size(); ++i) {
    histories[i].setPartition(reply.m_histories[i].m_partition);
    histories[i].setEpoch(reply.m_histories[i].m_epoch);
    histories[i].setUnknownBeforeMs(
        WallMs(reply.m_histories[i].m_unknown_before));
  }
}

AdoptCommand Read(wire::AdoptCommand::Reader in) {
  AdoptCommand command;
  command.m_epochs = Read(in.getEpochs());
  command.m_records = Read(in.getRecords());
  return command;
}

void Write(const AdoptCommand& command, wire::AdoptCommand::Builder out) {
  Write(command.m_epochs, out.initEpochs(command.m_epochs.size()));
  Write(command.m_records, out.initRecords(command.m_records.size()));
}

ConfigChanges Read(wire::ConfigChanges::Reader in) {
  ConfigChanges changes;
  changes.m_since = in.getSince();
  changes.m_revision = in.getRevision();
  changes.m_entries.reserve(in.getEntries().size());
  for (const auto entry : in.getEntries()) {
    changes.m_entries.push_back({ReadText(entry.getKey()),
                                 ReadBytes(entry.getValue()),
                                 entry.getModRevision()});
  }
  return changes;
}

void Write(const ConfigChanges& changes, wire::ConfigChanges::Builder out) {
  out.setSince(changes.m_since);
  out.setRevision(changes.m_revision);
  auto entries = out.initEntries(changes.m_entries.size());
  for (size_t i = 0; i < changes.m_entries.size(); ++i) {
    entries[i].setKey(changes.m_entries[i].m_key);
    entries[i].setValue(ToData(changes.m_entries[i].m_value));
    entries[i].setModRevision(changes.m_entries[i].m_mod_revision);
  }
}

ProcessStatus Read(wire::StatusReply::Reader in) {
  ProcessStatus status;
  status.m_revision = in.getRevision();
  status.m_fresh_left = Microseconds(in.getFreshLeftUs());
  status.m_running = in.getRunning();
  status.m_queued = in.getQueued();
  status.m_starts = in.getStarts();
  status.m_jobs = in.getJobs();
  for (const auto subject : in.getSubjects()) {
    status.m_subjects.push_back({ReadText(subject.getSubject()),
                                 ReadWallTime(subject.getLastStartMs()),
                                 subject.getRunning()});
  }
  return status;
}

void Write(const ProcessStatus& status, wire::StatusReply::Builder out) {
  out.setRevision(status.m_revision);
  out.setFreshLeftUs(status.m_fresh_left.count());
  out.setRunning(status.m_running);
  out.setQueued(status.m_queued);
  out.setStarts(status.m_starts);
  out.setJobs(status.m_jobs);
  auto subjects = out.initSubjects(status.m_subjects.size());
  for (size_t i = 0; i < status.m_subjects.size(); ++i) {
    subjects[i].setSubject(status.m_subjects[i].m_subject);
    subjects[i].setLastStartMs(WallMs(status.m_subjects[i].m_last_start));
    subjects[i].setRunning(status.m_subjects[i].m_running);
  }
}

}  // namespace comfreyshift::wire_codec
