#include <arpa/inet.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatch.h"
#include "rpc/rpc.h"

namespace comfreyshift {
namespace {

constexpr char kKey[] = "fleet key of this test";

// Returns an address on loopback with a port that was free a moment ago.
Address FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  SocketAddress address = SocketAddress::From({"127.0.0.1", 1});
  reinterpret_cast<sockaddr_in*>(address.get())->sin_port = 0;
  EXPECT_EQ(bind(fd, address.get(), address.m_length), 0);
  getsockname(fd, address.get(), &address.m_length);
  close(fd);
  return address.ToAddress();
}

class FakeHandler final : public PeerHandler {
 public:
  void OnSubmit(Submission, Revision, Reply<SubmitReply> reply) override {
    reply(NotRunReason::kNotOwner);
  }
  std::optional<JobAnswer> OnFetch(const SubmissionKey&) override {
    return JobAnswer(JobComplete{{{200, "body"}}});
  }
  bool OnCancel(const SubmissionKey&) override { return true; }
  void OnStart(StartCommand command, Reply<StartReply> reply) override {
    m_started.push_back(command);
    m_replies.push_back(std::move(reply));
  }
  void OnSettle(const SettleCommand& command,
                Reply<StartReply> reply) override {
    m_starter.OnSettle(BootClock::now(), WallNow(), 1, command);
    for (StarterAction& action : m_starter.TakeActions()) {
      if (auto* send = std::get_if<ReplyStart>(&action)) {
        reply(std::move(send->m_reply));
      }
    }
  }
  void OnCancelTask(const TaskRef&) override {}
  CollectReply OnCollect(const CollectCommand&) override { return {}; }
  ConfigChanges OnConfig(Revision since) override {
    return {since, since + 1, {{"/comfreyshift/table", "{}", since + 1}}};
  }
  ProcessStatus OnStatus(const std::vector<std::string>&) override {
    return {};
  }
  bool OnAdopt(const AdoptCommand&) override { return true; }
  bool OnLeave(const ProcessId&) override { return true; }

  // A process that has just been started, without a table yet.
  Starter m_starter{StarterConfig{}, {"server", 2}};
  std::vector<StartCommand> m_started;
  std::vector<Reply<StartReply>> m_replies;
};

class PeerTest : public testing::Test {
 protected:
  PeerTest() : m_address(FreeAddress()) {
    m_server =
        std::move(PeerServer::Listen(m_runtime, m_address, kKey, m_handler))
            .value();
  }

  PeerAddress Server() const { return {{"server", 1}, m_address}; }

