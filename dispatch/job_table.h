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
  kWaiting,   // For a target.
  kDelayed,   // Waits until its next try.
  kSent,      // A start is on its way or runs.
  kSettling,  // The reply was lost; the agent is asked.
  kDone,
  kUnknown,  // May have run; its answer is lost.
  kDropped,  // Will never be started by this owner.
};

struct JobTask {
  TaskState m_state = TaskState::kWaiting;
  uint8_t m_tries = 0;
  // The attempt that is out.
  uint64_t m_attempt = 0;
  // The attempt, of this owner or an earlier one, that placed the task last.
  AttemptId m_placed;
  // The agent of the last attempt.
  std::shared_ptr<const ProcessId> m_agent;
  TaskAnswer m_answer;
};

// Why the rest of a job's tasks is not started.
struct JobStop {
  // The answer when a task was started, or may have been.
  JobFailure m_failure = JobFailure::kTaskFailed;
  // The answer when none was.
  NotRunReason m_reason = NotRunReason::kNeverStarted;
  std::string m_detail;
};

struct JobIsComplete {};
// How a job ended; its answers are in its tasks.
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
  // No task of other content was ever started under the key, here or by an
  // earlier owner. False when that is not known.
  bool m_owns_key = false;
  MonoTime m_deadline;
  // Order of arrival.
  uint64_t m_sequence = 0;
  MonoTime m_submitted;

  std::vector<JobTask> m_tasks;
  std::vector<WaitingGroup> m_waiting;
  uint32_t m_outstanding = 0;
  uint32_t m_done = 0;
  uint32_t m_unknown = 0;

  std::optional<JobStop> m_stop;
  // The job was not run; its refusal is being copied to another member.
  bool m_refusing = false;
  std::optional<JobEnd> m_end;

  uint32_t remaining() const {
    return static_cast<uint32_t>(m_tasks.size()) - m_done;
  }
  // When the job's tasks are due, which orders them among those of other jobs.
  MonoTime due() const { return StartDueTime(m_submitted, remaining()); }
  uint32_t unsent() const;
  // True when a task is out at one of `agents`.
  bool IsOutAt(const std::set<ProcessId>& agents) const;
  // True when a task of it has run or may have.
  bool started() const { return m_done > 0 || m_unknown > 0; }
};

// Identifies the content of a submission, without its deadline.
uint64_t Fingerprint(const Submission& submission);

// Returns the answer of an ended job.
JobAnswer MakeAnswer(const Job& job);

// Appends what this owner knows of the job's started tasks, and its refusal.
void AppendRecords(const Job& job, std::vector<StartRecord>& records);

// The jobs of one owner by key. Jobs stay at one address.
class JobTable {
 public:
  Job* Find(const SubmissionKey& key) const;
  Job& Add(std::unique_ptr<Job> job, MonoTime expires_at);
  void Remove(const SubmissionKey& key);

  // Counts an answer of a task as kept.
  void CountAnswer(const TaskAnswer& answer) {
    m_answer_bytes += answer.m_body.size();
  }

  // Marks a job as ended; its answer stays until the job expires.
  void End(Job& job, JobEnd end);

  // Removes the ended jobs that expired. Running ones are looked at again.
  void Expire(MonoTime now);

  // Calls `visit` for each job without an answer, or with tasks still out.
  void ForEachActive(const std::function<void(Job&)>& visit);
  // Calls `visit` for each job.
  void ForEach(const std::function<void(Job&)>& visit) const;

  // Returns the next job whose deadline has passed, once.
  Job* PopOverdue(MonoTime now);
  MonoTime NextDeadline() const;

  size_t size() const { return m_jobs.size(); }
  size_t running() const { return m_running; }
  size_t answer_bytes() const { return m_answer_bytes; }

 private:
  using Timed = std::set<std::pair<MonoTime, SubmissionKey>>;

  std::unordered_map<SubmissionKey, std::unique_ptr<Job>> m_jobs;
  std::unordered_map<SubmissionKey, Job*> m_active;
  Timed m_deadlines;
  Timed m_expiries;
  size_t m_running = 0;
  size_t m_answer_bytes = 0;
};

}  // namespace comfreyshift

#endif  // DISPATCH_JOB_TABLE_H_
