#include "fleet/ticker.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// A deadline that a bug leaves in the past must not occupy the processor.
constexpr Milliseconds kMinDelay{1};
constexpr Milliseconds kMaxDelay{1000};

}  // namespace

Ticker::Ticker(std::function<MonoTime(MonoTime)> tick)
    : m_tick(std::move(tick)) {
  Wake();
}

Ticker::~Ticker() {
  for (const guint source : {m_wake_source, m_timer_source}) {
    if (source != 0) {
      g_source_remove(source);
    }
  }
}

void Ticker::Wake() {
  if (m_wake_source == 0) {
    // Below the priority of sockets: all input of a turn is taken in first.
    m_wake_source = g_idle_add_full(G_PRIORITY_DEFAULT + 10, &Ticker::OnWake,
                                    this, nullptr);
  }
}

gboolean Ticker::OnWake(gpointer self) {
  auto* ticker = static_cast<Ticker*>(self);
  ticker->m_wake_source = 0;
  ticker->Run();
  return G_SOURCE_REMOVE;
}

gboolean Ticker::OnTimer(gpointer self) {
  auto* ticker = static_cast<Ticker*>(self);
  ticker->m_timer_source = 0;
  ticker->Run();
  return G_SOURCE_REMOVE;
}

void Ticker::Run() {
  const MonoTime now = BootClock::now();
  const MonoTime next = m_tick(now);
  if (m_timer_source != 0) {
    g_source_remove(std::exchange(m_timer_source, 0));
  }
  const auto delay =
      std::clamp(std::chrono::ceil<Milliseconds>(next - BootClock::now()),
                 kMinDelay, kMaxDelay);
  m_timer_source =
      g_timeout_add(static_cast<guint>(delay.count()), &Ticker::OnTimer, this);
}

}  // namespace comfreyshift
