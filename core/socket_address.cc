#include "core/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>

namespace comfreyshift {

SocketAddress SocketAddress::From(const Address& address) {
  SocketAddress result;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.m_storage);
  if (inet_pton(AF_INET, address.m_host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.m_port);
    result.m_length = sizeof(sockaddr_in);
    return result;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.m_storage);
  inet_pton(AF_INET6, address.m_host.c_str(), &v6->sin6_addr);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(address.m_port);
  result.m_length = sizeof(sockaddr_in6);
  return result;
}

Address SocketAddress::ToAddress() const {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (family() == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&m_storage);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4->sin_port)};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&m_storage);
  inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  return {text.data(), ntohs(v6->sin6_port)};
}

}  // namespace comfreyshift
