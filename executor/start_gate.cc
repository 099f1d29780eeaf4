#include "executor/start_gate.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// A runner that is down, or closes its connections after each response, would
// otherwise be checked without a pause.
constexpr Milliseconds kMinCheckInterval{25};

}  // namespace

void StartGate::OnConnectionLost(MonoTime now) {
  m_lost_at = now;
  const bool was_open = std::exchange(m_is_open, false);
  if (was_open && !m_is_checking) {
    ScheduleCheck(now);
  }
}

void StartGate::OnCheckSent(MonoTime now) {
  m_is_checking = true;
  m_check_sent_at = now;
  m_next_check_at = MonoTime::max();
}

void StartGate::OnCheckAnswered(MonoTime now) {
  m_is_checking = false;
  OnLists(m_check_sent_at);
  if (!m_is_open) {
    // A connection ended while the check was under way.
    ScheduleCheck(now);
  }
}

void StartGate::OnCheckFailed(MonoTime now) {
  m_is_checking = false;
  if (!m_is_open) {
    ScheduleCheck(now);
  }
}

void StartGate::ScheduleCheck(MonoTime now) {
  m_next_check_at = std::max(now, m_check_sent_at + kMinCheckInterval);
}

void StartGate::OnLists(MonoTime sent_at) {
  if (!m_is_open && sent_at > m_lost_at) {
    m_is_open = true;
    m_next_check_at = MonoTime::max();
  }
}

}  // namespace comfreyshift
