#ifndef STORE_TIMER_H_
#define STORE_TIMER_H_

#include <glib.h>

#include <functional>

#include "core/core.h"

namespace comfreyshift {

// Runs a function once on the thread's default main context. Destroying the
// timer cancels it.
class Timer {
 public:
  Timer() = default;
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Replaces what was set before. A time that has passed runs in the next turn
  // of the loop.
  void Set(MonoTime when, std::function<void()> function);
  void Cancel();

 private:
  static gboolean OnDue(gpointer data);

  GSource* m_source = nullptr;
  std::function<void()> m_function;
};

}  // namespace comfreyshift

#endif  // STORE_TIMER_H_
