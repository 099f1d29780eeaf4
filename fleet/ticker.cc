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
  static GSourceFuncs functions = {nullptr, nullptr, &Ticker::OnReady,
                                   nullptr, nullptr, nullptr};
  m_source = g_source_new(&functions, sizeof(GSource));
  // Below the priority of sockets: all input of a turn is taken in first.
  g_source_set_priority(m_source, G_PRIORITY_DEFAULT + 10);
  g_source_set_callback(m_source, &Ticker::OnDue, this, nullptr);
  g_source_attach(m_source, nullptr);
  Wake();
}

Ticker::~Ticker() {
  g_source_destroy(m_source);
  g_source_unref(m_source);
}

void Ticker::Wake() {
  g_source_set_ready_time(m_source, 0);
}

gboolean Ticker::OnReady(GSource*, GSourceFunc callback, gpointer data) {
  return callback(data);
}

gboolean Ticker::OnDue(gpointer self) {
  static_cast<Ticker*>(self)->Run();
  return G_SOURCE_CONTINUE;
}

void Ticker::Run() {
  // A call of Wake during the tick must not be lost.
  g_source_set_ready_time(m_source, -1);
  const MonoTime next = m_tick(BootClock::now());
  if (g_source_get_ready_time(m_source) == 0) {
    return;
  }
  const auto delay =
      std::clamp<Microseconds>(next - BootClock::now(), kMinDelay, kMaxDelay);
  g_source_set_ready_time(m_source, g_get_monotonic_time() + delay.count());
}

}  // namespace comfreyshift
