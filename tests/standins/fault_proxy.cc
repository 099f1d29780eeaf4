#include "tests/standins/fault_proxy.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <vector>

namespace comfreyshift {

namespace {

constexpr Milliseconds kDelay{120};
constexpr guint kTickMs = 5;
constexpr size_t kReadBytes = size_t{64} * 1024;

// Returns a socket that connects to `address`.
GSocket* Connect(const Address& address) {
  GSocket* socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, nullptr);
  GSocketAddress* remote = g_inet_socket_address_new_from_string(
      address.m_host.c_str(), address.m_port);
  g_socket_set_blocking(socket, FALSE);
  // A refused connection shows when it is written to.
  g_socket_connect(socket, remote, nullptr, nullptr);
  g_object_unref(remote);
  return socket;
}

}  // namespace

FaultProxy::FaultProxy(const Address& server)
    : m_server(server), m_service(g_socket_service_new()) {
  GSocketAddress* any = g_inet_socket_address_new_from_string("127.0.0.1", 0);
  GSocketAddress* effective = nullptr;
  g_socket_listener_add_address(G_SOCKET_LISTENER(m_service), any,
                                G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                nullptr, &effective, nullptr);
  m_address = {"127.0.0.1", g_inet_socket_address_get_port(
                                G_INET_SOCKET_ADDRESS(effective))};
  g_object_unref(effective);
  g_object_unref(any);
  g_signal_connect(m_service, "incoming", G_CALLBACK(&FaultProxy::OnIncoming),
                   this);
  m_timer = g_timeout_add(kTickMs, &FaultProxy::OnTick, this);
}

FaultProxy::~FaultProxy() {
  g_source_remove(m_timer);
  g_socket_service_stop(m_service);
  g_socket_listener_close(G_SOCKET_LISTENER(m_service));
  g_object_unref(m_service);
  for (auto& [id, connection] : m_connections) {
    Close(connection, /*is_reset=*/false);
  }
}

gboolean FaultProxy::OnIncoming(GSocketService*,
                                GSocketConnection* connection,
                                GObject*,
                                FaultProxy* self) {
  // The connection's own object would close the socket; a copy of the
  // descriptor stays. Processes that start later must not hold it open.
  const int copy =
      fcntl(g_socket_get_fd(g_socket_connection_get_socket(connection)),
            F_DUPFD_CLOEXEC, 0);
  GSocket* client = g_socket_new_from_fd(copy, nullptr);
  if (client != nullptr) {
    self->Accept(client);
  }
  return TRUE;
}

void FaultProxy::Accept(GSocket* client) {
  g_socket_set_blocking(client, FALSE);
  const uint64_t id = m_next_id++;
  Connection& connection = m_connections[id];
  connection.m_client = client;
  connection.m_server = Connect(m_server);
  connection.m_to_server.m_from = connection.m_to_client.m_to = client;
  connection.m_to_server.m_to = connection.m_to_client.m_from =
      connection.m_server;
  for (GSocket* socket : {client, connection.m_server}) {
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  }
  SocketPoller& poller = SocketPoller::Default();
  const auto pump = [this, id](SocketEvents) { Pump(id); };
  connection.m_client_watch =
      poller.Add(g_socket_get_fd(client), SocketInterest::kArrivals, pump);
  connection.m_server_watch = poller.Add(g_socket_get_fd(connection.m_server),
                                         SocketInterest::kArrivals, pump);
}

void FaultProxy::SetFault(LinkFault fault) {
  m_fault = fault;
  if (fault == LinkFault::kReset) {
    for (auto& [id, connection] : m_connections) {
      Close(connection, /*is_reset=*/true);
    }
    m_connections.clear();
  }
}

void FaultProxy::SilenceOpenConnections() {
  for (auto& [id, connection] : m_connections) {
    connection.m_is_silent = true;
  }
}

void FaultProxy::Read(Flow& flow) const {
  const MonoTime due =
      BootClock::now() +
      (m_fault == LinkFault::kDelay ? Microseconds(kDelay) : Microseconds(0));
  std::string buffer(kReadBytes, '\0');
  while (!flow.m_is_ended) {
    GError* error = nullptr;
    const gssize size = g_socket_receive(flow.m_from, buffer.data(),
                                         buffer.size(), nullptr, &error);
    if (size > 0) {
      flow.m_chunks.push_back(
          {due, buffer.substr(0, static_cast<size_t>(size))});
      continue;
    }
    const bool would_block =
        size < 0 &&
        (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
         g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED));
    g_clear_error(&error);
    flow.m_is_ended = !would_block;
    return;
  }
}

bool FaultProxy::Write(Flow& flow, bool is_held) const {
  const MonoTime now = BootClock::now();
  while (!is_held && !flow.m_chunks.empty() &&
         flow.m_chunks.front().m_due <= now) {
    std::string& bytes = flow.m_chunks.front().m_bytes;
    GError* error = nullptr;
    const gssize size =
        g_socket_send(flow.m_to, bytes.data(), bytes.size(), nullptr, &error);
    if (size < 0) {
      const bool would_block =
          g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
          g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED);
      g_error_free(error);
      return would_block;
    }
    bytes.erase(0, static_cast<size_t>(size));
    if (bytes.empty()) {
      flow.m_chunks.pop_front();
    }
  }
  return !(flow.m_is_ended && flow.m_chunks.empty() && !is_held);
}

void FaultProxy::Pump(uint64_t id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end() || found->second.m_is_silent) {
    return;
  }
  Connection& connection = found->second;
  const bool is_silent = m_fault == LinkFault::kSilent;
  Read(connection.m_to_server);
  Read(connection.m_to_client);
  const bool is_open = Write(connection.m_to_server,
                             is_silent || m_fault == LinkFault::kCutToServer) &&
                       Write(connection.m_to_client,
                             is_silent || m_fault == LinkFault::kCutToClient);
  if (!is_open || m_fault == LinkFault::kReset) {
    Close(connection, m_fault == LinkFault::kReset);
    m_connections.erase(found);
  }
}

gboolean FaultProxy::OnTick(gpointer data) {
  auto* self = static_cast<FaultProxy*>(data);
  std::vector<uint64_t> ids;
  for (const auto& [id, connection] : self->m_connections) {
    ids.push_back(id);
  }
  for (const uint64_t id : ids) {
    self->Pump(id);
  }
  return G_SOURCE_CONTINUE;
}

void FaultProxy::Close(Connection& connection, bool is_reset) {
  SocketPoller::Default().Remove(connection.m_client_watch);
  SocketPoller::Default().Remove(connection.m_server_watch);
  for (GSocket* socket : {connection.m_client, connection.m_server}) {
    if (is_reset) {
      const linger at_once{1, 0};
      setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof(at_once));
    }
    g_socket_close(socket, nullptr);
    g_object_unref(socket);
  }
}

}  // namespace comfreyshift
