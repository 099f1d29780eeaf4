#include "http/connection_watch.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

#include "http/client.h"
#include "tests/http/raw_server.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

class ConnectionWatchTest : public testing::Test {
 protected:
  std::shared_ptr<HttpClient> MakeClient(const std::string& url) {
    HttpClientOptions options;
    options.m_base_url = url;
    options.m_connection_watch = m_watch;
    return HttpClient::Make(options).value();
  }

  static HttpCall Post(Milliseconds timeout = 5s) {
    HttpCall call;
    call.m_path = "/run";
    call.m_body = "{}";
    call.m_deadline = BootClock::now() + timeout;
    return call;
  }

  static void RunLoop(Milliseconds time) {
    const MonoTime end = BootClock::now() + time;
    while (BootClock::now() < end) {
      g_main_context_iteration(nullptr, FALSE);
      g_usleep(1000);
    }
  }

  std::shared_ptr<ConnectionWatch> m_watch =
      std::make_shared<ConnectionWatch>();
};

// Guards against losses that calm use reports: each delays starts.
TEST_F(ConnectionWatchTest, KeptConnectionsAreNoLoss) {
  RawServer server;
  const auto polls = MakeClient(server.url());
  const auto requests = MakeClient(server.url());
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(polls->SendAndWait(Post()));
    ASSERT_TRUE(requests->SendAndWait(Post()));
  }
  // A call without a response, whose connection the client closes.
  server.m_actions = {RawAction::kNeverReply};
  EXPECT_FALSE(requests->SendAndWait(Post(50ms)));
  EXPECT_EQ(m_watch->losses(), 0U);
}

// Guards against a restart of the server that is not noticed: its process
// closes idle connections and those with a call.
TEST_F(ConnectionWatchTest, ConnectionThatTheServerEndsIsALoss) {
  RawServer server;
  const auto client = MakeClient(server.url());
  const auto other = MakeClient(server.url());
  ASSERT_TRUE(other->SendAndWait(Post()));
  server.m_actions = {RawAction::kReplyAndClose};
  ASSERT_TRUE(client->SendAndWait(Post()));
  RunLoop(20ms);
  EXPECT_EQ(m_watch->losses(), 1U);
  server.m_actions = {RawAction::kCloseAfterReading};
  EXPECT_FALSE(client->SendAndWait(Post()));
  EXPECT_EQ(m_watch->losses(), 2U);
}

TEST_F(ConnectionWatchTest, RefusedConnectionIsALoss) {
  std::string url;
  {
    const RawServer server;
    url = server.url();
  }
  EXPECT_FALSE(MakeClient(url)->SendAndWait(Post()));
  EXPECT_EQ(m_watch->losses(), 1U);
}

// Guards against a restart that no connection shows because none was open.
TEST_F(ConnectionWatchTest, CloseOfTheLastConnectionIsALoss) {
  RawServer server;
  const auto client = MakeClient(server.url());
  ASSERT_TRUE(client->SendAndWait(Post()));
  server.m_actions = {RawAction::kNeverReply};
  EXPECT_FALSE(client->SendAndWait(Post(50ms)));
  EXPECT_EQ(m_watch->losses(), 1U);
}

// Guards against a request that reaches a restarted server on a new connection
// before the ends of the earlier ones have been read.
TEST(ConnectionWatchSocketTest, UnreadEndsCountBeforeANewConnectionIsUsed) {
  ConnectionWatch watch;
  std::array<std::array<int, 2>, 3> pairs{};
  for (auto& pair : pairs) {
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()), 0);
  }
  watch.OnOpened(pairs[0][0]);
  watch.OnOpened(pairs[1][0]);
  EXPECT_EQ(watch.losses(), 0U);
  close(pairs[0][1]);
  close(pairs[1][1]);
  watch.OnOpened(pairs[2][0]);
  EXPECT_EQ(watch.losses(), 1U);
  // Ends that are counted already do not count again when they are read.
  watch.OnClosed(pairs[0][0], /*by_server=*/true);
  watch.OnClosed(pairs[1][0], /*by_server=*/true);
  EXPECT_EQ(watch.losses(), 1U);
  for (const auto& pair : pairs) {
    close(pair[0]);
  }
  close(pairs[2][1]);
}

}  // namespace
}  // namespace comfreyshift
