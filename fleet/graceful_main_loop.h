#ifndef FLEET_GRACEFUL_MAIN_LOOP_H_
#define FLEET_GRACEFUL_MAIN_LOOP_H_

#include <glib.h>

#include <functional>

namespace comfreyshift {

// Runs the main loop. The first signal that requests a stop calls `stop`, which
// starts a graceful shutdown; the loop ends when `stopped` is called.
class GracefulMainLoop {
 public:
  using StopFunction = std::function<void(std::function<void()> stopped)>;

  explicit GracefulMainLoop(StopFunction stop);
  ~GracefulMainLoop();
  GracefulMainLoop(const GracefulMainLoop&) = delete;
  GracefulMainLoop& operator=(const GracefulMainLoop&) = delete;

  void Run() { g_main_loop_run(m_loop); }

 private:
  void OnSignal();

  StopFunction m_stop;
  GMainLoop* m_loop;
};

}  // namespace comfreyshift

#endif  // FLEET_GRACEFUL_MAIN_LOOP_H_
