#include "fleet/graceful_main_loop.h"

#include <utility>

#include "fleet/process_signals.h"
#include "logging/logging.h"

namespace comfreyshift {

GracefulMainLoop::GracefulMainLoop(StopFunction stop)
    : m_stop(std::move(stop)), m_loop(g_main_loop_new(nullptr, FALSE)) {
  SetStopHandler([this]() { OnSignal(); });
}

GracefulMainLoop::~GracefulMainLoop() {
  SetStopHandler(nullptr);
  g_main_loop_unref(m_loop);
}

void GracefulMainLoop::OnSignal() {
  if (!m_stop) {
    return;
  }
  LogEvent(LogLevel::kInfo, "main", "stopping");
  const auto stop = std::exchange(m_stop, nullptr);
  stop([this]() { g_main_loop_quit(m_loop); });
}

}  // namespace comfreyshift
