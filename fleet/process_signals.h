#ifndef FLEET_PROCESS_SIGNALS_H_
#define FLEET_PROCESS_SIGNALS_H_

#include <functional>

namespace comfreyshift {

using SignalHandler = std::function<void()>;

// Takes over the signals that operators and platforms send to a role, from now
// until the process ends: SIGTERM and SIGINT ask for a stop, SIGHUP for a
// reload. To be called first thing in `main`, because the default action of
// each ends the process. Writes to closed pipes and connections, and beyond the
// limit on the size of files, fail with an error instead of a signal. Further
// calls do nothing.
void TakeOverSignals();

// The main loop calls `handler` for each signal, and for one that came while
// there was no handler. An empty handler removes the last one.
void SetStopHandler(SignalHandler handler);
void SetReloadHandler(SignalHandler handler);

}  // namespace comfreyshift

#endif  // FLEET_PROCESS_SIGNALS_H_
