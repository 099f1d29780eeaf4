#include "http/soup_server.h"

#include <fcntl.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace comfreyshift {

namespace {

constexpr size_t kAcceptsPerServer = 4096;

// libsoup 3.2 closes each connection after its answer when the server has no
// listener of its own. Gives it one that never accepts: it is closed at once by
// replacing its descriptor by one that never becomes ready. libsoup takes only
// a socket that listens. Only TLS connections need it: others are taken back
// from libsoup after each answer.
void KeepConnectionsAlive(SoupServer* server) {
  if (!soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                nullptr)) {
    return;
  }
  GSList* listeners = soup_server_get_listeners(server);
  const int never_ready = eventfd(0, EFD_CLOEXEC);
  dup3(never_ready, g_socket_get_fd(G_SOCKET(listeners->data)), O_CLOEXEC);
  close(never_ready);
  g_slist_free(listeners);
}

}  // namespace

SoupServerHandle::SoupServerHandle()
    : m_server(soup_server_new("server-header", "comfreyshift", nullptr)) {
  KeepConnectionsAlive(m_server);
}

SoupServerHandle::~SoupServerHandle() {
  soup_server_disconnect(m_server);
  g_object_unref(m_server);
}

void SoupServerHandle::Accept(GIOStream* stream,
                              GSocketAddress* local,
                              GSocketAddress* remote) {
  ++m_accepted;
  soup_server_accept_iostream(m_server, stream, local, remote, nullptr);
}

bool SoupServerHandle::is_used_up() const {
  return m_accepted >= kAcceptsPerServer;
}

bool KeepsAlive(SoupServerMessage* message) {
  SoupMessageHeaders* asked = soup_server_message_get_request_headers(message);
  SoupMessageHeaders* answered =
      soup_server_message_get_response_headers(message);
  return soup_server_message_get_http_version(message) >= SOUP_HTTP_1_1 &&
         !soup_message_headers_header_contains(asked, "Connection", "close") &&
         !soup_message_headers_header_contains(answered, "Connection", "close");
}

bool HasInput(GIOStream* stream) {
  GInputStream* input = g_io_stream_get_input_stream(stream);
  return G_IS_POLLABLE_INPUT_STREAM(input) &&
         g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(input)) !=
             FALSE;
}

}  // namespace comfreyshift
