#ifndef MEMBERSHIP_RANDOM_H_
#define MEMBERSHIP_RANDOM_H_

#include <cstdint>
#include <limits>

namespace comfreyshift {

// The SplitMix64 generator as a standard uniform random bit generator. Its
// state takes 8 bytes, that of std::mt19937_64 2.5 kB.
class SplitMix64 {
 public:
  // The name is required by std::uniform_random_bit_generator.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using result_type = uint64_t;

  explicit SplitMix64(uint64_t seed) : m_state(seed) {}

  static constexpr uint64_t min() { return 0; }
  static constexpr uint64_t max() {
    return std::numeric_limits<uint64_t>::max();
  }

  uint64_t operator()() {
    m_state += 0x9E3779B97F4A7C15ULL;
    uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  // Returns a random number below `bound`, which must not be 0.
  uint64_t Below(uint64_t bound) { return (*this)() % bound; }

 private:
  uint64_t m_state;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_RANDOM_H_
