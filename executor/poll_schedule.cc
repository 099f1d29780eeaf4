#include "executor/poll_schedule.h"

#include <algorithm>

#include "jobs/jobs.h"

namespace comfreyshift {

namespace {

// How long a poll waits for the end of a run. Each poll also renews the lease.
constexpr Milliseconds kPollWait{60};
// A poll counts as lost if there is no response this long after its wait, or
// later if the runner responds slowly to other requests.
constexpr Milliseconds kPollGrace{40};
// Wait of a poll after a recent loss of requests. A lost poll hides the ends of
// runs until the next one.
constexpr Milliseconds kPollWaitAfterLoss{10};
// A poll is overdue if it has no response this long after its wait; the second
// delay is the one after a recent loss of requests.
constexpr Milliseconds kOverdueDelay{15};
constexpr Milliseconds kOverdueDelayAfterLoss{5};
// Polls that may be under way at a time.
constexpr size_t kMaxPollsInFlight = 3;
// Minimum interval between polls, so that one poll reports several ends.
constexpr Milliseconds kMinPollInterval{2};
// Delay of the next poll after one that was rejected, or after one without a
// response if the runner cannot be reached.
constexpr Milliseconds kPollRetryDelay{50};
// A runner whose lists could not be read for this long gets no new runs.
constexpr Milliseconds kUnreachableTimeout{400};

}  // namespace

void PollSchedule::Reset(MonoTime now) {
  m_polls_in_flight = 0;
  m_has_failed = false;
  m_lists_sent_at = MonoTime();
  m_clock = RunnerTime(0);
  m_next_poll_at = now;
  m_last_list_at = now;
  m_lease_expires_at = now;
}

bool PollSchedule::IsDue(bool has_work, MonoTime now) const {
  return now >= NextPollAt(has_work);
}

MonoTime PollSchedule::NextPollAt(bool has_work) const {
  if (m_polls_in_flight >= kMaxPollsInFlight) {
    return MonoTime::max();
  }
  const MonoTime idle_poll = m_last_list_at + kUnreachableTimeout / 2;
  return has_work ? m_next_poll_at : std::max(idle_poll, m_next_poll_at);
}

PollRequest PollSchedule::Begin(bool waits_for_end,
                                Microseconds request_timeout,
                                bool is_loss_recent,
                                MonoTime now) {
  const Milliseconds wait = is_loss_recent ? kPollWaitAfterLoss : kPollWait;
  PollRequest poll;
  poll.m_sent_at = now;
  poll.m_answer_by = now + (waits_for_end ? wait : Milliseconds(0));
  poll.m_give_up_at = poll.m_answer_by +
                      std::max<Microseconds>(kPollGrace, request_timeout / 2);
  ++m_polls_in_flight;
  m_sent_at = now;
  m_overdue_at = poll.m_answer_by +
                 (is_loss_recent ? kOverdueDelayAfterLoss : kOverdueDelay);
  m_next_poll_at = IsReachable(now) ? m_overdue_at : MonoTime::max();
  return poll;
}

bool PollSchedule::OnLists(MonoTime sent_at, RunnerTime clock, MonoTime now) {
  m_polls_in_flight -= std::min<size_t>(m_polls_in_flight, 1);
  if (sent_at < m_lists_sent_at) {
    return false;
  }
  m_lists_sent_at = sent_at;
  m_has_failed = false;
  m_clock = clock;
  m_clock_read_at = now;
  m_last_list_at = now;
  if (sent_at == m_sent_at) {
    m_next_poll_at = std::max(now, sent_at + kMinPollInterval);
  }
  return true;
}

bool PollSchedule::OnFailure(MonoTime sent_at,
                             PollFailure failure,
                             MonoTime now) {
  m_polls_in_flight -= std::min<size_t>(m_polls_in_flight, 1);
  if (sent_at != m_sent_at) {
    return failure == PollFailure::kNoResponse;
  }
  m_has_failed = true;
  // A lost poll is repeated at once: runs may have ended meanwhile.
  const bool is_lost = failure == PollFailure::kNoResponse &&
                       now >= m_overdue_at && IsReachable(now);
  m_next_poll_at = is_lost ? std::max(now, sent_at + kMinPollInterval)
                           : now + kPollRetryDelay;
  return is_lost;
}

bool PollSchedule::IsReachable(MonoTime now) const {
  return now < m_last_list_at + kUnreachableTimeout;
}

RunnerTime PollSchedule::EarliestRunnerNow(MonoTime now) const {
  return m_clock + std::chrono::duration_cast<RunnerTime>(
                       (now - m_clock_read_at) / kRunnerClockDriftFactor);
}

RunnerTime PollSchedule::GrantLease(MonoTime now) {
  ExtendLeases(kLeaseDuration, now);
  return EarliestRunnerNow(now) + kLeaseDuration;
}

std::optional<RunnerTime> PollSchedule::RenewLeases(MonoTime now) {
  if (m_clock <= RunnerTime(0) || !IsReachable(now)) {
    return std::nullopt;
  }
  ExtendLeases(kLeaseDuration, now);
  return EarliestRunnerNow(now) + kLeaseDuration;
}

void PollSchedule::ExtendLeases(Milliseconds lease, MonoTime now) {
  m_lease_expires_at = std::max(m_lease_expires_at,
                                now + std::chrono::duration_cast<Microseconds>(
                                          lease * kRunnerClockDriftFactor));
}

bool PollSchedule::HaveLeasesExpired(MonoTime now) const {
  return now >= m_lease_expires_at + kMaxStopTime;
}

}  // namespace comfreyshift
