#include "store/watch.h"

#include <utility>

#include "store/codec.h"

namespace comfreyshift {

namespace {

std::shared_ptr<WatchStream> Release(gpointer data) {
  std::unique_ptr<std::shared_ptr<WatchStream>> holder(
      static_cast<std::shared_ptr<WatchStream>*>(data));
  return *holder;
}

}  // namespace

WatchStream::WatchStream(std::shared_ptr<Channel> channel,
                         StoreClient::Callback<WatchReply> callback)
    : m_channel(std::move(channel)),
      m_cancellable(g_cancellable_new()),
      m_callback(std::move(callback)) {}

gpointer WatchStream::Hold() {
  return new std::shared_ptr<WatchStream>(shared_from_this());
}

void WatchStream::Start(const std::string& body) {
  if (!m_channel->TakeCall()) {
    m_timer.Set(BootClock::now(), [self = shared_from_this()] {
      self->End(BudgetSpentError(self->m_channel->m_settings.m_budget));
    });
    return;
  }
  std::string url = m_channel->m_settings.m_url + "/v3/watch";
  m_message.reset(soup_message_new(SOUP_METHOD_POST, url.c_str()));
  GBytesPtr bytes(g_bytes_new(body.data(), body.size()));
  soup_message_set_request_body_from_bytes(m_message.get(), "application/json",
                                           bytes.get());
  soup_session_send_async(m_channel->m_watch_session.get(), m_message.get(),
                          G_PRIORITY_DEFAULT, m_cancellable.get(),
                          &WatchStream::OnSent, Hold());
}

void WatchStream::Stop() {
  m_callback = nullptr;
  g_cancellable_cancel(m_cancellable.get());
}

void WatchStream::OnSent(GObject* source, GAsyncResult* result, gpointer data) {
  std::shared_ptr<WatchStream> self = Release(data);
  GError* raw_error = nullptr;
  GObjectPtr<GInputStream> stream(
      soup_session_send_finish(SOUP_SESSION(source), result, &raw_error));
  GErrorPtr error(raw_error);
  if (stream == nullptr) {
    self->Fail(StoreErrorCode::kConnection, error->message);
    return;
  }
  int status = static_cast<int>(soup_message_get_status(self->m_message.get()));
  if (status >= 400) {
    self->Fail(StoreErrorCode::kRefused,
               "the store answered HTTP status " + std::to_string(status));
    return;
  }
  self->m_lines.reset(g_data_input_stream_new(stream.get()));
  self->ReadLine();
}

void WatchStream::ReadLine() {
  g_data_input_stream_read_line_async(m_lines.get(), G_PRIORITY_DEFAULT,
                                      m_cancellable.get(), &WatchStream::OnLine,
                                      Hold());
}

void WatchStream::OnLine(GObject* source, GAsyncResult* result, gpointer data) {
  std::shared_ptr<WatchStream> self = Release(data);
  GError* raw_error = nullptr;
  gsize length = 0;
  char* line = g_data_input_stream_read_line_finish(
      G_DATA_INPUT_STREAM(source), result, &length, &raw_error);
  GErrorPtr error(raw_error);
  if (line == nullptr) {
    self->Fail(StoreErrorCode::kConnection,
               error ? error->message : "the store closed the watch");
    return;
  }
  self->TakeLine({line, length});
  g_free(line);
  if (self->m_callback) {
    self->ReadLine();
  }
}

void WatchStream::TakeLine(std::string_view line) {
  if (line.empty() || !m_callback) {
    return;
  }
  std::optional<WatchMessage> message = DecodeWatch(line);
  if (!message) {
    Fail(StoreErrorCode::kMalformedAnswer,
         "a message of the watch is not valid JSON of the protocol");
    return;
  }
  if (message->m_canceled) {
    Fail(StoreErrorCode::kRefused,
         "the store ended the watch: " + message->m_cancel_reason);
    return;
  }
  // A copy, because the callback may stop the watch.
  auto callback = m_callback;
  callback(std::move(message->m_reply));
}

void WatchStream::Fail(StoreErrorCode code, std::string message) {
  StoreError error;
  error.m_code = code;
  error.m_effect = StoreEffect::kUnavailable;
  error.m_message = std::move(message);
  End(std::move(error));
}

void WatchStream::End(StoreError error) {
  auto callback = std::exchange(m_callback, nullptr);
  if (!callback) {
    return;
  }
  g_cancellable_cancel(m_cancellable.get());
  ++m_channel->m_counts.m_failed;
  callback(std::move(error));
}

WatchHandle::WatchHandle(std::shared_ptr<WatchStream> stream)
    : m_stream(std::move(stream)) {}

WatchHandle::~WatchHandle() {
  m_stream->Stop();
}

void WatchHandle::Stop() {
  m_stream->Stop();
}

}  // namespace comfreyshift
