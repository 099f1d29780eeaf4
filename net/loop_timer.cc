#include "net/loop_timer.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

gboolean DispatchCallback(GSource* /*source*/,
                          GSourceFunc callback,
                          gpointer data) {
  return callback(data);
}

GSourceFuncs g_timer_functions = {nullptr, nullptr, &DispatchCallback,
                                  nullptr, nullptr, nullptr};

constexpr gint64 kNever = -1;

}  // namespace

LoopTimer::LoopTimer(std::function<void()> callback, gint priority)
    : m_callback(std::move(callback)),
      m_source(g_source_new(&g_timer_functions, sizeof(GSource))) {
  g_source_set_priority(m_source, priority);
  g_source_set_callback(m_source, &LoopTimer::OnReady, this, nullptr);
  g_source_attach(m_source, nullptr);
}

LoopTimer::~LoopTimer() {
  g_source_destroy(m_source);
  g_source_unref(m_source);
}

void LoopTimer::Set(MonoTime deadline) {
  if (deadline == MonoTime::max()) {
    g_source_set_ready_time(m_source, kNever);
    return;
  }
  const auto left =
      std::max(MonoTime::duration(0), deadline - BootClock::now());
  g_source_set_ready_time(
      m_source, left.count() == 0 ? 0 : g_get_monotonic_time() + left.count());
}

gboolean LoopTimer::OnReady(gpointer self) {
  auto* timer = static_cast<LoopTimer*>(self);
  g_source_set_ready_time(timer->m_source, kNever);
  // The callback may destroy the timer, and with it the function itself.
  const auto callback = timer->m_callback;
  callback();
  return G_SOURCE_CONTINUE;
}

}  // namespace comfreyshift
