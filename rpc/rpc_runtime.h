#ifndef RPC_RPC_RUNTIME_H_
#define RPC_RPC_RUNTIME_H_

#include <memory>

namespace comfreyshift {

// Runs Cap'n Proto's event loop inside the GLib main context of this thread.
// One for each thread; it must outlive all servers and clients.
class RpcRuntime {
 public:
  RpcRuntime();
  ~RpcRuntime();
  RpcRuntime(const RpcRuntime&) = delete;
  RpcRuntime& operator=(const RpcRuntime&) = delete;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // RPC_RPC_RUNTIME_H_
