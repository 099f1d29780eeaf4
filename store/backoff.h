#ifndef STORE_BACKOFF_H_
#define STORE_BACKOFF_H_

#include <cstdint>
#include <random>

#include "core/core.h"

namespace comfreyshift {

struct BackoffSettings {
  // Longest wait before the first repetition; it doubles with each further one.
  Milliseconds m_first{50};
  Milliseconds m_longest{2000};
};

// Times of repeated attempts: exponential with jitter, so that processes that
// failed together do not return together.
class Backoff {
 public:
  Backoff(const BackoffSettings& settings, uint64_t seed);

  // Returns when to try again after a failure at `now`: a random part between
  // one half and all of the current wait later.
  MonoTime Next(MonoTime now);
  void Reset() { m_failures = 0; }

 private:
  BackoffSettings m_settings;
  std::minstd_rand m_random;
  int m_failures = 0;
};

}  // namespace comfreyshift

#endif  // STORE_BACKOFF_H_
