#ifndef DISPATCH_CHANGE_LOG_H_
#define DISPATCH_CHANGE_LOG_H_

#include <deque>
#include <optional>

#include "core/core.h"

namespace comfreyshift {

// Remembers when table changes came into force: from then on no process acts on
// an older table. A member that a change removed may have started tasks until
// then, and not only until its departure.
class ChangeLog {
 public:
  // `freshness` is the longest age of a proof of freshness.
  explicit ChangeLog(Milliseconds freshness) : m_freshness(freshness) {}

  // Notes that `revision` holds a table whose latest change was proposed at
  // `changed_at`. Revisions rise, and so do the times.
  void OnTable(MonoTime now, Revision revision, WallTime changed_at);

  // More than half of the witnesses confirmed `revision` or a newer one.
  void OnConfirmed(MonoTime now, Revision revision);

  void Tick(MonoTime now, WallTime wall_now);
  MonoTime NextDeadline() const;

  // Returns a time at which the change proposed at `changed_at` was in force,
  // or nothing when it may not be in force yet. No change gives no time.
  std::optional<WallTime> InForce(WallTime changed_at) const;

 private:
  struct Change {
    Revision m_revision = 0;
    WallTime m_changed_at;
    std::optional<MonoTime> m_in_force_at;
    std::optional<WallTime> m_in_force_wall;
  };

  Milliseconds m_freshness;
  Revision m_confirmed = 0;
  std::deque<Change> m_changes;
};

}  // namespace comfreyshift

#endif  // DISPATCH_CHANGE_LOG_H_
