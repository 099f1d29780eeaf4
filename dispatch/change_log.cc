#include "dispatch/change_log.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Without an older change, a newer one stands in for it, which is later.
constexpr size_t kMaxChanges = 512;

}  // namespace

void ChangeLog::OnTable(MonoTime now, Revision revision, WallTime changed_at) {
  Change change{revision, changed_at, {}, {}};
  if (revision <= m_confirmed) {
    change.m_in_force_at = now + m_freshness;
  }
  m_changes.push_back(change);
  if (m_changes.size() > kMaxChanges) {
    m_changes.pop_front();
  }
}

void ChangeLog::OnConfirmed(MonoTime now, Revision revision) {
  m_confirmed = std::max(m_confirmed, revision);
  for (Change& change : m_changes) {
    if (change.m_revision <= revision && !change.m_in_force_at) {
      change.m_in_force_at = now + m_freshness;
    }
  }
}

void ChangeLog::Tick(MonoTime now, WallTime wall_now) {
  for (Change& change : m_changes) {
    if (change.m_in_force_at && *change.m_in_force_at <= now &&
        !change.m_in_force_wall) {
      change.m_in_force_wall = wall_now;
    }
  }
}

MonoTime ChangeLog::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const Change& change : m_changes) {
    if (change.m_in_force_at && !change.m_in_force_wall) {
      next = std::min(next, *change.m_in_force_at);
    }
  }
  return next;
}

std::optional<WallTime> ChangeLog::InForce(WallTime changed_at) const {
  if (changed_at == WallTime()) {
    return WallTime();
  }
  for (const Change& change : m_changes) {
    if (change.m_changed_at >= changed_at && change.m_in_force_wall) {
      return std::max(changed_at, *change.m_in_force_wall);
    }
  }
  return std::nullopt;
}

}  // namespace comfreyshift
