#include "rpc/rpc_runtime.h"

#include <glib.h>
#include <kj/async.h>

namespace comfreyshift {

namespace {

// Turns that one dispatch of the main loop may run before other sources get
// their turn.
constexpr uint32_t kTurnsPerDispatch = 512;

class GlibEventPort final : public kj::EventPort {
 public:
  bool wait() override {
    g_main_context_iteration(nullptr, TRUE);
    return false;
  }
  bool poll() override {
    g_main_context_iteration(nullptr, FALSE);
    return false;
  }
  void setRunnable(bool runnable) override { m_runnable = runnable; }

  bool runnable() const { return m_runnable; }

 private:
  bool m_runnable = false;
};

// A GLib source that is ready while the kj loop has events to run.
struct LoopSource {
  GSource m_source;
  GlibEventPort* m_port;
  kj::EventLoop* m_loop;
};

gboolean Prepare(GSource* source, gint* timeout) {
  *timeout = -1;
  return reinterpret_cast<LoopSource*>(source)->m_port->runnable() ? TRUE
                                                                   : FALSE;
}

gboolean Check(GSource* source) {
  return reinterpret_cast<LoopSource*>(source)->m_port->runnable() ? TRUE
                                                                   : FALSE;
}

gboolean Dispatch(GSource* source, GSourceFunc /*callback*/, gpointer) {
  reinterpret_cast<LoopSource*>(source)->m_loop->run(kTurnsPerDispatch);
  return G_SOURCE_CONTINUE;
}

GSourceFuncs g_loop_source_functions = {Prepare, Check,   Dispatch,
                                        nullptr, nullptr, nullptr};

}  // namespace

struct RpcRuntime::Impl {
  Impl() : m_loop(m_port), m_scope(m_loop) {
    m_source = g_source_new(&g_loop_source_functions, sizeof(LoopSource));
    auto* loop_source = reinterpret_cast<LoopSource*>(m_source);
    loop_source->m_port = &m_port;
    loop_source->m_loop = &m_loop;
    g_source_attach(m_source, nullptr);
  }
  ~Impl() {
    g_source_destroy(m_source);
    g_source_unref(m_source);
  }

  GlibEventPort m_port;
  kj::EventLoop m_loop;
  kj::WaitScope m_scope;
  GSource* m_source = nullptr;
};

RpcRuntime::RpcRuntime() : m_impl(std::make_unique<Impl>()) {}
RpcRuntime::~RpcRuntime() = default;

}  // namespace comfreyshift
