#ifndef RPC_PEER_CLIENT_H_
#define RPC_PEER_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "rpc/peer_messages.h"

namespace comfreyshift {

class RpcRuntime;

template <class T>
using RpcCallback = std::function<void(Result<T, RpcError>)>;

struct PeerAddress {
  ProcessId m_id;
  Address m_address;
};

// Calls to peers, with one connection for each of them that is opened on first
// use and closed when it fails. Callbacks run from the main loop, never inside
// the call.
class PeerClient {
 public:
  PeerClient(RpcRuntime& runtime, std::string fleet_key);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  void Submit(const PeerAddress& to,
              const Submission& submission,
              Revision revision,
              RpcCallback<SubmitReply> callback);
  void Fetch(const PeerAddress& to,
             const SubmissionKey& key,
             RpcCallback<std::optional<JobAnswer>> callback);
  void Cancel(const PeerAddress& to,
              const SubmissionKey& key,
              RpcCallback<bool> callback);
  void Start(const PeerAddress& to,
             const StartCommand& command,
             RpcCallback<StartReply> callback);
  void Settle(const PeerAddress& to,
              const SettleCommand& command,
              RpcCallback<StartReply> callback);
  void CancelTask(const PeerAddress& to, const TaskRef& task);
  void Collect(const PeerAddress& to,
               const CollectCommand& command,
               MonoTime deadline,
               RpcCallback<CollectReply> callback);
  void Config(const PeerAddress& to,
              Revision since,
              MonoTime deadline,
              RpcCallback<ConfigChanges> callback);
  void Status(const PeerAddress& to,
              const std::vector<std::string>& subjects,
              MonoTime deadline,
              RpcCallback<ProcessStatus> callback);
  void Adopt(const PeerAddress& to,
             const AdoptCommand& command,
             MonoTime deadline,
             RpcCallback<bool> callback);

  void Leave(const PeerAddress& to,
             const ProcessId& member,
             MonoTime deadline,
             RpcCallback<bool> callback);

  // Drops the connection to a peer that is gone. Its calls fail as lost.
  void Close(const ProcessId& id);

  size_t connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // RPC_PEER_CLIENT_H_
