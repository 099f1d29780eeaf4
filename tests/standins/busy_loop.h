#ifndef TESTS_STANDINS_BUSY_LOOP_H_
#define TESTS_STANDINS_BUSY_LOOP_H_

#include <glib.h>

namespace comfreyshift {

// Keeps the default main loop busy while this object lives, as a flood of
// requests does: a source of the priority of sockets is always ready.
class BusyLoop {
 public:
  BusyLoop()
      : m_source(g_idle_add_full(G_PRIORITY_DEFAULT,
                                 &BusyLoop::Continue,
                                 nullptr,
                                 nullptr)) {}
  ~BusyLoop() { g_source_remove(m_source); }
  BusyLoop(const BusyLoop&) = delete;
  BusyLoop& operator=(const BusyLoop&) = delete;

 private:
  static gboolean Continue(gpointer) { return G_SOURCE_CONTINUE; }

  guint m_source;
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_BUSY_LOOP_H_
