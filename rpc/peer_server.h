#ifndef RPC_PEER_SERVER_H_
#define RPC_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "rpc/peer_messages.h"

namespace comfreyshift {

class RpcRuntime;

// Sends one reply. It may be called later, once; after the connection is gone
// it does nothing.
template <class T>
using Reply = std::function<void(T)>;

// What a process does for its peers. Requests have been checked for form: keys
// have 16 bytes, enumerations are in range, deadlines are on the local clock.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  // `revision` is the configuration under which the sender let it in.
  virtual void OnSubmit(Submission submission,
                        Revision revision,
                        Reply<SubmitReply> reply) = 0;
  virtual std::optional<JobAnswer> OnFetch(const SubmissionKey& key) = 0;
  virtual bool OnCancel(const SubmissionKey& key) = 0;
  virtual void OnStart(StartCommand command, Reply<StartReply> reply) = 0;
  virtual void OnSettle(const SettleCommand& command,
                        Reply<StartReply> reply) = 0;
  virtual void OnCancelTask(const TaskRef& task) = 0;
  virtual CollectReply OnCollect(const CollectCommand& command) = 0;
  virtual ConfigChanges OnConfig(Revision since) = 0;
  virtual ProcessStatus OnStatus(const std::vector<std::string>& subjects) = 0;
  virtual bool OnAdopt(const AdoptCommand& command) = 0;
  virtual bool OnLeave(const ProcessId& member) = 0;
};

// Serves peers that prove to hold the fleet key.
class PeerServer {
 public:
  // Listens on `address`; fails when it cannot be bound. `runtime` and
  // `handler` must outlive the server.
  static Result<std::unique_ptr<PeerServer>, RpcError> Listen(
      RpcRuntime& runtime,
      const Address& address,
      std::string fleet_key,
      PeerHandler& handler);

  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  size_t connections() const;

 private:
  struct Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // RPC_PEER_SERVER_H_
