#ifndef NODE_DATAGRAM_SOCKET_H_
#define NODE_DATAGRAM_SOCKET_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "core/core.h"

namespace comfreyshift {

struct SocketError {
  std::string m_message;
};

// A UDP socket on the GLib main loop.
class DatagramSocket {
 public:
  using ReceiveFunction =
      std::function<void(const Address& from, std::span<const uint8_t> bytes)>;

  // Binds `address`. `on_receive` runs for each datagram from the main loop.
  static Result<std::unique_ptr<DatagramSocket>, SocketError> Bind(
      const Address& address,
      ReceiveFunction on_receive);

  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Sends one datagram. A datagram that the system refuses is dropped, as the
  // network may drop any.
  void Send(const Address& to, std::span<const uint8_t> bytes);

 private:
  DatagramSocket(int fd, ReceiveFunction on_receive);

  static gboolean OnReadable(gint fd, GIOCondition condition, gpointer self);

  int m_fd;
  guint m_source;
  ReceiveFunction m_on_receive;
};

}  // namespace comfreyshift

#endif  // NODE_DATAGRAM_SOCKET_H_
