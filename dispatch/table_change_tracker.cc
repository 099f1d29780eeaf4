#include "dispatch/table_change_tracker.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// The oldest changes above this number are removed. A newer change then gives
// their effective time, which is later and therefore still safe.
constexpr size_t kMaxChanges = 512;

}  // namespace

void TableChangeTracker::OnTable(MonoTime now,
                                 Revision revision,
                                 WallTime changed_at) {
  Change change{revision, changed_at, {}, {}};
  if (revision <= m_confirmed) {
    change.m_effective_at = now + m_freshness;
  }
  m_changes.push_back(change);
  if (m_changes.size() > kMaxChanges) {
    m_changes.pop_front();
  }
}

void TableChangeTracker::OnConfirmed(MonoTime now, Revision revision) {
  m_confirmed = std::max(m_confirmed, revision);
  for (Change& change : m_changes) {
    if (change.m_revision <= revision && !change.m_effective_at) {
      change.m_effective_at = now + m_freshness;
    }
  }
}

void TableChangeTracker::Tick(MonoTime now, WallTime wall_now) {
  for (Change& change : m_changes) {
    if (change.m_effective_at && *change.m_effective_at <= now &&
        !change.m_effective_wall_time) {
      change.m_effective_wall_time = wall_now;
    }
  }
}

MonoTime TableChangeTracker::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const Change& change : m_changes) {
    if (change.m_effective_at && !change.m_effective_wall_time) {
      next = std::min(next, *change.m_effective_at);
    }
  }
  return next;
}

std::optional<WallTime> TableChangeTracker::EffectiveSince(
    WallTime changed_at) const {
  if (changed_at == WallTime()) {
    return WallTime();
  }
  for (const Change& change : m_changes) {
    if (change.m_changed_at >= changed_at && change.m_effective_wall_time) {
      return std::max(changed_at, *change.m_effective_wall_time);
    }
  }
  return std::nullopt;
}

}  // namespace comfreyshift
