#ifndef RPC_HANDSHAKE_H_
#define RPC_HANDSHAKE_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "core/core.h"

namespace comfreyshift {

// Mutual proof of the fleet key when a connection opens: each end answers the
// other's nonce with an HMAC over both nonces and its own side, so that neither
// proof can be sent back to its maker. It authenticates the connection's start;
// the bytes after it are neither signed nor encrypted.
inline constexpr size_t kNonceSize = 16;

using Nonce = std::array<uint8_t, kNonceSize>;

enum class HandshakeSide : uint8_t { kServer = 's', kClient = 'c' };

// Returns 16 random bytes from the operating system.
Nonce MakeNonce();

MacTag MakeProof(std::string_view fleet_key,
                 HandshakeSide side,
                 const Nonce& client_nonce,
                 const Nonce& server_nonce);

// Compares in constant time.
bool CheckProof(const MacTag& expected, std::span<const uint8_t> proof);

}  // namespace comfreyshift

#endif  // RPC_HANDSHAKE_H_
