#include "dispatch/job_table.h"

#include <algorithm>
#include <functional>
#include <type_traits>

namespace comfreyshift {

namespace {

// The expiry of a job that still has tasks in flight is postponed by this time.
constexpr Milliseconds kExpiryRetry = std::chrono::seconds(10);

void MixHash(uint64_t& hash, uint64_t value) {
  constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  hash = (hash ^ value) * kMultiplier;
  hash ^= hash >> 32;
}

void MixHash(uint64_t& hash, const std::string& text) {
  MixHash(hash, std::hash<std::string>()(text));
}

std::vector<TaskAnswer> CopyAnswers(const Job& job) {
  std::vector<TaskAnswer> answers;
  answers.reserve(job.m_tasks.size());
  for (const JobTask& task : job.m_tasks) {
    answers.push_back(task.m_answer);
  }
  return answers;
}

size_t AnswerBytes(const Job& job) {
  size_t bytes = 0;
  for (const JobTask& task : job.m_tasks) {
    bytes += task.m_answer.m_body.size();
  }
  return bytes;
}

}  // namespace

uint32_t Job::unsent() const {
  size_t count = 0;
  for (const WaitingGroup& group : m_waiting) {
    count += group.m_tasks.size();
  }
  return static_cast<uint32_t>(count);
}

bool Job::IsInFlightAt(const std::set<ProcessId>& agents) const {
  return std::any_of(m_tasks.begin(), m_tasks.end(), [&](const JobTask& task) {
    return (task.m_state == TaskState::kSent ||
            task.m_state == TaskState::kSettling) &&
           agents.contains(*task.m_agent);
  });
}

uint64_t Fingerprint(const Submission& submission) {
  uint64_t hash = submission.m_tasks.size();
  MixHash(hash, submission.m_client);
  for (const TaskSpec& task : submission.m_tasks) {
    MixHash(hash, task.m_request);
    MixHash(hash, task.m_payload);
    MixHash(hash, static_cast<uint64_t>(task.m_declared_run_time.count()));
    MixHash(hash, task.m_memory_mb);
    MixHash(hash, task.m_needs_accelerator ? 1 : 0);
  }
  return hash;
}

JobAnswer MakeAnswer(const Job& job) {
  return std::visit(
      [&](const auto& end) -> JobAnswer {
        if constexpr (std::is_same_v<decltype(end), const JobIsComplete&>) {
          return JobComplete{CopyAnswers(job)};
        } else {
          return end;
        }
      },
      *job.m_end);
}

void AppendRecords(const Job& job, std::vector<StartRecord>& records) {
  const bool refused =
      job.m_end && std::holds_alternative<JobNotRun>(*job.m_end);
  if (refused) {
    const JobNotRun& end = std::get<JobNotRun>(*job.m_end);
    records.push_back({{job.m_key, kWholeJob},
                       job.m_first_sent,
                       {},
                       true,
                       TaskNotStarted{end.m_reason},
                       {}});
    return;
  }
  for (uint32_t i = 0; i < job.m_tasks.size(); ++i) {
    const JobTask& task = job.m_tasks[i];
    StartRecord record;
    record.m_task = {job.m_key, i};
    record.m_first_sent = job.m_first_sent;
    record.m_attempt = task.m_placing_attempt;
    record.m_ended = true;
    switch (task.m_state) {
      case TaskState::kDone:
        record.m_outcome = TaskDone{task.m_answer, {}};
        break;
      case TaskState::kUnknown:
        record.m_outcome = TaskMayHaveRun{};
        break;
      case TaskState::kSent:
      case TaskState::kSettling:
        record.m_ended = false;
        record.m_outcome = TaskMayHaveRun{};
        break;
      case TaskState::kWaiting:
      case TaskState::kDelayed:
      case TaskState::kDropped:
        continue;
    }
    if (task.m_agent != nullptr) {
      record.m_agent = *task.m_agent;
    }
    records.push_back(std::move(record));
  }
}

Job* JobTable::Find(const SubmissionKey& key) const {
  const auto found = m_jobs.find(key);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

Job& JobTable::Add(std::unique_ptr<Job> job, MonoTime expires_at) {
  Job& added = *job;
  m_deadlines.emplace(added.m_deadline, added.m_key);
  m_expiries.emplace(expires_at, added.m_key);
  m_active[added.m_key] = &added;
  m_answer_bytes += AnswerBytes(added);
  ++m_running;
  m_jobs[added.m_key] = std::move(job);
  return added;
}

void JobTable::Remove(const SubmissionKey& key) {
  const auto found = m_jobs.find(key);
  if (found == m_jobs.end()) {
    return;
  }
  const Job& job = *found->second;
  m_deadlines.erase({job.m_deadline, key});
  m_answer_bytes -= AnswerBytes(job);
  if (!job.m_end) {
    --m_running;
  }
  m_active.erase(key);
  m_jobs.erase(found);
}

void JobTable::End(Job& job, JobEnd end) {
  m_deadlines.erase({job.m_deadline, job.m_key});
  --m_running;
  job.m_end = std::move(end);
  job.m_refusing = false;
  job.m_specs.clear();
  job.m_specs.shrink_to_fit();
}

void JobTable::Expire(MonoTime now) {
  while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
    const SubmissionKey key = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const Job* job = Find(key);
    if (job == nullptr) {
      continue;
    }
    if (!job->m_end || job->m_outstanding > 0) {
      m_expiries.emplace(now + kExpiryRetry, key);
      continue;
    }
    Remove(key);
  }
}

void JobTable::ForEachActive(const std::function<void(Job&)>& visit) {
  std::vector<Job*> active;
  for (auto it = m_active.begin(); it != m_active.end();) {
    Job& job = *it->second;
    if (job.m_end && job.m_outstanding == 0) {
      it = m_active.erase(it);
      continue;
    }
    active.push_back(&job);
    ++it;
  }
  for (Job* job : active) {
    visit(*job);
  }
}

void JobTable::ForEach(const std::function<void(Job&)>& visit) const {
  for (const auto& [key, job] : m_jobs) {
    visit(*job);
  }
}

Job* JobTable::PopOverdue(MonoTime now) {
  if (m_deadlines.empty() || m_deadlines.begin()->first > now) {
    return nullptr;
  }
  Job* job = Find(m_deadlines.begin()->second);
  m_deadlines.erase(m_deadlines.begin());
  return job;
}

MonoTime JobTable::NextDeadline() const {
  MonoTime next = MonoTime::max();
  if (!m_deadlines.empty()) {
    next = std::min(next, m_deadlines.begin()->first);
  }
  if (!m_expiries.empty()) {
    next = std::min(next, m_expiries.begin()->first);
  }
  return next;
}

}  // namespace comfreyshift
