#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace comfreyshift {

// Revision of the configuration: the mod revision of the store's head key.
using Revision = uint64_t;

// Fencing epoch of a partition. Each change of its owner raises it by one.
using Epoch = uint64_t;

// Index of a partition of the submissions, below the table's partition count.
using PartitionId = uint32_t;

// One run of one process. A restarted process keeps its name and takes a higher
// incarnation.
struct ProcessId {
  std::string m_name;
  uint64_t m_incarnation = 0;

  auto operator<=>(const ProcessId&) const = default;
};

// The caller's idempotency key: a UUID of 16 bytes.
class SubmissionKey {
 public:
  SubmissionKey() = default;
  explicit SubmissionKey(std::array<uint8_t, 16> bytes) : m_bytes(bytes) {}

  // Reads the canonical form of 36 characters. Returns nothing for any other
  // text.
  static std::optional<SubmissionKey> Parse(std::string_view text);

  // Makes a UUIDv7 for `first_sent` with 74 bits taken from the two words.
  static SubmissionKey Make(WallTime first_sent, uint64_t high, uint64_t low);

  // Returns the time inside a UUIDv7, or nothing for other versions.
  std::optional<WallTime> FirstSent() const;

  // Returns the partition of this key: XXH3 modulo `partition_count`, which
  // must not be 0.
  PartitionId Partition(uint32_t partition_count) const;

  std::string ToString() const;
  const std::array<uint8_t, 16>& bytes() const { return m_bytes; }

  auto operator<=>(const SubmissionKey&) const = default;

 private:
  std::array<uint8_t, 16> m_bytes{};
};

// One task of a submission.
struct TaskRef {
  SubmissionKey m_key;
  uint32_t m_index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

}  // namespace comfreyshift

template <>
struct std::hash<comfreyshift::SubmissionKey> {
  size_t operator()(const comfreyshift::SubmissionKey& key) const noexcept;
};

template <>
struct std::hash<comfreyshift::TaskRef> {
  size_t operator()(const comfreyshift::TaskRef& ref) const noexcept {
    return std::hash<comfreyshift::SubmissionKey>()(ref.m_key) ^
           (ref.m_index * 0x9E3779B97F4A7C15ULL);
  }
};

#endif  // CORE_IDS_H_
