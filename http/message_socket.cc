#include "http/message_socket.h"

namespace comfreyshift {

namespace {

constexpr const char* kSocketKey = "comfreyshift-socket";

}  // namespace

void AttachSocket(GSocketAddress* remote, GSocket* socket) {
  g_object_set_data_full(G_OBJECT(remote), kSocketKey, g_object_ref(socket),
                         g_object_unref);
}

GSocket* SocketOf(SoupServerMessage* message) {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  if (remote == nullptr) {
    return nullptr;
  }
  gpointer socket = g_object_get_data(G_OBJECT(remote), kSocketKey);
  return socket == nullptr ? nullptr : G_SOCKET(socket);
}

}  // namespace comfreyshift
