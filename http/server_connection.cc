#include "http/server_connection.h"

#include <utility>

#include "http/message_socket.h"
#include "http/refusal.h"

namespace comfreyshift {

namespace {

// Each leaves 16 bytes; see is_used_up.
constexpr uint64_t kRequestsPerConnection = 10'000;

// While a client sends requests ahead, each request adds a layer to the stream
// that libsoup reads from. 3,000 layers took 290 KB, and each read passes
// through all of them.
constexpr size_t kMaxStreamLayers = 64;

// Charged for a connection without a request: its objects here, in GLib and in
// the kernel.
constexpr size_t kIdleConnectionBytes = size_t{6} * 1024;
// What libsoup adds to serve a request, and its first read.
constexpr size_t kServingBytes = size_t{10} * 1024;

// Returns the IP number of a client, without the port.
std::string HostOf(GSocketAddress* address) {
  if (!G_IS_INET_SOCKET_ADDRESS(address)) {
    return "unknown";
  }
  gchar* text = g_inet_address_to_string(
      g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
  std::string host(text);
  g_free(text);
  return host;
}

}  // namespace

ServerConnection::ServerConnection(GSocketConnection* connection,
                                   GIOStream* stream,
                                   const std::shared_ptr<ClientBudget>& budget,
                                   bool is_reserved,
                                   Function on_request,
                                   Function on_gone)
    : m_connection(G_SOCKET_CONNECTION(g_object_ref(connection))),
      m_socket(g_socket_connection_get_socket(connection)),
      m_stream(G_IO_STREAM(g_object_ref(stream))),
      m_local(g_socket_get_local_address(m_socket, nullptr)),
      m_remote(g_socket_get_remote_address(m_socket, nullptr)),
      m_on_request(std::move(on_request)),
      m_on_gone(std::move(on_gone)),
      m_watch(SocketPoller::Default().Add(
          g_socket_get_fd(m_socket),
          SocketInterest::kArrivals,
          [this](SocketEvents events) { OnReady(events); })),
      m_account(std::make_shared<ClientAccount>(
          budget,
          HostOf(m_remote),
          is_reserved,
          [this](ClientLimit limit) { Abort(limit); })) {
  m_account->Hold(kIdleConnectionBytes);
  if (m_remote != nullptr) {
    AttachSocket(m_remote, m_socket);
  }
}

ServerConnection::~ServerConnection() {
  StopWatching();
  // A request may keep the account for longer.
  m_account->Close();
  g_socket_close(m_socket, nullptr);
  g_clear_object(&m_local);
  g_clear_object(&m_remote);
  g_object_unref(m_stream);
  g_object_unref(m_connection);
}

void ServerConnection::StopWatching() {
  if (g_socket_is_closed(m_socket)) {
    SocketPoller::Default().Forget(std::exchange(m_watch, 0));
  } else {
    SocketPoller::Default().Remove(std::exchange(m_watch, 0));
  }
}

void ServerConnection::OnReady(SocketEvents events) {
  if (events.m_is_hung_up) {
    MarkGone();
  } else if (!is_serving()) {
    m_on_request(*this);
  }
}

void ServerConnection::MarkGone() {
  if (!std::exchange(m_is_gone, true)) {
    StopWatching();
    m_on_gone(*this);
  }
}

void ServerConnection::Abort(ClientLimit limit) {
  m_is_aborted = true;
  if (!is_serving()) {
    // Its descriptor is needed now.
    MarkGone();
    g_socket_close(m_socket, nullptr);
    return;
  }
  const std::shared_ptr<HttpRequest> request = m_request;
  if (request != nullptr && !request->is_received()) {
    request->Abandon();
  }
  const bool is_answering = request != nullptr && request->is_received();
  const bool uses_tls = G_IS_TLS_CONNECTION(m_stream);
  if (!is_answering && !uses_tls) {
    RefuseOnSocket(m_socket, RefusalFor(limit));
  } else {
    g_socket_shutdown(m_socket, TRUE, TRUE, nullptr);
  }
}

ServerConnection::Phase ServerConnection::phase() const {
  if (m_request == nullptr) {
    return is_serving() ? Phase::kHead : Phase::kIdle;
  }
  if (!m_request->is_received()) {
    return Phase::kBody;
  }
  return m_request->is_answered() ? Phase::kAnswer : Phase::kHandler;
}

void ServerConnection::Begin(std::shared_ptr<void> server) {
  m_server = std::move(server);
  m_begun_at = BootClock::now();
  m_account->SetState(ClientBudget::State::kTransferring);
  m_account->Hold(kIdleConnectionBytes + kServingBytes);
}

void ServerConnection::SetRequest(std::shared_ptr<HttpRequest> request) {
  m_request = std::move(request);
  ++m_requests;
}

bool ServerConnection::is_used_up() const {
  return m_requests >= kRequestsPerConnection ||
         m_stream_layers >= kMaxStreamLayers;
}

void ServerConnection::EndRequest() {
  m_request = nullptr;
  m_idle_since = BootClock::now();
  m_account->SetState(ClientBudget::State::kIdle);
  m_account->HoldOutside(0);
  m_account->Hold(kIdleConnectionBytes);
}

std::shared_ptr<void> ServerConnection::Rest(GIOStream* stream) {
  if (stream != nullptr) {
    ++m_stream_layers;
  } else if (m_stream_layers > 0) {
    // Nothing is left in the layers.
    m_stream_layers = 0;
    stream = G_IO_STREAM(m_connection);
  }
  if (stream != nullptr) {
    g_object_unref(std::exchange(m_stream, G_IO_STREAM(g_object_ref(stream))));
  }
  return std::exchange(m_server, nullptr);
}

}  // namespace comfreyshift
