#include "rpc/peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include <algorithm>
#include <set>
#include <utility>

#include "rpc/glib_stream.h"
#include "rpc/handshake.h"
#include "rpc/rpc_runtime.h"
#include "rpc/wire.h"

namespace comfreyshift {

namespace {

// Makes a reply function that may outlive the call and the connection.
template <class T>
struct PendingReply {
  PendingReply() {
    auto paf = kj::newPromiseAndFulfiller<T>();
    m_promise = kj::mv(paf.promise);
    m_fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(
        kj::mv(paf.fulfiller));
  }

  Reply<T> MakeReply() const {
    return [fulfiller = m_fulfiller](T value) {
      (*fulfiller)->fulfill(kj::mv(value));
    };
  }

  kj::Promise<T> m_promise = nullptr;
  std::shared_ptr<kj::Own<kj::PromiseFulfiller<T>>> m_fulfiller;
};

class PeerImpl final : public wire::Peer::Server {
 public:
  explicit PeerImpl(PeerHandler& handler) : m_handler(handler) {}

  kj::Promise<void> submit(SubmitContext context) override {
    Submission submission =
        wire_codec::Read(context.getParams().getSubmission(), BootClock::now());
    const Revision revision = context.getParams().getRevision();
    context.releaseParams();
    PendingReply<SubmitReply> pending;
    m_handler.OnSubmit(std::move(submission), revision, pending.MakeReply());
    return pending.m_promise.then([context](const SubmitReply& reply) mutable {
      auto results = context.getResults();
      if (const auto* reason = std::get_if<NotRunReason>(&reply)) {
        results.setRedirect(true);
        results.setReason(static_cast<uint8_t>(*reason));
        return;
      }
      wire_codec::Write(std::get<JobAnswer>(reply), results.initAnswer());
    });
  }

