#include "link/session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <span>
#include <utility>

#include "link/codec.h"
#include "logging/logging.h"

namespace comfreyshift {

namespace {

constexpr size_t kReadBufferBytes = size_t{16} * 1024;

// A session with more unwritten output is closed. A peer that reads so little
// would soon be disconnected for its silence anyway.
constexpr size_t kMaxUnwrittenBytes = size_t{8} << 20;

// Charged for an accepted connection in addition to its buffers.
constexpr size_t kSessionBytes = size_t{8} << 10;

// Buffers that large are freed when they are empty.
constexpr size_t kMaxIdleBufferBytes = size_t{64} << 10;

void FreeIfLarge(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kMaxIdleBufferBytes) {
    std::string().swap(buffer);
  }
}

// Returns the IP number of the peer.
std::string RemoteHost(GSocketConnection* connection) {
  GSocketAddress* remote =
      g_socket_connection_get_remote_address(connection, nullptr);
  std::string host = "unknown";
  if (G_IS_INET_SOCKET_ADDRESS(remote)) {
    gchar* text = g_inet_address_to_string(
        g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(remote)));
    host = text;
    g_free(text);
  }
  g_clear_object(&remote);
  return host;
}

// The caller must unref the result.
GSocketAddress* ToSocketAddress(const Address& address) {
  return g_inet_socket_address_new_from_string(address.m_host.c_str(),
                                               address.m_port);
}

}  // namespace

LinkSession::LinkSession(MessageFunction on_message, CloseFunction on_close)
    : m_on_message(std::move(on_message)),
      m_on_close(std::move(on_close)),
      m_last_received(BootClock::now()) {}

LinkSession::~LinkSession() {
  Close();
}

std::shared_ptr<LinkSession> LinkSession::Connect(const Address& address,
                                                  MessageFunction on_message,
                                                  CloseFunction on_close) {
  std::shared_ptr<LinkSession> session(
      new LinkSession(std::move(on_message), std::move(on_close)));
  GSocketAddress* remote = ToSocketAddress(address);
  GError* error = nullptr;
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(remote), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &error);
  bool is_started = socket != nullptr;
  if (is_started) {
    g_socket_set_blocking(socket, FALSE);
    is_started = g_socket_connect(socket, remote, nullptr, &error) != FALSE ||
                 g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  }
  if (is_started) {
    session->Open(socket, /*is_connecting=*/true);
  } else {
    LogEvent(LogLevel::kWarning, "link", "connect_failed",
             {{"address", address.ToString()}, {"reason", error->message}});
  }
  g_clear_error(&error);
  g_clear_object(&socket);
  g_object_unref(remote);
  return session;
}

std::shared_ptr<LinkSession> LinkSession::Accept(
    GSocketConnection* connection,
    MessageFunction on_message,
    CloseFunction on_close,
    std::shared_ptr<LinkAdmission> admission) {
  std::shared_ptr<LinkSession> session(
      new LinkSession(std::move(on_message), std::move(on_close)));
  session->m_connection = G_SOCKET_CONNECTION(g_object_ref(connection));
  if (admission != nullptr && !session->Admit(std::move(admission))) {
    session->Close();
    return session;
  }
  session->Open(g_socket_connection_get_socket(connection),
                /*is_connecting=*/false);
  return session;
}

