#include "fleet/process_signals.h"

#include <glib-unix.h>

#include <csignal>
#include <utility>

namespace comfreyshift {

namespace {

// The handler and pending state of one kind of request, stop or reload.
struct SignalState {
  SignalHandler m_handler;
  // Whether a signal has arrived while there was no handler.
  bool m_is_pending = false;
};

// Signal handlers are process-wide, hence the static state.
SignalState& StopState() {
  static SignalState state;
  return state;
}

SignalState& ReloadState() {
  static SignalState state;
  return state;
}

gboolean OnSignal(gpointer data) {
  auto* state = static_cast<SignalState*>(data);
  if (state->m_handler) {
    // The handler may replace itself.
    const SignalHandler handler = state->m_handler;
    handler();
  } else {
    state->m_is_pending = true;
  }
  return G_SOURCE_CONTINUE;
}

gboolean DeliverPending(gpointer data) {
  auto* state = static_cast<SignalState*>(data);
  if (state->m_handler && std::exchange(state->m_is_pending, false)) {
    OnSignal(state);
  }
  return G_SOURCE_REMOVE;
}

void SetHandler(SignalState& state, SignalHandler handler) {
  InstallSignalHandlers();
  state.m_handler = std::move(handler);
  if (state.m_handler && state.m_is_pending) {
    // The same priority as the signal sources: a busy main loop never
    // dispatches sources of a lower priority.
    g_idle_add_full(G_PRIORITY_DEFAULT, &DeliverPending, &state, nullptr);
  }
}

}  // namespace

void InstallSignalHandlers() {
  static bool is_done = false;
  if (std::exchange(is_done, true)) {
    return;
  }
  g_unix_signal_add(SIGHUP, &OnSignal, &ReloadState());
  g_unix_signal_add(SIGTERM, &OnSignal, &StopState());
  g_unix_signal_add(SIGINT, &OnSignal, &StopState());
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

void SetStopHandler(SignalHandler handler) {
  SetHandler(StopState(), std::move(handler));
}

void SetReloadHandler(SignalHandler handler) {
  SetHandler(ReloadState(), std::move(handler));
}

}  // namespace comfreyshift
