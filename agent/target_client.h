#ifndef AGENT_TARGET_CLIENT_H_
#define AGENT_TARGET_CLIENT_H_

#include <functional>
#include <memory>

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "http/http.h"

namespace comfreyshift {

// Sends tasks to the agent's target: `POST /run/REQUEST` with the payload as
// its body, `Idempotency-Key: KEY/INDEX` and `Comfreyshift-Client`. Each task
// is written at most once.
class TargetClient {
 public:
  using MayStartFunction = std::function<bool()>;
  using DoneFunction = std::function<void(TaskOutcome)>;

  // `max_answer_bytes` limits the body of one answer; a longer one ends the
  // task with status 502.
  TargetClient(const Address& target,
               uint32_t max_connections,
               uint64_t max_answer_bytes);

  // Runs one task. `may_start` is asked right before the request is written, on
  // a connection that is open by then; when it says no, nothing is written and
  // the task ends as not started. `on_sent` runs when it says yes. `done` gets
  // TaskNotStarted only when no byte of the request was written,
  // and TaskMayHaveRun when the connection failed later than that.
  void Run(const RunTask& task,
           MayStartFunction may_start,
           std::function<void()> on_sent,
           DoneFunction done);

 private:
  std::shared_ptr<HttpClient> m_client;
};

}  // namespace comfreyshift

#endif  // AGENT_TARGET_CLIENT_H_
