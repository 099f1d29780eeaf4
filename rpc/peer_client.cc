#include "rpc/peer_client.h"

#include <capnp/rpc-twoparty.h>
#include <glib.h>
#include <kj/debug.h>

#include <algorithm>
#include <map>
#include <utility>

#include "rpc/glib_stream.h"
#include "rpc/handshake.h"
#include "rpc/rpc_runtime.h"
#include "rpc/wire.h"

namespace comfreyshift {

namespace {

constexpr auto kNoDeadline = MonoTime::max();

// A peer that does not finish the handshake within this time counts as down.
constexpr Milliseconds kHandshakeTimeout{2000};

std::string Describe(const kj::Exception& exception) {
  return exception.getDescription().cStr();
}

// A promise that ends when the deadline passes.
kj::Promise<void> WaitUntil(MonoTime deadline) {
  struct Timer {
    kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
    guint m_source = 0;

    static gboolean OnTime(gpointer data) {
      auto* timer = static_cast<Timer*>(data);
      timer->m_source = 0;
      timer->m_fulfiller->fulfill();
      return G_SOURCE_REMOVE;
    }
    ~Timer() {
      if (m_source != 0) {
        g_source_remove(m_source);
      }
    }
  };
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto timer = kj::heap<Timer>();
  timer->m_fulfiller = kj::mv(paf.fulfiller);
  const auto left =
      std::max(MonoTime::duration(0), deadline - BootClock::now());
  timer->m_source = g_timeout_add(
      static_cast<guint>(std::chrono::ceil<Milliseconds>(left).count()),
      &Timer::OnTime, timer.get());
  return paf.promise.attach(kj::mv(timer));
}

Nonce ReadServerNonce(capnp::Data::Reader data) {
  Nonce nonce;
  KJ_REQUIRE(data.size() == nonce.size(), "nonce has the wrong length");
  std::copy(data.begin(), data.end(), nonce.begin());
  return nonce;
}

capnp::Data::Reader ToData(std::span<const uint8_t> bytes) {
  return capnp::Data::Reader(bytes.data(), bytes.size());
}

// One outgoing connection. Calls and the pool share it; it ends when the last
// of them drops it.
class ClientSession final : public std::enable_shared_from_this<ClientSession>,
                            private kj::TaskSet::ErrorHandler {
 public:
  explicit ClientSession(std::string fleet_key)
      : m_fleet_key(std::move(fleet_key)), m_calls(*this), m_ready(nullptr) {}

  void Open(const Address& address) {
    auto connect = GlibStream::Connect(address).then(
        [this](kj::Own<GlibStream> stream) { return Login(kj::mv(stream)); });
    auto timeout =
        WaitUntil(BootClock::now() + kHandshakeTimeout)
            .then([]() -> kj::Promise<void> {
              return KJ_EXCEPTION(DISCONNECTED, "handshake timed out");
            });
    m_ready = connect.exclusiveJoin(kj::mv(timeout)).fork();
  }

  // Sends a request made by `make` and hands the reply, read by `read`, or an
  // error to `callback`. The connection counts as broken after any error but a
  // time-out.
  template <class T, class Make, class Read>
  void Call(MonoTime deadline, Make make, Read read, RpcCallback<T> callback) {
    auto state = std::make_shared<CallState<T>>();
    state->m_callback = std::move(callback);
    auto work = m_ready.addBranch().then([this, state, make = std::move(make),
                                          read = std::move(read)]() mutable {
      state->m_sent = true;
      return make(*m_peer).then(
          [state, read = std::move(read)](auto&& response) mutable {
            state->Finish(read(response));
          });
    });
    if (deadline != kNoDeadline) {
      auto late = WaitUntil(deadline).then([state]() {
        state->Finish(RpcError{RpcFailure::kTimedOut, "deadline passed"});
      });
      work = work.exclusiveJoin(kj::mv(late));
    }
    m_calls.add(work.catch_([this, state](kj::Exception&& exception) {
      m_broken = true;
      state->Finish(
          RpcError{state->m_sent ? RpcFailure::kLost : RpcFailure::kNotSent,
                   Describe(exception)});
    }));
  }

  bool broken() const { return m_broken; }

  // Fails all calls as lost.
  void Shutdown() {
    m_broken = true;
    m_rpc = nullptr;
    m_peer = nullptr;
    m_network = nullptr;
    m_stream = nullptr;
  }

 private:
  template <class T>
  struct CallState {
    RpcCallback<T> m_callback;
    bool m_sent = false;

    void Finish(Result<T, RpcError> result) {
      if (m_callback) {
        auto callback = std::exchange(m_callback, nullptr);
        callback(std::move(result));
      }
    }
  };

  kj::Promise<void> Login(kj::Own<GlibStream> stream) {
    m_stream = kj::mv(stream);
    m_network = kj::heap<capnp::TwoPartyVatNetwork>(
        *m_stream, capnp::rpc::twoparty::Side::CLIENT);
    // A call on a connection that the peer has closed would fail as lost,
    // though nothing of it was sent.
    m_calls.add(m_network->onDisconnect().then([this]() { m_broken = true; }));
    m_rpc = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
        capnp::makeRpcClient(*m_network));
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto gate = m_rpc->bootstrap(vat).castAs<wire::Gate>();
    const Nonce client_nonce = MakeNonce();
    auto request = gate.challengeRequest();
    request.setClientNonce(ToData(client_nonce));
    return request.send().then([this, gate,
                                client_nonce](auto&& response) mutable {
      const Nonce server_nonce = ReadServerNonce(response.getServerNonce());
      const auto proof = response.getServerProof();
      const MacTag expected = MakeProof(m_fleet_key, HandshakeSide::kServer,
                                        client_nonce, server_nonce);
      KJ_REQUIRE(CheckProof(expected, {proof.begin(), proof.size()}),
                 "peer does not hold the fleet key");
      auto login = gate.loginRequest();
      login.setClientProof(ToData(MakeProof(m_fleet_key, HandshakeSide::kClient,
                                            client_nonce, server_nonce)));
      return login.send().then(
          [this](auto&& reply) { m_peer = kj::heap(reply.getPeer()); });
    });
  }

