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
// The same two after a recent loss of requests.
constexpr Milliseconds kPollWaitAfterLoss{10};
constexpr Milliseconds kPollGraceAfterLoss{5};
// Minimum interval between polls, so that one poll reports several ends.
constexpr Milliseconds kMinPollInterval{2};
// Delay of the next poll after one that was rejected, or after one without a
// response if the runner cannot be reached.
constexpr Milliseconds kPollRetryDelay{50};
// A runner whose lists could not be read for this long gets no new runs.
constexpr Milliseconds kUnreachableTimeout{400};

}  // namespace

void PollSchedule::Reset(MonoTime now) {
  m_is_polling = false;
  m_has_failed = false;
  m_clock = RunnerTime(0);
  m_next_poll_at = now;
  m_last_list_at = now;
  m_lease_expires_at = now;
}

bool PollSchedule::IsDue(bool has_work, MonoTime now) const {
  const bool is_needed =
      has_work || now >= m_last_list_at + kUnreachableTimeout / 2;
  return !m_is_polling && is_needed && now >= m_next_poll_at;
}

MonoTime PollSchedule::NextPollAt(bool has_work) const {
  if (m_is_polling) {
    return MonoTime::max();
  }
  const MonoTime idle_poll = m_last_list_at + kUnreachableTimeout / 2;
  return has_work ? m_next_poll_at : std::max(idle_poll, m_next_poll_at);
}

PollRequest PollSchedule::Begin(bool waits_for_end,
                                Microseconds request_timeout,
                                bool is_loss_recent,
                                MonoTime now) {
  const bool is_short = is_loss_recent && IsReachable(now);
  const Milliseconds wait = is_short ? kPollWaitAfterLoss : kPollWait;
  const Microseconds grace =
      is_short
          ? std::max<Microseconds>(kPollGraceAfterLoss, request_timeout / 8)
          : std::max<Microseconds>(kPollGrace, request_timeout / 2);
  PollRequest poll;
  poll.m_answer_by = now + (waits_for_end ? wait : Milliseconds(0));
  poll.m_give_up_at = poll.m_answer_by + grace;
  m_is_polling = true;
  m_sent_at = now;
  return poll;
}

void PollSchedule::OnLists(RunnerTime clock, MonoTime now) {
  m_is_polling = false;
  m_has_failed = false;
  m_clock = clock;
  m_clock_read_at = now;
  m_last_list_at = now;
  m_next_poll_at = std::max(now, m_sent_at + kMinPollInterval);
}

// A lost poll is repeated at once: runs may have ended meanwhile.
void PollSchedule::OnFailure(PollFailure failure, MonoTime now) {
  m_is_polling = false;
  m_has_failed = true;
  const bool is_lost = failure == PollFailure::kNoResponse && IsReachable(now);
  m_next_poll_at = is_lost ? std::max(now, m_sent_at + kMinPollInterval)
                           : now + kPollRetryDelay;
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
