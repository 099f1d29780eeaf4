#include "http/token.h"

#include <openssl/sha.h>

#include <array>

#include "core/core.h"

namespace comfreyshift {

namespace {

constexpr std::string_view kBearer = "bearer ";

// Decides for one kind of access by the hash of the token.
struct Authorizer {
  std::optional<std::string> operator()(const PublicAccess&) const {
    return "";
  }

  // All clients are compared, so that the time does not tell which one matched.
  std::optional<std::string> operator()(const CallerAccess& access) const {
    std::optional<std::string> client;
    for (const ClientToken& entry : access.m_tokens()) {
      if (ConstantTimeEqual(entry.m_token_sha256, m_hash)) {
        client = entry.m_client;
      }
    }
    return client;
  }

  // Comparing hashes hides the length of the token too.
  std::optional<std::string> operator()(const OperatorAccess& access) const {
    if (access.m_token.empty() ||
        !ConstantTimeEqual(TokenSha256(access.m_token), m_hash)) {
      return std::nullopt;
    }
    return "";
  }

  std::string m_hash;
};

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

std::string TokenSha256(std::string_view token) {
  std::array<uint8_t, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const uint8_t*>(token.data()), token.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const uint8_t byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::optional<std::string_view> BearerToken(std::string_view header) {
  if (header.size() <= kBearer.size()) {
    return std::nullopt;
  }
  for (size_t i = 0; i < kBearer.size(); ++i) {
    if (ToLower(header[i]) != kBearer[i]) {
      return std::nullopt;
    }
  }
  return header.substr(kBearer.size());
}

std::optional<std::string> Authorize(const Access& access,
                                     std::optional<std::string_view> token) {
  if (!token && !std::holds_alternative<PublicAccess>(access)) {
    return std::nullopt;
  }
  return std::visit(Authorizer{TokenSha256(token.value_or(""))}, access);
}

}  // namespace comfreyshift
