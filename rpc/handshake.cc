#include "rpc/handshake.h"

#include <openssl/rand.h>

#include <cstdlib>
#include <vector>

namespace comfreyshift {

namespace {

std::string_view AsText(std::span<const uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

Nonce MakeNonce() {
  Nonce nonce;
  // Without random numbers no connection can be authenticated.
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    std::abort();
  }
  return nonce;
}

MacTag MakeProof(std::string_view fleet_key,
                 HandshakeSide side,
                 const Nonce& client_nonce,
                 const Nonce& server_nonce) {
  std::vector<uint8_t> message;
  message.push_back(static_cast<uint8_t>(side));
  message.insert(message.end(), client_nonce.begin(), client_nonce.end());
  message.insert(message.end(), server_nonce.begin(), server_nonce.end());
  return ComputeMac(fleet_key, message);
}

bool CheckProof(const MacTag& expected, std::span<const uint8_t> proof) {
  return ConstantTimeEqual(AsText(expected), AsText(proof));
}

}  // namespace comfreyshift
