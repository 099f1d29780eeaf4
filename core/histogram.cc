#include "core/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace comfreyshift {

namespace {

constexpr int kSubBits = 6;
constexpr uint64_t kSubBuckets = uint64_t{1} << kSubBits;
constexpr int kMaxBits = 40;

size_t BucketOf(uint64_t value) {
  value = std::min(value, (uint64_t{1} << kMaxBits) - 1);
  if (value < kSubBuckets) {
    return value;
  }
  const int shift = std::bit_width(value) - 1 - kSubBits;
  return static_cast<size_t>(shift + 1) * kSubBuckets +
         ((value >> shift) - kSubBuckets);
}

uint64_t UpperBound(size_t bucket) {
  if (bucket < kSubBuckets) {
    return bucket;
  }
  const size_t shift = bucket / kSubBuckets - 1;
  const uint64_t base = kSubBuckets + bucket % kSubBuckets;
  return ((base + 1) << shift) - 1;
}

}  // namespace

Histogram::Histogram() : m_buckets((kMaxBits - kSubBits + 1) * kSubBuckets) {}

void Histogram::Record(Microseconds value) {
  const Microseconds counted = std::max(value, Microseconds(0));
  ++m_buckets[BucketOf(static_cast<uint64_t>(counted.count()))];
  ++m_count;
  m_sum += counted;
}

void Histogram::Merge(const Histogram& other) {
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    m_buckets[i] += other.m_buckets[i];
  }
  m_count += other.m_count;
  m_sum += other.m_sum;
}

Microseconds Histogram::Quantile(double quantile) const {
  if (m_count == 0) {
    return Microseconds(0);
  }
  const auto rank = std::max<uint64_t>(
      1, static_cast<uint64_t>(std::ceil(quantile * m_count)));
  uint64_t seen = 0;
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    seen += m_buckets[i];
    if (seen >= rank) {
      return Microseconds(UpperBound(i));
    }
  }
  return Microseconds(UpperBound(m_buckets.size() - 1));
}

Microseconds Histogram::Mean() const {
  return m_count == 0 ? Microseconds(0) : m_sum / static_cast<int64_t>(m_count);
}

}  // namespace comfreyshift
