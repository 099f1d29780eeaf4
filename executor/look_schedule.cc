#include "executor/look_schedule.h"

#include <algorithm>

#include "jobs/jobs.h"

namespace comfreyshift {

namespace {

// A look waits this long for an end. The lease is renewed with each look.
constexpr Milliseconds kLookWait{60};
// A look without an answer this long after its wait is lost, or later if
// orders are answered slowly.
constexpr Milliseconds kLookGrace{40};
// Looks are at least this far apart, so that one look reports several ends.
constexpr Milliseconds kLookPause{2};
// After a look that failed.
constexpr Milliseconds kLookRetry{50};
// A runner whose lists could not be read for this long gets nothing new.
constexpr Milliseconds kUnreachableAfter{400};

}  // namespace

void LookSchedule::Reset(MonoTime now) {
  m_is_looking = false;
  m_clock = RunnerTime(0);
  m_next_look_at = now;
  m_last_list_at = now;
  m_lease_ends_at = now;
}

bool LookSchedule::IsDue(bool has_work, MonoTime now) const {
  const bool is_needed =
      has_work || now >= m_last_list_at + kUnreachableAfter / 2;
  return !m_is_looking && is_needed && now >= m_next_look_at;
}

MonoTime LookSchedule::NextLookAt(bool has_work) const {
  if (m_is_looking) {
    return MonoTime::max();
  }
  const MonoTime idle_look = m_last_list_at + kUnreachableAfter / 2;
  return has_work ? m_next_look_at : std::max(idle_look, m_next_look_at);
}

OrderLook LookSchedule::Begin(bool waits_for_end,
                              Microseconds order_timeout,
                              MonoTime now) {
  OrderLook look;
  look.m_answer_by = now + (waits_for_end ? kLookWait : Milliseconds(0));
  look.m_give_up_at =
      look.m_answer_by + std::max<Microseconds>(kLookGrace, order_timeout / 2);
  m_is_looking = true;
  m_sent_at = now;
  return look;
}

void LookSchedule::OnLists(RunnerTime clock, MonoTime now) {
  m_is_looking = false;
  m_clock = clock;
  m_clock_read_at = now;
  m_last_list_at = now;
  m_next_look_at = std::max(now, m_sent_at + kLookPause);
}

void LookSchedule::OnFailure(MonoTime now) {
  m_is_looking = false;
  m_next_look_at = now + kLookRetry;
}

bool LookSchedule::IsReachable(MonoTime now) const {
  return now < m_last_list_at + kUnreachableAfter;
}

RunnerTime LookSchedule::RunnerNow(MonoTime now) const {
  return m_clock +
         std::chrono::duration_cast<RunnerTime>(now - m_clock_read_at);
}

RunnerTime LookSchedule::GrantLease(MonoTime now) {
  m_lease_ends_at = std::max(m_lease_ends_at, now + kLease);
  return RunnerNow(now) + kLease;
}

std::optional<RunnerTime> LookSchedule::RenewLeases(MonoTime now) {
  if (m_clock <= RunnerTime(0) || !IsReachable(now)) {
    return std::nullopt;
  }
  m_lease_ends_at = now + kLease;
  return RunnerNow(now) + kLease;
}

bool LookSchedule::HaveLeasesEnded(MonoTime now) const {
  return now >= m_lease_ends_at + std::chrono::duration_cast<Microseconds>(
                                      kLease * (kRunnerClockError - 1.0));
}

}  // namespace comfreyshift
