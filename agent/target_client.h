#ifndef AGENT_TARGET_CLIENT_H_
#define AGENT_TARGET_CLIENT_H_

#include <functional>
#include <memory>

#include "core/core.h"
#include "dispatch/dispatch.h"

namespace comfreyshift {

// Sends tasks to the agent's target: `POST /run/REQUEST` with the payload as
// its body, `Idempotency-Key: KEY/INDEX` and `Comfreyshift-Client`. Each task is
// written at most once.
class TargetClient {
 public:
  using MayStartFunction = std::function<bool()>;
  using DoneFunction = std::function<void(TaskOutcome)>;

  TargetClient(const Address& target, uint32_t max_connections);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

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
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // AGENT_TARGET_CLIENT_H_
