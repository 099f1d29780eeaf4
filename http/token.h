#ifndef HTTP_TOKEN_H_
#define HTTP_TOKEN_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace comfreyshift {

// A client and the SHA-256 of its token, 64 lower-case hexadecimal digits.
struct ClientToken {
  std::string m_client;
  std::string m_token_sha256;
};

// Anyone may use the route.
struct PublicAccess {};

// Clients may use the route. The function returns the tokens in force; the
// vector must stay unchanged until the next turn of the main loop.
struct CallerAccess {
  std::function<const std::vector<ClientToken>&()> m_tokens;
};

// Operators may use the route.
struct OperatorAccess {
  std::string m_token;
};

using Access = std::variant<PublicAccess, CallerAccess, OperatorAccess>;

// Returns the SHA-256 of `token` (FIPS 180-4) as 64 lower-case hexadecimal
// digits.
std::string TokenSha256(std::string_view token);

// Returns the token of an `Authorization: Bearer TOKEN` header value.
std::optional<std::string_view> BearerToken(std::string_view header);

// Returns who may use a route with the given bearer token: the client's name
// for callers, otherwise an empty string. Returns nothing for those who may
// not. The time taken does not depend on how much of a token is right.
std::optional<std::string> Authorize(const Access& access,
                                     std::optional<std::string_view> token);

}  // namespace comfreyshift

#endif  // HTTP_TOKEN_H_
