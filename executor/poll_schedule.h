#ifndef EXECUTOR_POLL_SCHEDULE_H_
#define EXECUTOR_POLL_SCHEDULE_H_

#include <algorithm>
#include <optional>

#include "core/core.h"
#include "executor/actions.h"
#include "executor/runner_observation.h"

namespace comfreyshift {

// Schedules the polls of a runner's lists of runs, and derives from them
// whether the runner is reachable, what its clock shows, and until when it
// holds leases.
class PollSchedule {
 public:
  // Starts anew for another incarnation of the runner.
  void Reset(MonoTime now);

  // Whether a poll is to be sent now. `has_work` says whether lists are needed
  // for more than the reachability of the runner.
  bool IsDue(bool has_work, MonoTime now) const;
  // Returns when the next poll is due.
  MonoTime NextPollAt(bool has_work) const;
  // Begins a poll. The runner holds its response until a run ends if
  // `waits_for_end` is set. Returns a request with its times filled in;
  // `request_timeout` is the timeout of other requests. After a recent loss of
  // requests the poll is short. If it is overdue another one is sent, and the
  // first response is used.
  PollRequest Begin(bool waits_for_end,
                    Microseconds request_timeout,
                    bool is_loss_recent,
                    MonoTime now);
  // A poll returned lists, read when the runner's clock showed `clock`. Returns
  // false if those of a later poll have arrived before.
  bool OnLists(MonoTime sent_at, RunnerTime clock, MonoTime now);
  // A poll returned no usable lists. Returns whether it was lost: a refused or
  // broken connection shows that the runner is down instead.
  bool OnFailure(MonoTime sent_at, PollFailure failure, MonoTime now);
  // Makes the next poll due at once.
  void PollNow(MonoTime now) { m_next_poll_at = now; }
  // Whether the lists of an earlier poll are missing, so that the runner may
  // have restarted since those before.
  bool misses_lists() const { return m_has_failed || m_polls_in_flight > 0; }
  // When the poll that returned the newest lists was sent.
  MonoTime lists_sent_at() const { return m_lists_sent_at; }

  // Whether lists were read recently. A runner that cannot be reached gets no
  // new runs.
  bool IsReachable(MonoTime now) const;

  // Returns the end of a lease for a run that starts now.
  RunnerTime GrantLease(MonoTime now);
  // Returns the end to which a poll renews the leases of all runs, or nothing
  // if they cannot be renewed.
  std::optional<RunnerTime> RenewLeases(MonoTime now);
  // The runner may hold a lease of this length from `now` on. No later request
  // makes it shorter.
  void ExtendLeases(Milliseconds lease, MonoTime now);
  // Whether all leases have expired and what they covered has been killed.
  bool HaveLeasesExpired(MonoTime now) const;

 private:
  // What the runner's clock shows, or an earlier time if it is slow. A lease
  // that is computed from it never lasts longer than intended.
  RunnerTime EarliestRunnerNow(MonoTime now) const;

  // The runner's clock in the newest lists, and when they arrived.
  RunnerTime m_clock{0};
  MonoTime m_clock_read_at;
  size_t m_polls_in_flight = 0;
  // Whether the newest poll returned no usable lists.
  bool m_has_failed = false;
  // When the newest poll was sent, and when its response is overdue.
  MonoTime m_sent_at;
  MonoTime m_overdue_at;
  MonoTime m_lists_sent_at;
  MonoTime m_next_poll_at;
  MonoTime m_last_list_at;
  // The runner has killed all runs by this time, even if its clock is slow by
  // kRunnerClockDriftFactor, unless a later renewal is sent.
  MonoTime m_lease_expires_at;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_POLL_SCHEDULE_H_
