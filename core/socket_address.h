#ifndef CORE_SOCKET_ADDRESS_H_
#define CORE_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include "core/address.h"

namespace comfreyshift {

// An address in the form that the socket calls take.
struct SocketAddress {
  // Returns the form of `address`, which must hold an IP number.
  static SocketAddress From(const Address& address);

  Address ToAddress() const;

  int family() const { return m_storage.ss_family; }
  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&m_storage); }

  sockaddr_storage m_storage{};
  socklen_t m_length = sizeof(sockaddr_storage);
};

}  // namespace comfreyshift

#endif  // CORE_SOCKET_ADDRESS_H_
