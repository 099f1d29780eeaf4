#ifndef FLEET_TICKER_H_
#define FLEET_TICKER_H_

#include <functional>
#include <memory>

#include "core/core.h"
#include "net/net.h"

namespace comfreyshift {

// Calls a function from the main loop when a deadline is due and after Wake.
// The function is never called from within Wake, and many wakes are combined
// into one call.
class Ticker {
 public:
  // `tick` returns the time at which it must be called next.
  explicit Ticker(std::function<MonoTime(MonoTime now)> tick);
  ~Ticker();
  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

  // Requests a call once the input of this main loop iteration has been
  // processed.
  void Wake();

 private:
  void Run();

  std::function<MonoTime(MonoTime)> m_tick;
  LoopTimer m_timer;
  // Whether Wake has been called since the start of the last tick.
  bool m_is_tick_pending = false;
  bool m_is_ticking = false;
  // Set to false by the destructor, so that a pending call does nothing.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace comfreyshift

#endif  // FLEET_TICKER_H_
