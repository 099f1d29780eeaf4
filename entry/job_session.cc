#include "entry/job_session.h"

#include <algorithm>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// First and longest wait before the submission is sent again. The first is
// below what a caller notices; the longest keeps the calls of a long takeover
// few.
constexpr Milliseconds kFirstBackoff{10};
constexpr Milliseconds kLongestBackoff{200};

// The owner ends a job at its deadline by itself; the session waits a little
// longer for that answer before it gives up.
constexpr Milliseconds kAnswerGrace{500};

}  // namespace

const Member* FindOwner(const PartitionTable& table, const SubmissionKey& key) {
  if (table.m_partitions.empty()) {
    return nullptr;
  }
  const PartitionId partition =
      key.Partition(static_cast<uint32_t>(table.m_partitions.size()));
  const auto& owner = table.m_partitions[partition].m_owner;
  return owner ? table.Find(*owner) : nullptr;
}

std::shared_ptr<JobSession> JobSession::Start(ProcessNode& node,
                                              Submission submission,
                                              DoneFunction done) {
  auto session = std::make_shared<JobSession>(node, std::move(submission),
                                              std::move(done));
  session->m_self = session;
  session->Attempt();
  return session;
}

JobSession::JobSession(ProcessNode& node,
                       Submission submission,
                       DoneFunction done)
    : m_node(node),
      m_submission(std::move(submission)),
      m_done(std::move(done)),
      m_timer([this]() { OnTimer(); }),
      m_backoff(kFirstBackoff) {}

void JobSession::Abandon() {
  m_done = nullptr;
  m_timer.Set(MonoTime::max());
  m_self.reset();
}

void JobSession::Attempt() {
  const MonoTime give_up = m_submission.m_deadline + kAnswerGrace;
  m_retry_at = MonoTime::max();
  m_timer.Set(give_up);
  const Member* owner = FindOwner(*m_node.view().table(), m_submission.m_key);
  if (owner == nullptr) {
    RetryLater();
    return;
  }
  m_node.peers().Submit(
      ToPeer(*owner), m_submission, m_node.applied_revision(),
      [weak = weak_from_this()](Result<SubmitReply, RpcError> result) {
        if (const auto session = weak.lock()) {
          session->OnReply(std::move(result));
        }
      });
}

void JobSession::OnReply(Result<SubmitReply, RpcError> result) {
  if (!m_done) {
    return;
  }
  if (!result) {
    m_may_be_accepted |= result.error().m_failure != RpcFailure::kNotSent;
    RetryLater();
    return;
  }
  if (const auto* reason = std::get_if<NotRunReason>(&result.value())) {
    m_last_reason = *reason;
    RetryLater();
    return;
  }
  Finish(std::get<JobAnswer>(std::move(result.value())));
}

void JobSession::RetryLater() {
  m_retry_at = BootClock::now() + m_backoff;
  m_backoff = std::min(m_backoff * 2, kLongestBackoff);
  m_timer.Set(std::min(m_retry_at, m_submission.m_deadline));
}

void JobSession::OnTimer() {
  const MonoTime now = BootClock::now();
  const bool retry_due = m_retry_at <= now;
  if (now >= m_submission.m_deadline + kAnswerGrace ||
      (now >= m_submission.m_deadline && m_retry_at != MonoTime::max())) {
    FinishAtDeadline();
  } else if (retry_due) {
    Attempt();
  }
}

void JobSession::FinishAtDeadline() {
  // An attempt without an answer may have been accepted, and so may one that
  // still waits for its reply.
  if (m_may_be_accepted || m_retry_at == MonoTime::max()) {
    Finish(JobFailed{JobFailure::kUnknownMayHaveRun,
                     "the deadline passed without an answer of the owner"});
    return;
  }
  Finish(AttemptRejected{
      m_last_reason, "no owner accepted the submission before its deadline"});
}

void JobSession::Finish(SessionAnswer answer) {
  const auto self = std::move(m_self);
  m_timer.Set(MonoTime::max());
  if (m_done) {
    std::exchange(m_done, nullptr)(std::move(answer));
  }
}

}  // namespace comfreyshift
