#ifndef NET_LOOP_PAUSES_H_
#define NET_LOOP_PAUSES_H_

#include <glib.h>

#include <deque>

#include "core/core.h"

namespace comfreyshift {

// Measures for how long the default main loop was away from its sockets: from
// the end of one wait for events to the begin of the next. A stopped process
// counts as away. Remembers the longer pauses of the last seconds.
class LoopPauses {
 public:
  LoopPauses();
  ~LoopPauses();
  LoopPauses(const LoopPauses&) = delete;
  LoopPauses& operator=(const LoopPauses&) = delete;

  // Returns the longest pause that ended after `time`, or the one in progress
  // if that is longer. Zero if all were short.
  Microseconds LongestSince(MonoTime time) const;

 private:
  struct Pause {
    MonoTime m_ended_at;
    Microseconds m_length;
  };
  struct Source {
    GSource m_base;
    LoopPauses* m_owner;
  };

  // GLib calls the first before each wait for events, the second after it.
  static gboolean OnBeforeWait(GSource* source, gint* timeout);
  static gboolean OnAfterWait(GSource* source);
  static gboolean OnDispatch(GSource* source, GSourceFunc, gpointer);

  void EndPause(MonoTime now);

  GSource* m_source;
  MonoTime m_began_at;
  std::deque<Pause> m_pauses;
};

}  // namespace comfreyshift

#endif  // NET_LOOP_PAUSES_H_