  kj::Promise<void> fetch(FetchContext context) override {
    const auto answer =
        m_handler.OnFetch(wire_codec::ReadKey(context.getParams().getKey()));
    context.getResults().setKnown(answer.has_value());
    if (answer) {
      wire_codec::Write(*answer, context.getResults().initAnswer());
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> cancel(CancelContext context) override {
    context.getResults().setKnown(
        m_handler.OnCancel(wire_codec::ReadKey(context.getParams().getKey())));
    return kj::READY_NOW;
  }

  kj::Promise<void> start(StartContext context) override {
    StartCommand command =
        wire_codec::Read(context.getParams().getCommand(), BootClock::now());
    context.releaseParams();
    PendingReply<StartReply> pending;
    m_handler.OnStart(std::move(command), pending.MakeReply());
    return pending.m_promise.then([context](const StartReply& reply) mutable {
      wire_codec::Write(reply, context.getResults().initReply());
    });
  }

  kj::Promise<void> settle(SettleContext context) override {
    SettleCommand command = wire_codec::Read(context.getParams().getCommand());
    context.releaseParams();
    PendingReply<StartReply> pending;
    m_handler.OnSettle(command, pending.MakeReply());
    return pending.m_promise.then([context](const StartReply& reply) mutable {
      wire_codec::Write(reply, context.getResults().initReply());
    });
  }

  kj::Promise<void> cancelTask(CancelTaskContext context) override {
    m_handler.OnCancelTask(wire_codec::Read(context.getParams().getTask()));
    return kj::READY_NOW;
  }

  kj::Promise<void> collect(CollectContext context) override {
    const CollectReply reply =
        m_handler.OnCollect(wire_codec::Read(context.getParams().getCommand()));
    wire_codec::Write(reply, context.getResults().initReply());
    return kj::READY_NOW;
  }

  kj::Promise<void> config(ConfigContext context) override {
    const ConfigChanges changes =
        m_handler.OnConfig(context.getParams().getSince());
    wire_codec::Write(changes, context.getResults().initChanges());
    return kj::READY_NOW;
  }

  kj::Promise<void> status(StatusContext context) override {
    std::vector<std::string> subjects;
    for (const auto subject : context.getParams().getSubjects()) {
      subjects.emplace_back(subject.begin(), subject.size());
    }
    wire_codec::Write(m_handler.OnStatus(subjects),
                      context.getResults().initStatus());
    return kj::READY_NOW;
  }

  kj::Promise<void> adopt(AdoptContext context) override {
    context.getResults().setAccepted(
        m_handler.OnAdopt(wire_codec::Read(context.getParams().getCommand())));
    return kj::READY_NOW;
  }

  kj::Promise<void> leave(LeaveContext context) override {
    context.getResults().setAccepted(
        m_handler.OnLeave(wire_codec::Read(context.getParams().getMember())));
    return kj::READY_NOW;
  }

 private:
  PeerHandler& m_handler;
};

Nonce ReadNonce(capnp::Data::Reader data) {
  Nonce nonce;
  KJ_REQUIRE(data.size() == nonce.size(), "nonce has the wrong length",
             data.size());
  std::copy(data.begin(), data.end(), nonce.begin());
  return nonce;
}

class GateImpl final : public wire::Gate::Server {
 public:
  GateImpl(std::string fleet_key, PeerHandler& handler)
      : m_fleet_key(std::move(fleet_key)), m_handler(handler) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    m_client_nonce = ReadNonce(context.getParams().getClientNonce());
    m_server_nonce = MakeNonce();
    m_challenged = true;
    const MacTag proof = MakeProof(m_fleet_key, HandshakeSide::kServer,
                                   m_client_nonce, m_server_nonce);
    context.getResults().setServerNonce(
        capnp::Data::Reader(m_server_nonce.data(), m_server_nonce.size()));
    context.getResults().setServerProof(
        capnp::Data::Reader(proof.data(), proof.size()));
    return kj::READY_NOW;
  }

  kj::Promise<void> login(LoginContext context) override {
    KJ_REQUIRE(m_challenged, "login without a challenge");
    // Each challenge serves one login, so that proofs cannot be tried in bulk.
    m_challenged = false;
    const auto proof = context.getParams().getClientProof();
    const MacTag expected = MakeProof(m_fleet_key, HandshakeSide::kClient,
                                      m_client_nonce, m_server_nonce);
    KJ_REQUIRE(CheckProof(expected, {proof.begin(), proof.size()}),
               "peer does not hold the fleet key");
    context.getResults().setPeer(kj::heap<PeerImpl>(m_handler));
    return kj::READY_NOW;
  }

 private:
  std::string m_fleet_key;
  PeerHandler& m_handler;
  Nonce m_client_nonce{};
  Nonce m_server_nonce{};
  bool m_challenged = false;
};

// One accepted connection; the promise of its disconnection owns it.
struct ServerSession {
  ServerSession(int fd, wire::Gate::Client gate)
      : m_stream(fd),
        m_network(m_stream, capnp::rpc::twoparty::Side::SERVER),
        m_rpc(capnp::makeRpcServer(m_network, kj::mv(gate))) {}

  GlibStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

}  // namespace

struct PeerServer::Impl final : private kj::TaskSet::ErrorHandler {
  Impl(std::string fleet_key, PeerHandler& handler)
      : m_fleet_key(std::move(fleet_key)),
        m_handler(handler),
        m_sessions(*this) {}

  void Accept(int fd) {
    auto session =
        kj::heap<ServerSession>(fd, kj::heap<GateImpl>(m_fleet_key, m_handler));
    ++m_connections;
    auto ended = session->m_network.onDisconnect().attach(kj::mv(session));
    m_sessions.add(ended.attach(kj::defer([this]() { --m_connections; })));
  }

  void taskFailed(kj::Exception&& /*exception*/) override {
    // A connection that breaks ends its session; the calls on it have failed
    // already.
  }

  std::string m_fleet_key;
  PeerHandler& m_handler;
  size_t m_connections = 0;
  kj::TaskSet m_sessions;
  std::unique_ptr<GlibListener> m_listener;
};

Result<std::unique_ptr<PeerServer>, RpcError> PeerServer::Listen(
    RpcRuntime& /*runtime*/,
    const Address& address,
    std::string fleet_key,
    PeerHandler& handler) {
  auto impl = std::make_unique<Impl>(std::move(fleet_key), handler);
  Impl* raw = impl.get();
  try {
    impl->m_listener = std::make_unique<GlibListener>(
        address, [raw](int fd) { raw->Accept(fd); });
  } catch (const kj::Exception& exception) {
    return RpcError{RpcFailure::kNotSent,
                    "cannot listen on " + address.ToString() + ": " +
                        exception.getDescription().cStr()};
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PeerServer::~PeerServer() = default;

size_t PeerServer::connections() const {
  return m_impl->m_connections;
}

}  // namespace comfreyshift
