#include "fleet/ticker.h"

#include <algorithm>
#include <utility>

#include "net/net.h"

namespace comfreyshift {

namespace {

// A deadline that a bug leaves in the past must not occupy the processor.
constexpr Milliseconds kMinDelay{1};
constexpr Milliseconds kMaxDelay{1000};

}  // namespace

Ticker::Ticker(std::function<MonoTime(MonoTime)> tick)
    : m_tick(std::move(tick)) {
  static GSourceFuncs functions = {nullptr, nullptr, &Ticker::OnReady,
                                   nullptr, nullptr, nullptr};
  m_source = g_source_new(&functions, sizeof(GSource));
  // Below the priority of sockets: input that has arrived comes first.
  g_source_set_priority(m_source, G_PRIORITY_DEFAULT + 10);
  g_source_set_callback(m_source, &Ticker::OnDue, this, nullptr);
  g_source_attach(m_source, nullptr);
  Wake();
}

Ticker::~Ticker() {
  *m_is_alive = false;
  g_source_destroy(m_source);
  g_source_unref(m_source);
}

void Ticker::Wake() {
  if (std::exchange(m_is_woken, true) || m_is_ticking) {
    return;
  }
  SocketPoller::Default().CallAfterInput([this, is_alive = m_is_alive]() {
    if (*is_alive) {
      Run();
    }
  });
}

gboolean Ticker::OnReady(GSource*, GSourceFunc callback, gpointer data) {
  return callback(data);
}

gboolean Ticker::OnDue(gpointer self) {
  static_cast<Ticker*>(self)->Run();
  return G_SOURCE_CONTINUE;
}

void Ticker::Run() {
  m_is_woken = false;
  m_is_ticking = true;
  const MonoTime next = m_tick(BootClock::now());
  m_is_ticking = false;
  // Woken during the tick: other sources of the loop get their turn first.
  if (m_is_woken) {
    g_source_set_ready_time(m_source, 0);
    return;
  }
  const auto delay =
      std::clamp<Microseconds>(next - BootClock::now(), kMinDelay, kMaxDelay);
  g_source_set_ready_time(m_source, g_get_monotonic_time() + delay.count());
}

}  // namespace comfreyshift
