#include "agent/target_client.h"

#include <libsoup/soup.h>

#include <string>
#include <utility>

namespace comfreyshift {

namespace {

// A target that sends nothing for this long is given up; the task may have run.
constexpr guint kResponseTimeoutSeconds = 120;

// Idle connections are closed by us before a target's usual keep-alive time-out
// of 5 s or more: a target that closes one just as a request is written makes
// the outcome unknown.
constexpr guint kIdleTimeoutSeconds = 4;

// One task on its way to the target; owns itself until the answer is there.
struct TargetCall {
  SoupMessage* m_message = nullptr;
  GCancellable* m_cancellable = nullptr;
  TargetClient::MayStartFunction m_may_start;
  std::function<void()> m_on_sent;
  TargetClient::DoneFunction m_done;
  MonoTime m_sent_at;
  bool m_sent = false;
  bool m_refused = false;

  TargetCall() : m_cancellable(g_cancellable_new()) {}
  ~TargetCall() {
    g_object_unref(m_message);
    g_object_unref(m_cancellable);
  }
  TargetCall(const TargetCall&) = delete;
  TargetCall& operator=(const TargetCall&) = delete;
};

void OnStarting(SoupMessage* /*message*/, gpointer data) {
  auto* call = static_cast<TargetCall*>(data);
  // libsoup may announce a request again on a new connection; a request that
  // was announced before must not be written a second time.
  if (call->m_sent || !call->m_may_start()) {
    call->m_refused = !call->m_sent;
    g_cancellable_cancel(call->m_cancellable);
    return;
  }
  call->m_sent = true;
  call->m_sent_at = BootClock::now();
  call->m_on_sent();
}

TaskOutcome OutcomeOf(const TargetCall& call, GBytes* body) {
  if (call.m_refused) {
    return TaskNotStarted{NotRunReason::kNotFresh};
  }
  if (!call.m_sent) {
    return TaskNotStarted{NotRunReason::kTargetUnreachable};
  }
  if (body == nullptr) {
    return TaskMayHaveRun{};
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  return TaskDone{{soup_message_get_status(call.m_message),
                   std::string(data == nullptr ? "" : data, size)},
                  BootClock::now() - call.m_sent_at};
}

void OnResponse(GObject* session, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<TargetCall> call(static_cast<TargetCall*>(data));
  GBytes* body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
  TaskOutcome outcome = OutcomeOf(*call, body);
  if (body != nullptr) {
    g_bytes_unref(body);
  }
  call->m_done(std::move(outcome));
}

}  // namespace

struct TargetClient::Impl {
  Impl(const Address& target, uint32_t max_connections)
      : m_base("http://" + target.ToString() + "/run/"),
        m_session(soup_session_new_with_options(
            "max-conns", static_cast<int>(max_connections),
            "max-conns-per-host", static_cast<int>(max_connections), "timeout",
            kResponseTimeoutSeconds, "idle-timeout", kIdleTimeoutSeconds,
            nullptr)) {}
  ~Impl() {
    soup_session_abort(m_session);
    g_object_unref(m_session);
  }

  std::string m_base;
  SoupSession* m_session;
};

TargetClient::TargetClient(const Address& target, uint32_t max_connections)
    : m_impl(std::make_unique<Impl>(target, max_connections)) {}

TargetClient::~TargetClient() = default;

void TargetClient::Run(const RunTask& task,
                       MayStartFunction may_start,
                       std::function<void()> on_sent,
                       DoneFunction done) {
  auto call = std::make_unique<TargetCall>();
  const std::string url = m_impl->m_base + task.m_spec.m_request;
  call->m_message = soup_message_new("POST", url.c_str());
  // A redirect would be a second start at another place.
  soup_message_add_flags(call->m_message, SOUP_MESSAGE_NO_REDIRECT);
  SoupMessageHeaders* headers =
      soup_message_get_request_headers(call->m_message);
  const std::string key = task.m_task.m_key.ToString() + "/" +
                          std::to_string(task.m_task.m_index);
  soup_message_headers_append(headers, "Idempotency-Key", key.c_str());
  soup_message_headers_append(headers, "Comfreyshift-Client",
                              task.m_client.c_str());
  GBytes* body =
      g_bytes_new(task.m_spec.m_payload.data(), task.m_spec.m_payload.size());
  soup_message_set_request_body_from_bytes(call->m_message,
                                           "application/octet-stream", body);
  g_bytes_unref(body);
  call->m_may_start = std::move(may_start);
  call->m_on_sent = std::move(on_sent);
  call->m_done = std::move(done);
  g_signal_connect(call->m_message, "starting", G_CALLBACK(OnStarting),
                   call.get());
  TargetCall* raw = call.release();
  soup_session_send_and_read_async(m_impl->m_session, raw->m_message,
                                   G_PRIORITY_DEFAULT, raw->m_cancellable,
                                   &OnResponse, raw);
}

}  // namespace comfreyshift
