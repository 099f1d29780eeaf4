#ifndef FLEET_PROCESS_SIGNALS_H_
#define FLEET_PROCESS_SIGNALS_H_

#include <functional>

namespace comfreyshift {

using SignalHandler = std::function<void()>;

// Installs handlers for the signals that operators and platforms send to a
// role, for the rest of the process's life: SIGTERM and SIGINT request a stop,
// SIGHUP a reload. Must be called first in `main`, because the default action
// of each terminates the process. SIGPIPE and SIGXFSZ are ignored, so writes to
// closed pipes and connections, or beyond the file size limit, fail with an
// error instead. Further calls do nothing.
void InstallSignalHandlers();

// Sets the function that the main loop calls for each signal. If signals
// arrived while there was no handler, it is called once for them. An empty
// `handler` removes the current one.
void SetStopHandler(SignalHandler handler);
void SetReloadHandler(SignalHandler handler);

}  // namespace comfreyshift

#endif  // FLEET_PROCESS_SIGNALS_H_
