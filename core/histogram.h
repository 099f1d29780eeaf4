#ifndef CORE_HISTOGRAM_H_
#define CORE_HISTOGRAM_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace comfreyshift {

// Counts durations in buckets whose width grows with the value: 64 buckets for
// each power of two, so a percentile is off by at most 1.6%.
class Histogram {
 public:
  Histogram();

  // Counts one duration; a negative one counts as 0.
  void Record(Microseconds value);

  // Adds all counts of `other`.
  void Merge(const Histogram& other);

  // Returns the upper bound of the bucket that holds the given quantile, which
  // must be within [0, 1]. Returns 0 when nothing was recorded.
  Microseconds Quantile(double quantile) const;

  Microseconds Mean() const;
  uint64_t count() const { return m_count; }

 private:
  std::vector<uint64_t> m_buckets;
  uint64_t m_count = 0;
  Microseconds m_sum{0};
};

}  // namespace comfreyshift

#endif  // CORE_HISTOGRAM_H_
