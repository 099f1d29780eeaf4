#include "net/socket_queues.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace comfreyshift {

namespace {

size_t QueueLength(int socket, unsigned long request) {
  int bytes = 0;
  return ioctl(socket, request, &bytes) == 0
             ? static_cast<size_t>(std::max(bytes, 0))
             : 0;
}

}  // namespace

size_t ReceivedBytes(int socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
             ? static_cast<size_t>(info.tcpi_bytes_received)
             : 0;
}

size_t QueuedBytes(int socket) {
  return QueueLength(socket, SIOCINQ) + QueueLength(socket, SIOCOUTQ);
}

void BoundSocketBuffers(int socket, int bytes) {
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

}  // namespace comfreyshift
