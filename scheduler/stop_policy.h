#ifndef SCHEDULER_STOP_POLICY_H_
#define SCHEDULER_STOP_POLICY_H_

#include "core/core.h"

namespace comfreyshift {

// What is known of a job when a process that stops decides whether to take it.
struct StoppingJob {
  // When the client stops waiting.
  MonoTime m_give_up_at;
  // Expected time from its first start to its end.
  Microseconds m_expected{0};
  // Factor by which the run time may well be longer than expected.
  double m_margin = 1.0;
};

// Whether a job that could start at `now` is answered before a process that
// ends at `ends_at` is gone: because its client waits no longer than that, or
// because it is expected to end early enough even if its estimate is too short.
bool CanBeAnswered(const StoppingJob& job, MonoTime ends_at, MonoTime now);

}  // namespace comfreyshift

#endif  // SCHEDULER_STOP_POLICY_H_
