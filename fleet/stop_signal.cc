#include "fleet/stop_signal.h"

#include <glib-unix.h>

#include <csignal>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

StopSignal::StopSignal(StopFunction stop)
    : m_stop(std::move(stop)), m_loop(g_main_loop_new(nullptr, FALSE)) {
  g_unix_signal_add(SIGTERM, &StopSignal::OnSignal, this);
  g_unix_signal_add(SIGINT, &StopSignal::OnSignal, this);
}

StopSignal::~StopSignal() {
  g_main_loop_unref(m_loop);
}

gboolean StopSignal::OnSignal(gpointer self) {
  auto* signal = static_cast<StopSignal*>(self);
  if (signal->m_stop) {
    LogEvent(LogLevel::kInfo, "main", "stopping");
    const auto stop = std::exchange(signal->m_stop, nullptr);
    stop([signal]() { g_main_loop_quit(signal->m_loop); });
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace comfreyshift
