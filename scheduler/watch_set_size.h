#ifndef SCHEDULER_WATCH_SET_SIZE_H_
#define SCHEDULER_WATCH_SET_SIZE_H_

#include <cstddef>

#include "core/core.h"

namespace comfreyshift {

// The number of agents in an entry's watch set, which send it frequent
// statuses. Statuses and heartbeats cost both sides CPU time, so the set is
// small, and grows while its agents have too little free capacity.
class WatchSetSize {
 public:
  // No agent had the capacity for a task.
  void OnShortage(MonoTime now);
  // Shrinks the set a step at a time once no shortage has occurred for a while.
  // Call it regularly.
  void MaybeShrink(MonoTime now);
  // Returns the size of the watch set for a fleet of `agents` agents, at most
  // `agents`.
  size_t SizeFor(size_t agents) const;

 private:
  size_t m_size = kMinSize;
  MonoTime m_grow_at;
  MonoTime m_shrink_at;

  // With this many agents to choose from, entries seldom choose the same
  // runner, and the statuses cost an entry with a tenth of a core a few percent
  // of it.
  static constexpr size_t kMinSize = 16;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_WATCH_SET_SIZE_H_