void LinkSession::Open(GSocket* socket, bool is_connecting) {
  m_self_reference = shared_from_this();
  m_socket = G_SOCKET(g_object_ref(socket));
  m_is_connecting = is_connecting;
  m_is_waiting_to_write = is_connecting;
  g_socket_set_blocking(m_socket, FALSE);
  g_socket_set_option(m_socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  m_watch = SocketPoller::Default().Add(g_socket_get_fd(m_socket), Interest(),
                                        [this](SocketEvents) { OnReady(); });
}

bool LinkSession::Admit(std::shared_ptr<LinkAdmission> admission) {
  m_account = std::make_shared<ClientAccount>(
      admission->budget(), RemoteHost(m_connection), /*is_reserved=*/false,
      [this](ClientLimit) { CloseAndNotify(); });
  if (!m_account->is_admitted()) {
    return false;
  }
  m_admission = std::move(admission);
  m_admission->AddPending(m_account, [this]() { CloseAndNotify(); });
  m_hello_timer = std::make_unique<LoopTimer>(
      [this]() { CloseForLimit(ClientLimit::kLinkHelloTime); });
  m_hello_timer->Set(BootClock::now() + m_admission->hello_timeout());
  // May close this session.
  m_account->Hold(kSessionBytes);
  return m_admission != nullptr;
}

void LinkSession::OnHello() {
  if (m_admission != nullptr && !m_has_hello) {
    m_has_hello = true;
    m_hello_timer = nullptr;
    m_admission->RemovePending(m_account);
    m_account->SetState(ClientBudget::State::kRunning);
  }
}

void LinkSession::CloseForLimit(ClientLimit limit) {
  m_account->Record(limit);
  CloseAndNotify();
}

void LinkSession::ChargeBuffers() {
  if (m_admission == nullptr || !is_open()) {
    return;
  }
  const size_t bytes = m_input.capacity() + m_output.capacity();
  if (m_has_hello) {
    m_account->SetState(bytes > kMaxProtectedLinkBytes
                            ? ClientBudget::State::kTransferring
                            : ClientBudget::State::kRunning);
  }
  m_account->Hold(kSessionBytes + bytes);
}

void LinkSession::SetWaitingToWrite(bool is_waiting) {
  if (m_is_waiting_to_write != is_waiting) {
    m_is_waiting_to_write = is_waiting;
    SocketPoller::Default().SetInterest(m_watch, Interest());
  }
}

void LinkSession::Send(LinkMessage message) {
  if (!is_open()) {
    return;
  }
  m_queued_messages.push_back(std::move(message));
  if (!std::exchange(m_is_flush_due, true)) {
    SocketPoller::Default().CallAfterInput(
        [self = shared_from_this()]() { self->Flush(); });
  }
}

void LinkSession::Flush() {
  m_is_flush_due = false;
  if (!is_open()) {
    return;
  }
  EncodeQueuedMessages();
  if (m_output.size() - m_output_offset > kMaxUnwrittenBytes ||
      !WriteOutput()) {
    CloseAndNotify();
    return;
  }
  if (!m_output.empty()) {
    ChargeBuffers();
  }
}

void LinkSession::EncodeQueuedMessages() {
  std::span<const LinkMessage> remaining(m_queued_messages);
  while (!remaining.empty()) {
    const size_t count = CountForBatch(remaining);
    EncodeBatch(remaining.first(count), BootClock::now(), m_output);
    remaining = remaining.subspan(count);
  }
  m_queued_messages.clear();
}

bool LinkSession::WriteOutput() {
  if (m_is_connecting) {
    return true;
  }
  while (m_output_offset < m_output.size()) {
    GError* error = nullptr;
    const gssize sent =
        g_socket_send(m_socket, m_output.data() + m_output_offset,
                      m_output.size() - m_output_offset, nullptr, &error);
    if (sent < 0) {
      const bool would_block =
          g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_error_free(error);
      if (would_block) {
        SetWaitingToWrite(true);
      }
      return would_block;
    }
    m_output_offset += static_cast<size_t>(sent);
  }
  m_output.clear();
  m_output_offset = 0;
  FreeIfLarge(m_output);
  SetWaitingToWrite(false);
  return true;
}

bool LinkSession::ReadInput() {
  char buffer[kReadBufferBytes];
  GError* error = nullptr;
  const gssize received =
      g_socket_receive(m_socket, buffer, sizeof(buffer), nullptr, &error);
  if (received <= 0) {
    const bool would_block =
        received < 0 &&
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return would_block;
  }
  m_last_received = BootClock::now();
  m_input.append(buffer, static_cast<size_t>(received));
  std::vector<LinkMessage> messages;
  const auto frame_error = DecodeBatches(m_input, m_last_received, messages);
  for (LinkMessage& message : messages) {
    if (!is_open()) {
      return true;
    }
    if (std::holds_alternative<Hello>(message)) {
      OnHello();
    }
    m_on_message(shared_from_this(), std::move(message));
  }
  if (frame_error) {
    LogEvent(LogLevel::kWarning, "link", "malformed_frame", {});
    return false;
  }
  if (m_admission != nullptr && !m_has_hello &&
      m_input.size() > kMaxFirstFrameBytes) {
    m_account->Record(ClientLimit::kLinkFrame);
    return false;
  }
  FreeIfLarge(m_input);
  ChargeBuffers();
  return true;
}

void LinkSession::OnReady() {
  const auto self_reference = shared_from_this();
  if (m_is_connecting) {
    GError* error = nullptr;
    if (!g_socket_check_connect_result(m_socket, &error)) {
      g_error_free(error);
      CloseAndNotify();
      return;
    }
    m_is_connecting = false;
  }
  if (!WriteOutput() || (is_open() && !ReadInput())) {
    CloseAndNotify();
  }
}

void LinkSession::CloseAndNotify() {
  const auto self_reference = shared_from_this();
  const CloseFunction on_close = std::exchange(m_on_close, nullptr);
  Close();
  if (on_close) {
    on_close(self_reference);
  }
}

void LinkSession::Close() {
  m_hello_timer = nullptr;
  if (const auto admission = std::exchange(m_admission, nullptr)) {
    admission->RemovePending(m_account);
    m_account->Close();
  }
  SocketPoller::Default().Remove(std::exchange(m_watch, 0));
  if (m_socket != nullptr) {
    g_socket_close(m_socket, nullptr);
    g_clear_object(&m_socket);
  }
  g_clear_object(&m_connection);
  m_on_close = nullptr;
  // Must come last: this may be the only reference to the session.
  const auto self_reference = std::exchange(m_self_reference, nullptr);
}

LinkListener::LinkListener(AcceptFunction on_accept)
    : m_service(g_socket_service_new()), m_on_accept(std::move(on_accept)) {}

LinkListener::~LinkListener() {
  g_socket_service_stop(m_service);
  g_socket_listener_close(G_SOCKET_LISTENER(m_service));
  g_object_unref(m_service);
}

std::unique_ptr<LinkListener> LinkListener::Listen(const Address& address,
                                                   AcceptFunction on_accept) {
  std::unique_ptr<LinkListener> listener(
      new LinkListener(std::move(on_accept)));
  GSocketAddress* local = ToSocketAddress(address);
  GError* error = nullptr;
  const bool is_listening = g_socket_listener_add_address(
      G_SOCKET_LISTENER(listener->m_service), local, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
  g_object_unref(local);
  if (!is_listening) {
    LogEvent(LogLevel::kError, "link", "listen_failed",
             {{"address", address.ToString()}, {"reason", error->message}});
    g_error_free(error);
    return nullptr;
  }
  g_signal_connect(listener->m_service, "incoming",
                   G_CALLBACK(&LinkListener::OnIncoming), listener.get());
  g_socket_service_start(listener->m_service);
  return listener;
}

gboolean LinkListener::OnIncoming(GSocketService*,
                                  GSocketConnection* connection,
                                  GObject*,
                                  LinkListener* self) {
  self->m_on_accept(connection);
  return TRUE;
}

}  // namespace comfreyshift
