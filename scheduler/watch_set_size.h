#ifndef SCHEDULER_WATCH_SET_SIZE_H_
#define SCHEDULER_WATCH_SET_SIZE_H_

#include <cstddef>

#include "core/core.h"

namespace comfreyshift {

// How many agents an entry follows closely. Statuses and claims cost both sides
// processor time, so it follows a few, and more while these have too little
// room.
class WatchSetSize {
 public:
  // A task found no room.
  void OnShortage(MonoTime now);
  // Call now and then: fewer are enough some time after the last shortage.
  void MaybeShrink(MonoTime now);
  // At most `agents`.
  size_t Of(size_t agents) const;

 private:
  size_t m_size = kMinSize;
  MonoTime m_grow_at;
  MonoTime m_shrink_at;

  // A choice among these meets the same runner as another entry's seldom, and
  // their statuses cost an entry of a tenth of a core a few percent of it.
  static constexpr size_t kMinSize = 16;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_WATCH_SET_SIZE_H_
