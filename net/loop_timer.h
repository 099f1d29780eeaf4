#ifndef NET_LOOP_TIMER_H_
#define NET_LOOP_TIMER_H_

#include <glib.h>

#include <cstdint>
#include <functional>

#include "core/core.h"

namespace comfreyshift {

// Calls a function from the main loop at a deadline that can be moved.
// Deadlines are on the boot-time clock; the wait itself is on GLib's monotonic
// clock, which stops while the machine is suspended, so a call may come late
// but the function always sees the true time.
class LoopTimer {
 public:
  enum class Order : uint8_t {
    // In the same turn as input that has arrived.
    kWithInput,
    // After all input that has arrived, so that a process that could not run
    // reads what it was sent before it acts on a deadline. While input keeps
    // coming the call is made 100 ms after the deadline was noticed.
    kAfterInput,
  };

  // `context` is the main loop's, null for the default one.
  explicit LoopTimer(std::function<void()> callback,
                     Order order = Order::kWithInput,
                     GMainContext* context = nullptr);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  // Replaces the deadline. MonoTime::max() stops the timer; a deadline that has
  // passed makes the call in the loop's next iteration.
  void Set(MonoTime deadline);

 private:
  static gboolean OnReady(gpointer self);
  static gboolean OnDeadline(gpointer self);

  GSource* AddSource(gint priority,
                     GSourceFunc on_ready,
                     GMainContext* context);
  void SetReadyTimes(gint64 time);
  void Call();

  std::function<void()> m_callback;
  GSource* m_source;
  // Of the priority of sockets; null with kWithInput. Ready at the deadline,
  // and again when the call can wait no longer.
  GSource* m_limit_source = nullptr;
  bool m_is_deadline_noticed = false;
};

}  // namespace comfreyshift

#endif  // NET_LOOP_TIMER_H_
