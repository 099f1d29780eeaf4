#include "core/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace comfreyshift {

namespace {

bool IsIpNumber(const std::string& host) {
  in6_addr buffer{};
  return inet_pton(AF_INET, host.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

}  // namespace

std::optional<Address> Address::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return std::nullopt;
  }
  Address address{std::string(host), port};
  if (!IsIpNumber(address.m_host)) {
    return std::nullopt;
  }
  return address;
}

std::string Address::ToString() const {
  const bool is_ipv6 = m_host.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + m_host + "]" : m_host;
  return host + ":" + std::to_string(m_port);
}

}  // namespace comfreyshift