  void taskFailed(kj::Exception&& /*exception*/) override {}

  std::string m_fleet_key;
  kj::Own<GlibStream> m_stream;
  kj::Own<capnp::TwoPartyVatNetwork> m_network;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_rpc;
  kj::Own<wire::Peer::Client> m_peer;
  kj::TaskSet m_calls;
  kj::ForkedPromise<void> m_ready;
  bool m_broken = false;
};

}  // namespace

struct PeerClient::Impl final : private kj::TaskSet::ErrorHandler {
  explicit Impl(std::string fleet_key)
      : m_fleet_key(std::move(fleet_key)), m_closing(*this) {}

  std::shared_ptr<ClientSession> Session(const PeerAddress& to) {
    auto found = m_sessions.find(to.m_id);
    if (found != m_sessions.end() && !found->second->broken()) {
      return found->second;
    }
    if (found != m_sessions.end()) {
      Retire(std::move(found->second));
      m_sessions.erase(found);
    }
    auto session = std::make_shared<ClientSession>(m_fleet_key);
    session->Open(to.m_address);
    m_sessions.emplace(to.m_id, session);
    return session;
  }

  // A session must not be destroyed inside one of its own callbacks.
  void Retire(std::shared_ptr<ClientSession> session) {
    m_closing.add(kj::evalLater([session = std::move(session)]() mutable {
      session->Shutdown();
      return kj::evalLast([session = std::move(session)]() {});
    }));
  }

  void taskFailed(kj::Exception&& /*exception*/) override {}

  std::string m_fleet_key;
  std::map<ProcessId, std::shared_ptr<ClientSession>> m_sessions;
  kj::TaskSet m_closing;
};

PeerClient::PeerClient(RpcRuntime& /*runtime*/, std::string fleet_key)
    : m_impl(std::make_unique<Impl>(std::move(fleet_key))) {}

PeerClient::~PeerClient() = default;

void PeerClient::Submit(const PeerAddress& to,
                        const Submission& submission,
                        Revision revision,
                        RpcCallback<SubmitReply> callback) {
  m_impl->Session(to)->Call<SubmitReply>(
      kNoDeadline,
      [submission, revision](wire::Peer::Client& peer) {
        auto request = peer.submitRequest();
        request.setRevision(revision);
        wire_codec::Write(submission, BootClock::now(),
                          request.initSubmission());
        return request.send();
      },
      [](auto& response) -> SubmitReply {
        if (response.getRedirect()) {
          return wire_codec::ReadReason(response.getReason());
        }
        return wire_codec::Read(response.getAnswer());
      },
      std::move(callback));
}

void PeerClient::Fetch(const PeerAddress& to,
                       const SubmissionKey& key,
                       RpcCallback<std::optional<JobAnswer>> callback) {
  m_impl->Session(to)->Call<std::optional<JobAnswer>>(
      kNoDeadline,
      [key](wire::Peer::Client& peer) {
        auto request = peer.fetchRequest();
        request.setKey(ToData(key.bytes()));
        return request.send();
      },
      [](auto& response) -> std::optional<JobAnswer> {
        if (!response.getKnown()) {
          return std::nullopt;
        }
        return wire_codec::Read(response.getAnswer());
      },
      std::move(callback));
}

