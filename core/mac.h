#ifndef CORE_MAC_H_
#define CORE_MAC_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace comfreyshift {

// Length in bytes of a truncated HMAC-SHA256 tag.
inline constexpr size_t kMacSize = 16;

using MacTag = std::array<uint8_t, kMacSize>;

// Returns HMAC-SHA256 (RFC 2104, FIPS 180-4) of `data` under `key`, cut to the
// first 16 bytes.
MacTag ComputeMac(std::string_view key, std::span<const uint8_t> data);

// Compares two byte strings in time that depends only on their lengths.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace comfreyshift

#endif  // CORE_MAC_H_
