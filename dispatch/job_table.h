#ifndef DISPATCH_JOB_TABLE_H_
#define DISPATCH_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"

namespace comfreyshift {

enum class TaskState : uint8_t {
  kWaiting,   // Waits for a target.
  kDelayed,   // Was refused; waits for its next retry.
  kSent,      // A StartCommand is in flight, or the task is queued or runs.
  kSettling,  // The reply was lost; a SettleCommand asks for the outcome.
  kDone,      // Answered by its target.
  kUnknown,   // May have run; its answer is lost.
  kDropped,   // Will never be started by this owner.
};

struct JobTask {
  TaskState m_state = TaskState::kWaiting;
  // Number of attempts that were refused.
  uint8_t m_tries = 0;
  // Attempt of the latest command for the task.
  uint64_t m_attempt = 0;
  // The latest attempt, of this owner or an earlier one, that placed the task.
  AttemptId m_placing_attempt;
  // The agent of the latest attempt; null before the first one.
  std::shared_ptr<const ProcessId> m_agent;
  TaskAnswer m_answer;
};

// Why the remaining tasks of a job are not started.
struct JobStop {
  // Reported when a task was started or may have been.
  JobFailure m_failure = JobFailure::kTaskFailed;
  // Reported when no task was started.
  NotRunReason m_reason = NotRunReason::kNeverStarted;
  std::string m_detail;
};

struct JobIsComplete {};
// How a job ended. The answers of a complete job are stored in its tasks.
using JobEnd = std::variant<JobIsComplete, JobFailed, JobNotRun>;

// Indices of a job's waiting tasks that may use the same targets.
struct WaitingGroup {
  uint32_t m_class = 0;
  std::vector<uint32_t> m_tasks;
};

struct Job {
  SubmissionKey m_key;
  PartitionId m_partition = 0;
  Epoch m_epoch = 0;
  WallTime m_first_sent;
  std::string m_client;
  // Empty once the job has ended and no task can be sent again.
  std::vector<TaskSpec> m_specs;
  uint64_t m_fingerprint = 0;
  // True if no task of other content was started under the key, by this owner
  // or an earlier one. False when that is not known.
  bool m_no_other_content_started = false;
  MonoTime m_deadline;
  // Order of arrival.
  uint64_t m_sequence = 0;
  MonoTime m_submitted;

  std::vector<JobTask> m_tasks;
  std::vector<WaitingGroup> m_waiting;
  // Number of tasks in flight.
  uint32_t m_outstanding = 0;
  // Number of tasks in state kDone.
  uint32_t m_done = 0;
  // Number of tasks in state kUnknown.
  uint32_t m_unknown = 0;

  std::optional<JobStop> m_stop;
  // True while the refusal of the job is being copied to another member.
  bool m_refusing = false;
  std::optional<JobEnd> m_end;

  uint32_t remaining() const {
    return static_cast<uint32_t>(m_tasks.size()) - m_done;
  }
  // Due time of the job's tasks, which orders them among those of other jobs.
  MonoTime due() const { return StartDueTime(m_submitted, remaining()); }
  // Number of tasks that wait for a target.
  uint32_t unsent() const;
  // True if a task is in flight at one of `agents`.
  bool IsInFlightAt(const std::set<ProcessId>& agents) const;
  // True if a task of the job has run or may have run.
  bool started() const { return m_done > 0 || m_unknown > 0; }
};

// Returns a hash of the content of a submission, without its key and deadline.
uint64_t Fingerprint(const Submission& submission);

// Returns the answer of a job, which must have ended.
JobAnswer MakeAnswer(const Job& job);

// Appends the records of the job's started tasks, or of its refusal.
void AppendRecords(const Job& job, std::vector<StartRecord>& records);

// The jobs of one owner by key. The address of a job never changes.
class JobTable {
 public:
  Job* Find(const SubmissionKey& key) const;
  Job& Add(std::unique_ptr<Job> job, MonoTime expires_at);
  void Remove(const SubmissionKey& key);

  // Adds the size of a task's answer to answer_bytes().
  void CountAnswer(const TaskAnswer& answer) {
    m_answer_bytes += answer.m_body.size();
  }

  // Marks a job as ended; its answer stays until the job expires.
  void End(Job& job, JobEnd end);

  // Removes the ended jobs that have expired. The expiry of a job that still
  // has tasks in flight is postponed.
  void Expire(MonoTime now);

  // Calls `visit` for each job without an answer or with tasks in flight.
  void ForEachActive(const std::function<void(Job&)>& visit);
  // Calls `visit` for each job.
  void ForEach(const std::function<void(Job&)>& visit) const;

  // Returns the next job whose deadline has passed, or null. Each job is
  // returned once.
  Job* PopOverdue(MonoTime now);
  MonoTime NextDeadline() const;

  size_t size() const { return m_jobs.size(); }
  size_t running() const { return m_running; }
  size_t answer_bytes() const { return m_answer_bytes; }

 private:
  using TimedKeys = std::set<std::pair<MonoTime, SubmissionKey>>;

  std::unordered_map<SubmissionKey, std::unique_ptr<Job>> m_jobs;
  std::unordered_map<SubmissionKey, Job*> m_active;
  TimedKeys m_deadlines;
  TimedKeys m_expiries;
  size_t m_running = 0;
  size_t m_answer_bytes = 0;
};

}  // namespace comfreyshift

#endif  // DISPATCH_JOB_TABLE_H_
