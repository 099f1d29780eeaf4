#include "net/loop_timer.h"

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

// Below that of sockets, which have the default priority.
constexpr gint kAfterInputPriority = G_PRIORITY_DEFAULT + 20;
// For how long input may hold back a call that comes after it.
constexpr std::chrono::microseconds kMaxInputTime{100'000};
// How long after the deadline that time begins. An idle loop makes the call
// before.
constexpr std::chrono::microseconds kLimitDelay{20'000};

// Returns the time on GLib's clock; 0 is always ready.
gint64 ReadyTimeOf(MonoTime deadline) {
  if (deadline == MonoTime::max()) {
    return kNever;
  }
  const auto left = deadline - BootClock::now();
  return left.count() <= 0 ? 0 : g_get_monotonic_time() + left.count();
}

}  // namespace

LoopTimer::LoopTimer(std::function<void()> callback,
                     Order order,
                     GMainContext* context)
    : m_callback(std::move(callback)) {
  if (order == Order::kWithInput) {
    m_source = AddSource(G_PRIORITY_DEFAULT, &LoopTimer::OnReady, context);
    return;
  }
  m_source = AddSource(kAfterInputPriority, &LoopTimer::OnReady, context);
  m_limit_source =
      AddSource(G_PRIORITY_DEFAULT, &LoopTimer::OnDeadline, context);
}

LoopTimer::~LoopTimer() {
  for (GSource* source : {m_source, m_limit_source}) {
    if (source != nullptr) {
      g_source_destroy(source);
      g_source_unref(source);
    }
  }
}

GSource* LoopTimer::AddSource(gint priority,
                              GSourceFunc on_ready,
                              GMainContext* context) {
  GSource* source = g_source_new(&g_timer_functions, sizeof(GSource));
  g_source_set_priority(source, priority);
  g_source_set_callback(source, on_ready, this, nullptr);
  g_source_attach(source, context);
  return source;
}

void LoopTimer::Set(MonoTime deadline) {
  m_is_deadline_noticed = false;
  SetReadyTimes(ReadyTimeOf(deadline));
}

void LoopTimer::SetReadyTimes(gint64 time) {
  g_source_set_ready_time(m_source, time);
  if (m_limit_source != nullptr) {
    g_source_set_ready_time(m_limit_source,
                            time > 0 ? time + kLimitDelay.count() : time);
  }
}

gboolean LoopTimer::OnReady(gpointer self) {
  static_cast<LoopTimer*>(self)->Call();
  return G_SOURCE_CONTINUE;
}

gboolean LoopTimer::OnDeadline(gpointer self) {
  auto* timer = static_cast<LoopTimer*>(self);
  if (std::exchange(timer->m_is_deadline_noticed, true)) {
    timer->Call();
  } else {
    g_source_set_ready_time(timer->m_limit_source,
                            g_get_monotonic_time() + kMaxInputTime.count());
  }
  return G_SOURCE_CONTINUE;
}

void LoopTimer::Call() {
  SetReadyTimes(kNever);
  // The callback may destroy the timer, and with it the function itself.
  const auto callback = m_callback;
  callback();
}

}  // namespace comfreyshift
