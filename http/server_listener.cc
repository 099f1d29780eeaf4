#include "http/server_listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "net/net.h"

namespace comfreyshift {

namespace {

// Connections that may wait to be accepted; GLib's default of 10 refuses
// bursts.
constexpr int kBacklog = 1024;

HttpError TakeError(HttpErrorCode code, GError* error) {
  HttpError taken{code, error->message};
  g_error_free(error);
  return taken;
}

}  // namespace

ServerListener::ServerListener(AcceptFunction accept, int buffer_bytes)
    : m_accept(std::move(accept)),
      m_buffer_bytes(buffer_bytes),
      m_service(g_socket_service_new()) {
  g_socket_listener_set_backlog(G_SOCKET_LISTENER(m_service), kBacklog);
  g_signal_connect(m_service, "incoming",
                   G_CALLBACK(&ServerListener::OnIncoming), this);
  g_signal_connect(m_service, "event", G_CALLBACK(&ServerListener::OnEvent),
                   this);
}

ServerListener::~ServerListener() {
  Close();
  g_object_unref(m_service);
  g_clear_object(&m_certificate);
}

Result<void, HttpError> ServerListener::UseTls(
    const std::filesystem::path& certificate,
    const std::filesystem::path& private_key) {
  GError* error = nullptr;
  GTlsCertificate* loaded = g_tls_certificate_new_from_files(
      certificate.c_str(), private_key.c_str(), &error);
  if (loaded == nullptr) {
    return TakeError(HttpErrorCode::kTls, error);
  }
  g_clear_object(&m_certificate);
  m_certificate = loaded;
  return outcome::success();
}

Result<Address, HttpError> ServerListener::Listen(const Address& address) {
  GError* error = nullptr;
  GSocketAddress* socket_address = g_inet_socket_address_new_from_string(
      address.m_host.c_str(), address.m_port);
  if (socket_address == nullptr) {
    return HttpError{HttpErrorCode::kListen,
                     address.m_host + " is not an IP number"};
  }
  GSocketAddress* effective = nullptr;
  const bool is_listening = g_socket_listener_add_address(
      G_SOCKET_LISTENER(m_service), socket_address, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, nullptr, &effective, &error);
  g_object_unref(socket_address);
  if (!is_listening) {
    return TakeError(HttpErrorCode::kListen, error);
  }
  const guint16 port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective));
  g_object_unref(effective);
  return Address{address.m_host, port};
}

void ServerListener::Close() {
  g_signal_handlers_disconnect_by_data(m_service, this);
  g_socket_service_stop(m_service);
  g_socket_listener_close(G_SOCKET_LISTENER(m_service));
}

// Accepted connections inherit the buffers of the listening socket from their
// first byte on.
void ServerListener::OnEvent(GSocketListener* /*listener*/,
                             GSocketListenerEvent event,
                             GSocket* socket,
                             ServerListener* self) {
  if (event == G_SOCKET_LISTENER_BINDING && self->m_buffer_bytes > 0) {
    BoundSocketBuffers(g_socket_get_fd(socket), self->m_buffer_bytes);
  }
}

gboolean ServerListener::OnIncoming(GSocketService* /*service*/,
                                    GSocketConnection* connection,
                                    GObject* /*source*/,
                                    ServerListener* self) {
  GSocket* socket = g_socket_connection_get_socket(connection);
  // Answers are written at once instead of waiting for more to send.
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  GIOStream* stream = self->Wrap(connection);
  if (stream != nullptr) {
    self->m_accept(connection, stream);
  }
  g_clear_object(&stream);
  return TRUE;
}

GIOStream* ServerListener::Wrap(GSocketConnection* connection) const {
  if (m_certificate == nullptr) {
    return G_IO_STREAM(g_object_ref(connection));
  }
  return g_tls_server_connection_new(G_IO_STREAM(connection), m_certificate,
                                     nullptr);
}

}  // namespace comfreyshift
