#include "fleet/ticker.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// Prevents a busy loop if a bug leaves a deadline in the past.
constexpr Milliseconds kMinDelay{1};
constexpr Milliseconds kMaxDelay{1000};

}  // namespace

Ticker::Ticker(std::function<MonoTime(MonoTime)> tick)
    : m_tick(std::move(tick)),
      m_timer([this]() { Run(); }, LoopTimer::Order::kAfterInput) {
  Wake();
}

Ticker::~Ticker() {
  *m_is_alive = false;
}

void Ticker::Wake() {
  if (std::exchange(m_is_tick_pending, true) || m_is_ticking) {
    return;
  }
  SocketPoller::Default().CallAfterInput([this, is_alive = m_is_alive]() {
    if (*is_alive) {
      Run();
    }
  });
}

void Ticker::Run() {
  m_is_tick_pending = false;
  m_is_ticking = true;
  const MonoTime next = m_tick(BootClock::now());
  m_is_ticking = false;
  // Wake was called during the tick. The next one comes after the input of the
  // next turn.
  if (std::exchange(m_is_tick_pending, false)) {
    Wake();
    return;
  }
  const MonoTime now = BootClock::now();
  m_timer.Set(std::clamp(next, now + kMinDelay, now + kMaxDelay));
}

}  // namespace comfreyshift
