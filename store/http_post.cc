#include "store/http_post.h"

#include <utility>

#include "store/codec.h"

namespace comfreyshift {

namespace {

// etcd answers 503 both when it has no leader, before anything is proposed, and
// when a proposal has timed out, which may still be applied.
constexpr std::string_view kNoLeader = "etcdserver: no leader";

constexpr int kTooManyRequests = 429;

StoreEffect EffectOfStatus(int status, std::string_view message, bool writes) {
  if (status < 500) {
    return status == kTooManyRequests ? StoreEffect::kUnavailable
                                      : StoreEffect::kNotWritten;
  }
  return writes && message != kNoLeader ? StoreEffect::kMayBeWritten
                                        : StoreEffect::kUnavailable;
}

}  // namespace

HttpPost::HttpPost(SoupSession* session, bool writes, Callback callback)
    : m_session(SOUP_SESSION(g_object_ref(session))),
      m_cancellable(g_cancellable_new()),
      m_writes(writes),
      m_callback(std::move(callback)) {}

void HttpPost::Send(const std::string& url,
                    const std::string& body,
                    MonoTime deadline) {
  m_message.reset(soup_message_new(SOUP_METHOD_POST, url.c_str()));
  GBytesPtr bytes(g_bytes_new(body.data(), body.size()));
  soup_message_set_request_body_from_bytes(m_message.get(), "application/json",
                                           bytes.get());
  // libsoup opens a new connection for every POST without this flag. Writes
  // keep that: on a connection that the store has just closed, a write would
  // end as "may have been written".
  if (!m_writes) {
    soup_message_add_flags(m_message.get(), SOUP_MESSAGE_IDEMPOTENT);
  }
  g_signal_connect(m_message.get(), "starting",
                   G_CALLBACK(&HttpPost::OnStarting), this);
  m_timer.Set(deadline, [this] { OnDeadline(); });
  soup_session_send_and_read_async(
      m_session.get(), m_message.get(), G_PRIORITY_DEFAULT, m_cancellable.get(),
      &HttpPost::OnDone, new std::shared_ptr<HttpPost>(shared_from_this()));
}

void HttpPost::OnStarting(SoupMessage* /*message*/, gpointer data) {
  static_cast<HttpPost*>(data)->m_started = true;
}

void HttpPost::OnDone(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<HttpPost>> self(
      static_cast<std::shared_ptr<HttpPost>*>(data));
  GError* error = nullptr;
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  (*self)->Finish(GBytesPtr(bytes), GErrorPtr(error));
}

void HttpPost::OnDeadline() {
  m_timed_out = true;
  g_cancellable_cancel(m_cancellable.get());
}

void HttpPost::Finish(GBytesPtr bytes, GErrorPtr error) {
  m_timer.Cancel();
  g_signal_handlers_disconnect_by_data(m_message.get(), this);
  if (bytes == nullptr) {
    m_callback(FailureError(*error));
    return;
  }
  gsize size = 0;
  const auto* data =
      static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
  std::string body(data == nullptr ? "" : data, size);
  int status = static_cast<int>(soup_message_get_status(m_message.get()));
  if (status >= 400) {
    m_callback(StatusError(status, body));
    return;
  }
  m_callback(std::move(body));
}

StoreError HttpPost::FailureError(const GError& error) const {
  StoreError result;
  result.m_effect = m_writes && m_started ? StoreEffect::kMayBeWritten
                                          : StoreEffect::kUnavailable;
  result.m_code =
      m_timed_out ? StoreErrorCode::kTimeout : StoreErrorCode::kConnection;
  result.m_message =
      m_timed_out ? "no answer from the store before the deadline"
                  : std::string("connection to the store: ") + error.message;
  return result;
}

StoreError HttpPost::StatusError(int status, const std::string& body) const {
  std::string message = DecodeErrorMessage(body);
  StoreError result;
  result.m_code = StoreErrorCode::kRefused;
  result.m_effect = EffectOfStatus(status, message, m_writes);
  result.m_http_status = status;
  result.m_message = "the store answered HTTP status " +
                     std::to_string(status) + ": " + message;
  return result;
}

}  // namespace comfreyshift
