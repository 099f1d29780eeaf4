#ifndef DISPATCH_TABLE_CHANGE_TRACKER_H_
#define DISPATCH_TABLE_CHANGE_TRACKER_H_

#include <deque>
#include <optional>

#include "core/core.h"

namespace comfreyshift {

// Tracks when table changes took effect: the time from which no process acts on
// an older table. A member that a change removed may have started tasks until
// that time, and not only until its departure was proposed.
class TableChangeTracker {
 public:
  // `freshness` is the maximum age of a freshness proof.
  explicit TableChangeTracker(Milliseconds freshness)
      : m_freshness(freshness) {}

  // Adds the table of `revision`, whose latest change was proposed at
  // `changed_at`. Both must not decrease from call to call.
  void OnTable(MonoTime now, Revision revision, WallTime changed_at);

  // A majority of the witnesses confirmed `revision` or a newer one.
  void OnConfirmed(MonoTime now, Revision revision);

  void Tick(MonoTime now, WallTime wall_now);
  MonoTime NextDeadline() const;

  // Returns a time at which the change proposed at `changed_at` had taken
  // effect, or nothing when it may not have taken effect yet. WallTime() stands
  // for no change and is returned as it is.
  std::optional<WallTime> EffectiveSince(WallTime changed_at) const;

 private:
  struct Change {
    Revision m_revision = 0;
    WallTime m_changed_at;
    std::optional<MonoTime> m_effective_at;
    std::optional<WallTime> m_effective_wall_time;
  };

  Milliseconds m_freshness;
  Revision m_confirmed = 0;
  std::deque<Change> m_changes;
};

}  // namespace comfreyshift

#endif  // DISPATCH_TABLE_CHANGE_TRACKER_H_
