#ifndef CORE_ADDRESS_H_
#define CORE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyshift {

// An IP number and a port.
struct Address {
  std::string m_host;
  uint16_t m_port = 0;

  // Reads `HOST:PORT` or `[IPv6]:PORT`. Returns nothing when the port is
  // missing or outside 1 to 65535, or the host is not an IP number.
  static std::optional<Address> Parse(std::string_view text);

  std::string ToString() const;

  auto operator<=>(const Address&) const = default;
};

}  // namespace comfreyshift

#endif  // CORE_ADDRESS_H_
