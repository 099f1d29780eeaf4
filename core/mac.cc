#include "core/mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace comfreyshift {

MacTag ComputeMac(std::string_view key, std::span<const uint8_t> data) {
  std::array<uint8_t, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data.data(),
       data.size(), digest.data(), &length);
  MacTag tag;
  std::copy_n(digest.begin(), kMacSize, tag.begin());
  return tag;
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace comfreyshift
