#ifndef FLEET_TICKER_H_
#define FLEET_TICKER_H_

#include <functional>
#include <memory>

#include "core/core.h"
#include "net/net.h"

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
  void Run();

  std::function<MonoTime(MonoTime)> m_tick;
  LoopTimer m_timer;
  // A tick is due.
  bool m_is_woken = false;
  bool m_is_ticking = false;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace comfreyshift

#endif  // FLEET_TICKER_H_
