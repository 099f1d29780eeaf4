#include "store/timer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreyshift {

void Timer::Set(MonoTime when, std::function<void()> function) {
  Cancel();
  auto wait = std::chrono::ceil<Milliseconds>(when - BootClock::now()).count();
  constexpr int64_t kLongestWaitMs = 24LL * 3600 * 1000;
  m_source = g_timeout_source_new(
      static_cast<guint>(std::clamp<int64_t>(wait, 0, kLongestWaitMs)));
  m_function = std::move(function);
  g_source_set_callback(m_source, &Timer::OnDue, this, nullptr);
  g_source_attach(m_source, g_main_context_get_thread_default());
}

void Timer::Cancel() {
  if (m_source == nullptr) {
    return;
  }
  g_source_destroy(m_source);
  g_source_unref(m_source);
  m_source = nullptr;
  m_function = nullptr;
}

gboolean Timer::OnDue(gpointer data) {
  auto* timer = static_cast<Timer*>(data);
  // The function may set the timer again or destroy it.
  std::function<void()> function = std::move(timer->m_function);
  timer->Cancel();
  function();
  return G_SOURCE_REMOVE;
}

}  // namespace comfreyshift
