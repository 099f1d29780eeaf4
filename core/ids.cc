#include "core/ids.h"

#include <xxhash.h>

namespace comfreyshift {

namespace {

constexpr size_t kTextLength = 36;
constexpr int kTimeBytes = 6;
constexpr uint8_t kVersion7 = 0x70;
constexpr uint8_t kVersionMask = 0xF0;
constexpr uint8_t kVariant = 0x80;
constexpr uint8_t kVariantMask = 0xC0;

bool IsDash(size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

}  // namespace

std::optional<SubmissionKey> SubmissionKey::Parse(std::string_view text) {
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  std::array<uint8_t, 16> bytes{};
  size_t digit = 0;
  for (size_t i = 0; i < kTextLength; ++i) {
    if (IsDash(i)) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const int value = HexDigit(text[i]);
    if (value < 0) {
      return std::nullopt;
    }
    bytes[digit / 2] = static_cast<uint8_t>((bytes[digit / 2] << 4) | value);
    ++digit;
  }
  return SubmissionKey(bytes);
}

SubmissionKey SubmissionKey::Make(WallTime first_sent,
                                  uint64_t high,
                                  uint64_t low) {
  std::array<uint8_t, 16> bytes{};
  auto ms = static_cast<uint64_t>(first_sent.time_since_epoch().count());
  for (int i = kTimeBytes - 1; i >= 0; --i) {
    bytes[i] = static_cast<uint8_t>(ms);
    ms >>= 8;
  }
  for (int i = kTimeBytes; i < 8; ++i) {
    bytes[i] = static_cast<uint8_t>(high);
    high >>= 8;
  }
  for (int i = 8; i < 16; ++i) {
    bytes[i] = static_cast<uint8_t>(low);
    low >>= 8;
  }
  bytes[6] = (bytes[6] & static_cast<uint8_t>(~kVersionMask)) | kVersion7;
  bytes[8] = (bytes[8] & static_cast<uint8_t>(~kVariantMask)) | kVariant;
  return SubmissionKey(bytes);
}

std::optional<WallTime> SubmissionKey::FirstSent() const {
  if ((m_bytes[6] & kVersionMask) != kVersion7) {
    return std::nullopt;
  }
  uint64_t ms = 0;
  for (int i = 0; i < kTimeBytes; ++i) {
    ms = (ms << 8) | m_bytes[i];
  }
  return WallTime(Milliseconds(ms));
}

PartitionId SubmissionKey::Partition(uint32_t partition_count) const {
  return static_cast<PartitionId>(XXH3_64bits(m_bytes.data(), m_bytes.size()) %
                                  partition_count);
}

std::string SubmissionKey::ToString() const {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(kTextLength);
  for (const uint8_t byte : m_bytes) {
    if (IsDash(text.size())) {
      text.push_back('-');
    }
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xF]);
  }
  return text;
}

}  // namespace comfreyshift

size_t std::hash<comfreyshift::SubmissionKey>::operator()(
    const comfreyshift::SubmissionKey& key) const noexcept {
  return XXH3_64bits(key.bytes().data(), key.bytes().size());
}
