#include "http/server_connection.h"

#include <utility>

#include "http/message_socket.h"

namespace comfreyshift {

namespace {

// Each leaves 16 bytes; see is_used_up.
constexpr uint64_t kRequestsPerConnection = 10'000;

}  // namespace

ServerConnection::ServerConnection(GSocketConnection* connection,
                                   GIOStream* stream,
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
          [this](SocketEvents events) { OnReady(events); })) {
  if (m_remote != nullptr) {
    AttachSocket(m_remote, m_socket);
  }
}

ServerConnection::~ServerConnection() {
  StopWatching();
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

void ServerConnection::Begin(std::shared_ptr<void> server) {
  m_server = std::move(server);
}

void ServerConnection::SetRequest(std::shared_ptr<HttpRequest> request) {
  m_request = std::move(request);
  ++m_requests;
}

bool ServerConnection::is_used_up() const {
  return m_requests >= kRequestsPerConnection;
}

void ServerConnection::EndRequest() {
  m_request = nullptr;
  m_idle_since = BootClock::now();
}

std::shared_ptr<void> ServerConnection::Rest(GIOStream* stream) {
  if (stream != nullptr) {
    g_object_unref(std::exchange(m_stream, G_IO_STREAM(g_object_ref(stream))));
  }
  return std::exchange(m_server, nullptr);
}

}  // namespace comfreyshift
