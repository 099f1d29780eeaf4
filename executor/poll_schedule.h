#ifndef EXECUTOR_POLL_SCHEDULE_H_
#define EXECUTOR_POLL_SCHEDULE_H_

#include <optional>

#include "core/core.h"
#include "executor/actions.h"

namespace comfreyshift {

// When an agent reads its runner's lists of runs, and what the times of these
// reads tell: whether the runner is reachable, what its clock shows, and until
// when it holds leases.
class PollSchedule {
 public:
  // Another life of the runner has begun.
  void Reset(MonoTime now);

  // Whether a look is to be sent now; `has_work` says that lists are needed for
  // more than to find out whether the runner is reachable.
  bool IsDue(bool has_work, MonoTime now) const;
  // When the next look is due, far in the future while one is under way.
  MonoTime NextPollAt(bool has_work) const;
  // Begins a look that waits for the end of a run if `waits_for_end` is set.
  // Returns an order with its times; `request_timeout` is that of other orders.
  OrderLook Begin(bool waits_for_end,
                  Microseconds request_timeout,
                  MonoTime now);
  // The look ended with lists, read at `clock` on the runner.
  void OnLists(RunnerTime clock, MonoTime now);
  // The look ended without lists that can be used.
  void OnFailure(MonoTime now);
  // Makes the next look due at once.
  void PollNow(MonoTime now) { m_next_poll_at = now; }
  // When the newest look was sent.
  MonoTime sent_at() const { return m_sent_at; }

  // Whether lists could be read lately. A runner whose lists could not gets
  // nothing new.
  bool IsReachable(MonoTime now) const;

  // Returns the end of a lease for a run that starts now.
  RunnerTime GrantLease(MonoTime now);
  // Returns the end to which a look renews the leases of all runs, or nothing
  // if they cannot be renewed.
  std::optional<RunnerTime> RenewLeases(MonoTime now);
  // Whether all leases have run out, whatever the error of the runner's clock.
  bool HaveLeasesExpired(MonoTime now) const;

 private:
  RunnerTime RunnerNow(MonoTime now) const;

  // The runner's clock, and when it was read.
  RunnerTime m_clock{0};
  MonoTime m_clock_read_at;
  bool m_is_polling = false;
  MonoTime m_sent_at;
  MonoTime m_next_poll_at;
  MonoTime m_last_list_at;
  // The runner kills everything by then, as far as renewals were sent.
  MonoTime m_lease_expires_at;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_POLL_SCHEDULE_H_