  // Runs the main loop until `done` is true, for 5 s at most.
  template <class Done>
  bool RunUntil(Done done) {
    const MonoTime end = BootClock::now() + std::chrono::seconds(5);
    const guint tick = g_timeout_add(
        10, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
    while (!done() && BootClock::now() < end) {
      g_main_context_iteration(nullptr, TRUE);
    }
    g_source_remove(tick);
    return done();
  }

  static StartCommand Command() {
    StartCommand command;
    command.m_partition = 3;
    command.m_epoch = 7;
    command.m_attempt = 9;
    command.m_owner = {"agent-1", 5};
    command.m_task = {SubmissionKey::Make(WallNow(), 1, 2), 4};
    command.m_first_sent = WallNow();
    command.m_client = "census";
    command.m_spec.m_request = "visit";
    command.m_spec.m_payload = std::string("a\0b", 3);
    command.m_deadline = BootClock::now() + std::chrono::seconds(10);
    return command;
  }

  // Starts a call and returns where its result will be.
  std::shared_ptr<std::optional<Result<StartReply, RpcError>>> Start(
      PeerClient& client) {
    auto result =
        std::make_shared<std::optional<Result<StartReply, RpcError>>>();
    client.Start(Server(), Command(),
                 [result](Result<StartReply, RpcError> value) {
                   *result = std::move(value);
                 });
    return result;
  }

  RpcRuntime m_runtime;
  FakeHandler m_handler;
  Address m_address;
  std::unique_ptr<PeerServer> m_server;
};

// Guards against fields that get lost on the wire, such as the epoch that
// fences an old owner.
TEST_F(PeerTest, StartCommandArrivesWhole) {
  PeerClient client(m_runtime, kKey);
  const auto result = Start(client);
  ASSERT_TRUE(RunUntil([&]() { return !m_handler.m_started.empty(); }));
  const StartCommand& got = m_handler.m_started.front();
  EXPECT_EQ(got.m_partition, 3U);
  EXPECT_EQ(got.m_epoch, 7U);
  EXPECT_EQ(got.m_attempt, 9U);
  EXPECT_EQ(got.m_owner, (ProcessId{"agent-1", 5}));
  EXPECT_EQ(got.m_task.m_index, 4U);
  EXPECT_EQ(got.m_spec.m_payload, std::string("a\0b", 3));
  EXPECT_GT(got.m_deadline, BootClock::now() + std::chrono::seconds(8));
  m_handler.m_replies.front()({got.m_task,
                               got.m_attempt,
                               TaskDone{{201, "done"}, Microseconds(42)},
                               {1, 2, 8, 1}});
  ASSERT_TRUE(RunUntil([&]() { return result->has_value(); }));
  const StartReply& reply = (*result)->value();
  EXPECT_EQ(std::get<TaskDone>(reply.m_outcome).m_answer,
            (TaskAnswer{201, "done"}));
  EXPECT_EQ(reply.m_load.m_queued_of_owner, 1U);
}

// Guards against a process of another fleet that is served, or serves.
TEST_F(PeerTest, WrongFleetKeyIsRefusedBeforeAnyCall) {
  PeerClient client(m_runtime, "another key");
  const auto result = Start(client);
  ASSERT_TRUE(RunUntil([&]() { return result->has_value(); }));
  EXPECT_EQ((*result)->error().m_failure, RpcFailure::kNotSent);
  EXPECT_TRUE(m_handler.m_started.empty());
}

// Guards against a start that never left this process being settled as if it
// might have run.
TEST_F(PeerTest, RefusedConnectionIsNotSent) {
  m_server.reset();
  PeerClient client(m_runtime, kKey);
  const auto result = Start(client);
  ASSERT_TRUE(RunUntil([&]() { return result->has_value(); }));
  EXPECT_EQ((*result)->error().m_failure, RpcFailure::kNotSent);
}

// Guards against a start that reached the peer being placed elsewhere.
TEST_F(PeerTest, ConnectionThatBreaksBeforeTheReplyIsLost) {
  PeerClient client(m_runtime, kKey);
  const auto result = Start(client);
  ASSERT_TRUE(RunUntil([&]() { return !m_handler.m_started.empty(); }));
  m_server.reset();
  ASSERT_TRUE(RunUntil([&]() { return result->has_value(); }));
  EXPECT_EQ((*result)->error().m_failure, RpcFailure::kLost);
}

// Guards against tasks that end unknown because they were sent on a connection
// that a killed peer had closed while it was idle.
TEST_F(PeerTest, CallAfterThePeerClosedAnIdleConnectionIsNotSent) {
  PeerClient client(m_runtime, kKey);
  std::optional<bool> accepted;
  client.Cancel(Server(), SubmissionKey(),
                [&](const Result<bool, RpcError>& result) {
                  accepted = result && result.value();
                });
  ASSERT_TRUE(RunUntil([&]() { return accepted.has_value(); }));
  m_server.reset();
  for (int i = 0; i < 20; ++i) {
    g_main_context_iteration(nullptr, FALSE);
  }
  const auto result = Start(client);
  ASSERT_TRUE(RunUntil([&]() { return result->has_value(); }));
  EXPECT_EQ((*result)->error().m_failure, RpcFailure::kNotSent);
}

TEST_F(PeerTest, CloseFailsOpenCallsAsLost) {
  PeerClient client(m_runtime, kKey);
  const auto result = Start(client);
  ASSERT_TRUE(RunUntil([&]() { return !m_handler.m_started.empty(); }));
  client.Close(Server().m_id);
  ASSERT_TRUE(RunUntil([&]() { return result->has_value(); }));
  EXPECT_EQ((*result)->error().m_failure, RpcFailure::kLost);
}

TEST_F(PeerTest, CallEndsAtItsDeadline) {
  m_server.reset();
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const SocketAddress address = SocketAddress::From(m_address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  ASSERT_EQ(bind(fd, address.get(), address.m_length), 0);
  ASSERT_EQ(listen(fd, 1), 0);
  PeerClient client(m_runtime, kKey);
  std::optional<RpcFailure> failure;
  client.Config(Server(), 1, BootClock::now() + Milliseconds(100),
                [&](const Result<ConfigChanges, RpcError>& result) {
                  failure = result.error().m_failure;
                });
  ASSERT_TRUE(RunUntil([&]() { return failure.has_value(); }));
  EXPECT_EQ(*failure, RpcFailure::kTimedOut);
  close(fd);
}

// Guards against a malformed or truncated message that stops the process or its
// service to others. The bytes are random, from a fixed seed.
TEST_F(PeerTest, RandomBytesDoNotStopTheServer) {
  std::mt19937 random(20261204);
  for (int round = 0; round < 200; ++round) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const SocketAddress address = SocketAddress::From(m_address);
    ASSERT_EQ(connect(fd, address.get(), address.m_length), 0);
    std::vector<uint8_t> bytes(random() % 256);
    for (uint8_t& byte : bytes) {
      // Small values make plausible message headers more often.
      byte = static_cast<uint8_t>(random() % (round % 2 == 0 ? 256 : 4));
    }
    ASSERT_GE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
    g_main_context_iteration(nullptr, FALSE);
    close(fd);
  }
  PeerClient client(m_runtime, kKey);
  Start(client);
  EXPECT_TRUE(RunUntil([&]() { return !m_handler.m_started.empty(); }));
  EXPECT_TRUE(RunUntil([&]() { return m_server->connections() == 1; }));
}

// Guards against a settle that a restarted process answers at the address of
// its earlier incarnation: it knows nothing of what that one has started.
TEST_F(PeerTest, SettleIsNotAnsweredByALaterIncarnation) {
  PeerClient client(m_runtime, kKey);
  const StartCommand start = Command();
  const SettleCommand settle{start.m_partition, start.m_epoch, 10, start.m_task,
                             start.m_first_sent};
  std::optional<Result<StartReply, RpcError>> result;
  client.Settle(Server(), settle, [&](Result<StartReply, RpcError> reply) {
    result = std::move(reply);
  });
  ASSERT_TRUE(RunUntil([&]() { return result.has_value(); }));
  EXPECT_FALSE(*result && std::holds_alternative<TaskNotStarted>(
                              result->value().m_outcome))
      << "incarnation 2 answered for incarnation 1";
}

}  // namespace
}  // namespace comfreyshift
