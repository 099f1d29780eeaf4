#include "http/soup_client.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "net/net.h"

namespace comfreyshift {

namespace {

constexpr size_t kReadSize = 64 * 1024;

HttpHeaders ReadHeaders(SoupMessage* message) {
  HttpHeaders headers;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator,
                                 soup_message_get_response_headers(message));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    std::string lower(name);
    std::ranges::transform(lower, lower.begin(), g_ascii_tolower);
    headers[lower] = value;
  }
  return headers;
}

// Ends a call that cannot start, from the main loop.
void FailLater(HttpCallback callback, std::string detail) {
  struct Failure {
    HttpCallback m_callback;
    std::string m_detail;
  };
  const auto fail = [](gpointer data) -> gboolean {
    const std::unique_ptr<Failure> failure(static_cast<Failure*>(data));
    failure->m_callback(HttpCallError{HttpCallState::kNotSent,
                                      HttpCallFailure::kConnection,
                                      failure->m_detail});
    return G_SOURCE_REMOVE;
  };
  GSource* source = g_idle_source_new();
  g_source_set_callback(source, fail,
                        new Failure{std::move(callback), std::move(detail)},
                        nullptr);
  g_source_attach(source, g_main_context_get_thread_default());
  g_source_unref(source);
}

}  // namespace

// One call in progress. GLib's pending operations share it.
class SoupCall : public std::enable_shared_from_this<SoupCall> {
 public:
  SoupCall(uint64_t id,
           SoupMessage* message,
           HttpCall call,
           uint64_t max_answer_bytes,
           HttpCallback callback)
      : m_id(id),
        m_message(message),
        m_call(std::move(call)),
        m_max_answer_bytes(max_answer_bytes),
        m_callback(std::move(callback)),
        m_cancellable(g_cancellable_new()) {}

  ~SoupCall() {
    g_signal_handlers_disconnect_by_data(m_message, this);
    g_object_unref(m_message);
    g_object_unref(m_cancellable);
  }
  SoupCall(const SoupCall&) = delete;
  SoupCall& operator=(const SoupCall&) = delete;

  uint64_t id() const { return m_id; }

  void Start(SoupSession* session, std::function<void(uint64_t)> on_end) {
    m_on_end = std::move(on_end);
    Prepare();
    StartTimer();
    soup_session_send_async(session, m_message, G_PRIORITY_DEFAULT,
                            m_cancellable, &SoupCall::OnResponse, Share());
  }

  void Cancel(HttpCallFailure reason, const std::string& detail) {
    if (!m_reason) {
      m_reason = reason;
      m_detail = detail;
      g_cancellable_cancel(m_cancellable);
    }
  }

  void Abandon() {
    m_callback = nullptr;
    m_on_end = nullptr;
    Cancel(HttpCallFailure::kCancelled, "the client is closed");
  }

 private:
  // Keeps this call alive for one pending operation of GLib.
  gpointer Share() { return new std::shared_ptr<SoupCall>(shared_from_this()); }

  static std::shared_ptr<SoupCall> Take(gpointer data) {
    const std::unique_ptr<std::shared_ptr<SoupCall>> shared(
        static_cast<std::shared_ptr<SoupCall>*>(data));
    return *shared;
  }

  void Prepare() {
    // libsoup opens a new connection for each POST unless it is marked as
    // idempotent. Marked messages are sent again when a kept-alive connection
    // breaks; OnRestarted prevents that.
    soup_message_set_flags(
        m_message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT |
                                                 SOUP_MESSAGE_IDEMPOTENT));
    SoupMessageHeaders* headers = soup_message_get_request_headers(m_message);
    for (const auto& [name, value] : m_call.m_headers) {
      soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
    if (!m_call.m_body.empty()) {
      GBytes* bytes = g_bytes_new(m_call.m_body.data(), m_call.m_body.size());
      soup_message_set_request_body_from_bytes(
          m_message, m_call.m_content_type.c_str(), bytes);
      g_bytes_unref(bytes);
    }
    g_signal_connect(m_message, "starting", G_CALLBACK(&SoupCall::OnStarting),
                     this);
    g_signal_connect(m_message, "wrote-headers",
                     G_CALLBACK(&SoupCall::OnWroteHeaders), this);
    g_signal_connect(m_message, "restarted", G_CALLBACK(&SoupCall::OnRestarted),
                     this);
  }

  void StartTimer() {
    // An answer that has arrived while the process could not run is read before
    // the deadline is looked at.
    m_timer = std::make_unique<LoopTimer>([this]() { OnDeadline(); },
                                          LoopTimer::Order::kAfterInput,
                                          g_main_context_get_thread_default());
    m_timer->Set(m_call.m_deadline);
  }

  void OnDeadline() {
    // Cancelling may end the call.
    const auto self = shared_from_this();
    Cancel(HttpCallFailure::kDeadline, "the deadline has passed");
  }

  static void OnStarting(SoupMessage*, SoupCall* self) {
    if (BootClock::now() >= self->m_call.m_deadline) {
      self->Cancel(HttpCallFailure::kDeadline, "the deadline has passed");
    } else if (self->m_call.m_may_send && !self->m_call.m_may_send()) {
      self->Cancel(HttpCallFailure::kCancelled, "sending was not allowed");
    }
  }

  static void OnWroteHeaders(SoupMessage*, SoupCall* self) {
    self->m_is_sent = true;
  }

  static void OnRestarted(SoupMessage*, SoupCall* self) {
    self->Cancel(HttpCallFailure::kConnection,
                 "the connection broke before an answer");
  }

