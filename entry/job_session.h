#ifndef ENTRY_JOB_SESSION_H_
#define ENTRY_JOB_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "core/core.h"
#include "net/net.h"
#include "node/node.h"
#include "rpc/rpc.h"

namespace comfreyshift {

// This attempt was not accepted. It says nothing of earlier attempts with the
// same key.
struct AttemptRejected {
  NotRunReason m_reason = NotRunReason::kNoCapacity;
  std::string m_detail;
};

using SessionAnswer = std::variant<JobAnswer, AttemptRejected>;

// Returns the listed member that owns the partition of `key`, or nothing.
const Member* FindOwner(const PartitionTable& table, const SubmissionKey& key);

// Carries one submission to the owner of its partition and waits for the whole
// answer. When the owner is gone or has changed, it submits again to the new
// one: submissions are idempotent by key. It keeps itself alive until it has
// answered.
class JobSession : public std::enable_shared_from_this<JobSession> {
 public:
  using DoneFunction = std::function<void(SessionAnswer)>;

  // `node` must outlive the session. `done` is called once.
  static std::shared_ptr<JobSession> Start(ProcessNode& node,
                                           Submission submission,
                                           DoneFunction done);

  JobSession(ProcessNode& node, Submission submission, DoneFunction done);

  // Stops waiting; `done` is not called any more. The job goes on.
  void Abandon();

 private:
  void Attempt();
  void OnReply(Result<SubmitReply, RpcError> result);
  void RetryLater();
  void OnTimer();
  void Finish(SessionAnswer answer);
  void FinishAtDeadline();

  ProcessNode& m_node;
  Submission m_submission;
  DoneFunction m_done;
  LoopTimer m_timer;
  MonoTime m_retry_at = MonoTime::max();
  Milliseconds m_backoff;
  // True once an attempt may have been accepted without an answer.
  bool m_may_be_accepted = false;
  NotRunReason m_last_reason = NotRunReason::kNoCapacity;
  std::shared_ptr<JobSession> m_self;
};

}  // namespace comfreyshift

#endif  // ENTRY_JOB_SESSION_H_
