#include "node/datagram_socket.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <utility>

namespace comfreyshift {

namespace {

constexpr size_t kMaxDatagram = 65536;

// Datagrams handled in one dispatch before other sources get their turn.
constexpr int kDatagramsPerDispatch = 64;

}  // namespace

Result<std::unique_ptr<DatagramSocket>, SocketError> DatagramSocket::Bind(
    const Address& address,
    ReceiveFunction on_receive) {
  const SocketAddress at = SocketAddress::From(address);
  const int fd =
      socket(at.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return SocketError{std::string("cannot open a UDP socket: ") +
                       strerror(errno)};
  }
  if (bind(fd, at.get(), at.m_length) != 0) {
    const std::string reason = strerror(errno);
    close(fd);
    return SocketError{"cannot bind UDP " + address.ToString() + ": " + reason};
  }
  return std::unique_ptr<DatagramSocket>(
      new DatagramSocket(fd, std::move(on_receive)));
}

DatagramSocket::DatagramSocket(int fd, ReceiveFunction on_receive)
    : m_fd(fd),
      m_source(g_unix_fd_add(fd, G_IO_IN, &DatagramSocket::OnReadable, this)),
      m_on_receive(std::move(on_receive)) {}

DatagramSocket::~DatagramSocket() {
  g_source_remove(m_source);
  close(m_fd);
}

void DatagramSocket::Send(const Address& to, std::span<const uint8_t> bytes) {
  const SocketAddress address = SocketAddress::From(to);
  sendto(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, address.get(),
         address.m_length);
}

gboolean DatagramSocket::OnReadable(gint fd, GIOCondition, gpointer self) {
  auto* socket = static_cast<DatagramSocket*>(self);
  static std::array<uint8_t, kMaxDatagram> buffer;
  for (int i = 0; i < kDatagramsPerDispatch; ++i) {
    SocketAddress from;
    const ssize_t size = recvfrom(fd, buffer.data(), buffer.size(), 0,
                                  from.get(), &from.m_length);
    if (size < 0) {
      break;
    }
    socket->m_on_receive(from.ToAddress(),
                         {buffer.data(), static_cast<size_t>(size)});
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace comfreyshift