  static void OnResponse(GObject* source, GAsyncResult* result, gpointer data) {
    const std::shared_ptr<SoupCall> self = Take(data);
    GError* error = nullptr;
    self->m_stream =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    if (self->m_stream == nullptr) {
      self->Fail(error);
      return;
    }
    self->m_response.m_status =
        static_cast<int>(soup_message_get_status(self->m_message));
    self->m_response.m_headers = ReadHeaders(self->m_message);
    self->ReadMore();
  }

  void ReadMore() {
    g_input_stream_read_bytes_async(m_stream, kReadSize, G_PRIORITY_DEFAULT,
                                    m_cancellable, &SoupCall::OnBytes, Share());
  }

  static void OnBytes(GObject*, GAsyncResult* result, gpointer data) {
    const std::shared_ptr<SoupCall> self = Take(data);
    GError* error = nullptr;
    GBytes* bytes =
        g_input_stream_read_bytes_finish(self->m_stream, result, &error);
    if (bytes == nullptr) {
      self->Fail(error);
      return;
    }
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    std::string& body = self->m_response.m_body;
    if (size > 0) {
      body.append(text, size);
    }
    g_bytes_unref(bytes);
    if (body.size() > self->m_max_answer_bytes) {
      self->Cancel(HttpCallFailure::kAnswerTooLarge,
                   "the answer has more than " +
                       std::to_string(self->m_max_answer_bytes) + " bytes");
      self->Fail(nullptr);
    } else if (size > 0) {
      self->ReadMore();
    } else {
      self->End(std::move(self->m_response));
    }
  }

  // Takes ownership of `error`.
  void Fail(GError* error) {
    std::string detail = m_detail;
    if (error != nullptr && detail.empty()) {
      detail = error->message;
    }
    g_clear_error(&error);
    End(HttpCallError{m_is_sent ? HttpCallState::kMayHaveBeenProcessed
                                : HttpCallState::kNotSent,
                      m_reason.value_or(HttpCallFailure::kConnection),
                      std::move(detail)});
  }

  void End(HttpCallResult result) {
    m_timer.reset();
    if (m_stream != nullptr) {
      g_object_unref(std::exchange(m_stream, nullptr));
    }
    if (const auto on_end = std::exchange(m_on_end, {})) {
      on_end(m_id);
    }
    if (const auto callback = std::exchange(m_callback, {})) {
      callback(std::move(result));
    }
  }

  uint64_t m_id;
  SoupMessage* m_message;
  HttpCall m_call;
  uint64_t m_max_answer_bytes;
  HttpCallback m_callback;
  std::function<void(uint64_t)> m_on_end;
  GCancellable* m_cancellable;
  std::unique_ptr<LoopTimer> m_timer;
  GInputStream* m_stream = nullptr;
  HttpResponse m_response;
  std::optional<HttpCallFailure> m_reason;
  std::string m_detail;
  bool m_is_sent = false;
};

SoupClient::SoupClient(const HttpClientOptions& options)
    : m_base_url(options.m_base_url),
      m_max_answer_bytes(options.m_max_answer_bytes) {
  while (m_base_url.ends_with('/')) {
    m_base_url.pop_back();
  }
  const auto connections = static_cast<int>(options.m_connections);
  m_session = soup_session_new_with_options(
      "max-conns", connections, "max-conns-per-host", connections,
      "idle-timeout", static_cast<int>(kIdleConnectionTime.count()), "timeout",
      0, "proxy-resolver", nullptr, nullptr);
  // An answer 401 would make it send the request again.
  soup_session_remove_feature_by_type(m_session, SOUP_TYPE_AUTH_MANAGER);
}

SoupClient::~SoupClient() {
  g_object_unref(m_session);
}

Result<void, HttpError> SoupClient::Trust(
    const std::filesystem::path& authorities) {
  GError* error = nullptr;
  const std::filesystem::path path = std::filesystem::absolute(authorities);
  GTlsDatabase* database = g_tls_file_database_new(path.c_str(), &error);
  if (database == nullptr) {
    HttpError failure{HttpErrorCode::kTls, error->message};
    g_error_free(error);
    return failure;
  }
  soup_session_set_tls_database(m_session, database);
  g_object_unref(database);
  return outcome::success();
}

uint64_t SoupClient::Send(HttpCall call, HttpCallback callback) {
  const uint64_t id = m_next_id++;
  const std::string url = m_base_url + call.m_path;
  SoupMessage* message = soup_message_new(call.m_method.c_str(), url.c_str());
  if (message == nullptr) {
    FailLater(std::move(callback), url + " is not a URL");
    return id;
  }
  const auto session = std::make_shared<SoupCall>(
      id, message, std::move(call), m_max_answer_bytes, std::move(callback));
  m_calls[id] = session;
  session->Start(m_session, [weak = weak_from_this()](uint64_t ended) {
    if (const auto self = weak.lock()) {
      self->m_calls.erase(ended);
    }
  });
  return id;
}

void SoupClient::Cancel(uint64_t id) {
  const auto found = m_calls.find(id);
  if (found != m_calls.end()) {
    const std::shared_ptr<SoupCall> call = found->second;
    call->Cancel(HttpCallFailure::kCancelled, "the call was cancelled");
  }
}

void SoupClient::Abandon() {
  const auto calls = std::exchange(m_calls, {});
  for (const auto& [id, call] : calls) {
    call->Abandon();
  }
}

}  // namespace comfreyshift
