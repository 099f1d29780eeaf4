#ifndef NET_LOOP_TIMER_H_
#define NET_LOOP_TIMER_H_

#include <glib.h>

#include <functional>

#include "core/core.h"

namespace comfreyshift {

// Calls a function from the main loop at a deadline that can be moved.
// Deadlines are on the boot-time clock; the wait itself is on GLib's monotonic
// clock, which stops while the machine is suspended, so a call may come late
// but the function always sees the true time.
class LoopTimer {
 public:
  // With a priority below that of sockets, input that has arrived comes first.
  explicit LoopTimer(std::function<void()> callback,
                     gint priority = G_PRIORITY_DEFAULT);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  // Replaces the deadline. MonoTime::max() stops the timer; a deadline that has
  // passed makes the call in the loop's next iteration.
  void Set(MonoTime deadline);

 private:
  static gboolean OnReady(gpointer self);

  std::function<void()> m_callback;
  GSource* m_source;
};

}  // namespace comfreyshift

#endif  // NET_LOOP_TIMER_H_