void PeerClient::Cancel(const PeerAddress& to,
                        const SubmissionKey& key,
                        RpcCallback<bool> callback) {
  m_impl->Session(to)->Call<bool>(
      kNoDeadline,
      [key](wire::Peer::Client& peer) {
        auto request = peer.cancelRequest();
        request.setKey(ToData(key.bytes()));
        return request.send();
      },
      [](auto& response) { return response.getKnown(); }, std::move(callback));
}

void PeerClient::Start(const PeerAddress& to,
                       const StartCommand& command,
                       RpcCallback<StartReply> callback) {
  m_impl->Session(to)->Call<StartReply>(
      kNoDeadline,
      [command](wire::Peer::Client& peer) {
        auto request = peer.startRequest();
        wire_codec::Write(command, BootClock::now(), request.initCommand());
        return request.send();
      },
      [](auto& response) { return wire_codec::Read(response.getReply()); },
      std::move(callback));
}

void PeerClient::Settle(const PeerAddress& to,
                        const SettleCommand& command,
                        RpcCallback<StartReply> callback) {
  m_impl->Session(to)->Call<StartReply>(
      kNoDeadline,
      [command](wire::Peer::Client& peer) {
        auto request = peer.settleRequest();
        wire_codec::Write(command, request.initCommand());
        return request.send();
      },
      [](auto& response) { return wire_codec::Read(response.getReply()); },
      std::move(callback));
}

void PeerClient::CancelTask(const PeerAddress& to, const TaskRef& task) {
  m_impl->Session(to)->Call<bool>(
      kNoDeadline,
      [task](wire::Peer::Client& peer) {
        auto request = peer.cancelTaskRequest();
        wire_codec::Write(task, request.initTask());
        return request.send();
      },
      [](auto& /*response*/) { return true; }, nullptr);
}

void PeerClient::Collect(const PeerAddress& to,
                         const CollectCommand& command,
                         MonoTime deadline,
                         RpcCallback<CollectReply> callback) {
  m_impl->Session(to)->Call<CollectReply>(
      deadline,
      [command](wire::Peer::Client& peer) {
        auto request = peer.collectRequest();
        wire_codec::Write(command, request.initCommand());
        return request.send();
      },
      [](auto& response) { return wire_codec::Read(response.getReply()); },
      std::move(callback));
}

void PeerClient::Config(const PeerAddress& to,
                        Revision since,
                        MonoTime deadline,
                        RpcCallback<ConfigChanges> callback) {
  m_impl->Session(to)->Call<ConfigChanges>(
      deadline,
      [since](wire::Peer::Client& peer) {
        auto request = peer.configRequest();
        request.setSince(since);
        return request.send();
      },
      [](auto& response) { return wire_codec::Read(response.getChanges()); },
      std::move(callback));
}

void PeerClient::Status(const PeerAddress& to,
                        const std::vector<std::string>& subjects,
                        MonoTime deadline,
                        RpcCallback<ProcessStatus> callback) {
  m_impl->Session(to)->Call<ProcessStatus>(
      deadline,
      [subjects](wire::Peer::Client& peer) {
        auto request = peer.statusRequest();
        auto list = request.initSubjects(subjects.size());
        for (size_t i = 0; i < subjects.size(); ++i) {
          list.set(i, subjects[i].c_str());
        }
        return request.send();
      },
      [](auto& response) { return wire_codec::Read(response.getStatus()); },
      std::move(callback));
}

void PeerClient::Adopt(const PeerAddress& to,
                       const AdoptCommand& command,
                       MonoTime deadline,
                       RpcCallback<bool> callback) {
  m_impl->Session(to)->Call<bool>(
      deadline,
      [command](wire::Peer::Client& peer) {
        auto request = peer.adoptRequest();
        wire_codec::Write(command, request.initCommand());
        return request.send();
      },
      [](auto& response) { return response.getAccepted(); },
      std::move(callback));
}

void PeerClient::Leave(const PeerAddress& to,
                       const ProcessId& member,
                       MonoTime deadline,
                       RpcCallback<bool> callback) {
  m_impl->Session(to)->Call<bool>(
      deadline,
      [member](wire::Peer::Client& peer) {
        auto request = peer.leaveRequest();
        wire_codec::Write(member, request.initMember());
        return request.send();
      },
      [](auto& response) { return response.getAccepted(); },
      std::move(callback));
}

void PeerClient::Close(const ProcessId& id) {
  const auto found = m_impl->m_sessions.find(id);
  if (found == m_impl->m_sessions.end()) {
    return;
  }
  m_impl->Retire(std::move(found->second));
  m_impl->m_sessions.erase(found);
}

size_t PeerClient::connections() const {
  return m_impl->m_sessions.size();
}

}  // namespace comfreyshift
