#include "scheduler/stop_policy.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Clients' estimates are rough. A job that is refused is served by another
// process, so that a generous factor costs little.
constexpr double kMinMargin = 1.5;

}  // namespace

bool CanBeAnswered(const StoppingJob& job, MonoTime ends_at, MonoTime now) {
  if (job.m_give_up_at <= ends_at) {
    return true;
  }
  const double needed_us = static_cast<double>(job.m_expected.count()) *
                           std::max(job.m_margin, kMinMargin);
  return needed_us <= static_cast<double>((ends_at - now).count());
}

}  // namespace comfreyshift
