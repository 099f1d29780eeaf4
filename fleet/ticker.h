#ifndef FLEET_TICKER_H_
#define FLEET_TICKER_H_

#include <glib.h>

#include <functional>

#include "core/core.h"

namespace comfreyshift {

// Calls a function once after input has arrived and whenever a deadline is due,
// never from within Wake.
class Ticker {
 public:
  // `tick` returns when it must be called next.
  explicit Ticker(std::function<MonoTime(MonoTime now)> tick);
  ~Ticker();
  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

  // Input has arrived: calls once in this turn of the main loop.
  void Wake();

 private:
  static gboolean OnWake(gpointer self);
  static gboolean OnTimer(gpointer self);
  void Run();

  std::function<MonoTime(MonoTime)> m_tick;
  guint m_wake_source = 0;
  guint m_timer_source = 0;
};

}  // namespace comfreyshift

#endif  // FLEET_TICKER_H_
