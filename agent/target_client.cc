#include "agent/target_client.h"

#include <string>
#include <utility>

namespace comfreyshift {

namespace {

// A target that has not answered after this time is given up; the task may
// have run.
constexpr std::chrono::minutes kAnswerTimeout{2};

constexpr uint32_t kBadGateway = 502;

TaskOutcome OutcomeOfError(const HttpCallError& error, bool refused) {
  if (error.m_state == HttpCallState::kNotSent) {
    return TaskNotStarted{refused ? NotRunReason::kNotFresh
                                  : NotRunReason::kTargetUnreachable};
  }
  if (error.m_failure == HttpCallFailure::kAnswerTooLarge) {
    return TaskDone{{kBadGateway, "the target's answer is too large"},
                    Microseconds(0)};
  }
  return TaskMayHaveRun{};
}

}  // namespace

TargetClient::TargetClient(const Address& target,
                           uint32_t max_connections,
                           uint64_t max_answer_bytes) {
  HttpClientOptions options;
  options.m_base_url = "http://" + target.ToString();
  options.m_connections = max_connections;
  options.m_max_answer_bytes = max_answer_bytes;
  auto client = HttpClient::Make(options);
  // An address that was read as an IP number makes a valid URL.
  m_client = std::move(client.value());
}

void TargetClient::Run(const RunTask& task,
                       MayStartFunction may_start,
                       std::function<void()> on_sent,
                       DoneFunction done) {
  struct CallState {
    bool m_refused = false;
    MonoTime m_sent_at;
  };
  auto state = std::make_shared<CallState>();
  HttpCall call;
  call.m_path = "/run/" + task.m_spec.m_request;
  call.m_headers = {
      {"Idempotency-Key", task.m_task.m_key.ToString() + "/" +
                              std::to_string(task.m_task.m_index)},
      {"Comfreyshift-Client", task.m_client}};
  call.m_content_type = "application/octet-stream";
  call.m_body = task.m_spec.m_payload;
  call.m_deadline = BootClock::now() + kAnswerTimeout;
  call.m_may_send = [state, may_start = std::move(may_start),
                     on_sent = std::move(on_sent)]() {
    if (!may_start()) {
      state->m_refused = true;
      return false;
    }
    state->m_sent_at = BootClock::now();
    on_sent();
    return true;
  };
  m_client->Send(std::move(call),
                 [state, done = std::move(done)](HttpCallResult result) {
                   if (!result) {
                     done(OutcomeOfError(result.error(), state->m_refused));
                     return;
                   }
                   HttpResponse& response = result.value();
                   done(TaskDone{{static_cast<uint32_t>(response.m_status),
                                  std::move(response.m_body)},
                                 BootClock::now() - state->m_sent_at});
                 });
}

}  // namespace comfreyshift
