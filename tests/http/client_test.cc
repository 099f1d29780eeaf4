#include "http/client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

#include "tests/http/raw_server.h"
#include "tests/standins/busy_loop.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

HttpCall Post(std::string path = "/run") {
  HttpCall call;
  call.m_path = std::move(path);
  call.m_body = R"({"run_ms": 5})";
  call.m_deadline = BootClock::now() + 5s;
  return call;
}

// The host in the URLs of the servers: an address is called over plain sockets,
// a name through libsoup.
class HttpClientTest : public testing::TestWithParam<const char*> {
 protected:
  static std::string WithHost(std::string url) {
    const std::string address = "127.0.0.1";
    const size_t at = url.find(address);
    return at == std::string::npos
               ? url
               : url.replace(at, address.size(), GetParam());
  }
  static std::shared_ptr<HttpClient> MakeClient(const std::string& url,
                                                uint32_t connections = 8);
};

std::shared_ptr<HttpClient> HttpClientTest::MakeClient(const std::string& url,
                                                       uint32_t connections) {
  HttpClientOptions options;
  options.m_base_url = WithHost(url);
  options.m_connections = connections;
  return HttpClient::Make(options).value();
}

// Runs the main loop for a while, so that a late second sending would show.
void RunLoop(Milliseconds time) {
  const MonoTime end = BootClock::now() + time;
  while (BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(1000);
  }
}

TEST_P(HttpClientTest, ReusesTheConnectionForPosts) {
  RawServer server;
  const auto client = MakeClient(server.url());
  for (int i = 0; i < 3; ++i) {
    const HttpCallResult result = client->SendAndWait(Post());
    ASSERT_TRUE(result) << result.error().m_detail;
    EXPECT_EQ(result.value().m_body, "ok");
  }
  EXPECT_EQ(server.requests(), 3);
  EXPECT_EQ(server.connections(), 1);
}

// A new connection that breaks after the request must not be tried again.
TEST_P(HttpClientTest, SendsOnceWhenANewConnectionBreaks) {
  RawServer server;
  server.m_actions = {RawAction::kCloseAfterReading};
  const auto client = MakeClient(server.url());
  const HttpCallResult result = client->SendAndWait(Post());
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_state, HttpCallState::kMayHaveBeenProcessed);
  RunLoop(50ms);
  EXPECT_EQ(server.requests(), 1);
}

// libsoup sends a message marked as idempotent again when a kept-alive
// connection breaks before the answer. A target would run the task twice.
TEST_P(HttpClientTest, SendsOnceWhenAKeptConnectionBreaks) {
  for (const char* method : {"POST", "PUT", "GET"}) {
    RawServer server;
    server.m_actions = {RawAction::kReply, RawAction::kCloseAfterReading};
    const auto client = MakeClient(server.url());
    ASSERT_TRUE(client->SendAndWait(Post()));
    HttpCall call = Post();
    call.m_method = method;
    if (call.m_method == "GET") {
      call.m_body.clear();
    }
    const HttpCallResult result = client->SendAndWait(std::move(call));
    ASSERT_FALSE(result) << method;
    EXPECT_EQ(result.error().m_state, HttpCallState::kMayHaveBeenProcessed);
    RunLoop(50ms);
    EXPECT_EQ(server.requests(), 2) << method;
    EXPECT_EQ(server.connections(), 1) << method;
  }
}

// A connection that the server closed while it was idle is not used again.
TEST_P(HttpClientTest, NoticesAClosedIdleConnection) {
  RawServer server;
  server.m_actions = {RawAction::kReplyAndClose};
  const auto client = MakeClient(server.url());
  ASSERT_TRUE(client->SendAndWait(Post()));
  RunLoop(20ms);
  EXPECT_TRUE(client->SendAndWait(Post()));
  EXPECT_EQ(server.requests(), 2);
}

TEST_P(HttpClientTest, SendsAtMostOnceWhenTheServerClosesAfterAccepting) {
  RawServer server;
  server.m_actions = {RawAction::kCloseAfterAccepting};
  const auto client = MakeClient(server.url());
  const HttpCallResult result = client->SendAndWait(Post());
  EXPECT_FALSE(result);
  RunLoop(50ms);
  EXPECT_EQ(server.requests(), 0);
  EXPECT_EQ(server.connections(), 1);
}

// "Not run" must be told for a target that is down, and only then.
TEST_P(HttpClientTest, KnowsThatARefusedConnectionSentNothing) {
  std::string url;
  {
    const RawServer server;
    url = server.url();
  }
  const HttpCallResult result = MakeClient(url)->SendAndWait(Post());
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_state, HttpCallState::kNotSent);
  EXPECT_EQ(result.error().m_failure, HttpCallFailure::kConnection);
}

// The proof of freshness can expire while a call waits for a connection.
TEST_P(HttpClientTest, SendsNothingWhenItMayNot) {
  RawServer server;
  const auto client = MakeClient(server.url());
  for (int i = 0; i < 2; ++i) {
    HttpCall call = Post();
    call.m_may_send = [] { return false; };
    const HttpCallResult result = client->SendAndWait(std::move(call));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_state, HttpCallState::kNotSent);
    RunLoop(20ms);
    EXPECT_EQ(server.requests(), i);
    // The second round uses a kept-alive connection.
    ASSERT_TRUE(client->SendAndWait(Post()));
  }
}

TEST_P(HttpClientTest, EndsACallAtItsDeadline) {
  RawServer server;
  server.m_actions = {RawAction::kNeverReply};
  const auto client = MakeClient(server.url(), 1);
  HttpCall call = Post();
  call.m_deadline = BootClock::now() + 50ms;
  std::optional<HttpCallResult> waiting;
  client->Send(call, [&](const HttpCallResult& result) { waiting = result; });
  // The second call waits for the only connection until its deadline.
  const HttpCallResult second = client->SendAndWait(call);
  RunLoop(20ms);
  ASSERT_TRUE(waiting && !*waiting);
  EXPECT_EQ(waiting->error().m_failure, HttpCallFailure::kDeadline);
  EXPECT_EQ(waiting->error().m_state, HttpCallState::kMayHaveBeenProcessed);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().m_state, HttpCallState::kNotSent);
  EXPECT_EQ(server.requests(), 1);
}

// Guards against calls that last for as long as other input keeps coming.
TEST_P(HttpClientTest, EndsACallAtItsDeadlineWhileTheLoopIsBusy) {
  RawServer server;
  server.m_actions = {RawAction::kNeverReply};
  const auto client = MakeClient(server.url(), 1);
  HttpCall call = Post();
  call.m_deadline = BootClock::now() + 50ms;
  std::optional<HttpCallResult> ended;
  client->Send(call, [&](const HttpCallResult& result) { ended = result; });
  const BusyLoop busy_loop;
  RunLoop(200ms);
  ASSERT_TRUE(ended && !*ended);
  EXPECT_EQ(ended->error().m_failure, HttpCallFailure::kDeadline);
}

TEST_P(HttpClientTest, KeepsTheConnectionLimit) {
  RawServer server;
  const auto client = MakeClient(server.url(), 2);
  int answers = 0;
  for (int i = 0; i < 20; ++i) {
    client->Send(Post(), [&](const HttpCallResult& result) {
      answers += result.has_value() ? 1 : 0;
    });
  }
  RunLoop(200ms);
  EXPECT_EQ(answers, 20);
  EXPECT_EQ(server.connections(), 2);
}

// An answer without end must not fill the memory.
TEST_P(HttpClientTest, RejectsATooLargeAnswer) {
  RawServer server;
  HttpClientOptions options{WithHost(server.url())};
  options.m_max_answer_bytes = 1;
  const auto client = HttpClient::Make(options).value();
  const HttpCallResult result = client->SendAndWait(Post());
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_failure, HttpCallFailure::kAnswerTooLarge);
}

// Destroying the client must not call back into destroyed owners.
TEST_P(HttpClientTest, EndsSilentlyWhenDestroyed) {
  RawServer server;
  server.m_actions = {RawAction::kNeverReply};
  bool is_called = false;
  {
    const auto client = MakeClient(server.url());
    client->Send(Post(), [&](const HttpCallResult&) { is_called = true; });
    RunLoop(20ms);
  }
  RunLoop(20ms);
  EXPECT_FALSE(is_called);
}

// A runner's id is sent as a header and comes from outside; runners have IPv4
// addresses.
TEST(PlainClientTest, SendsNoHeaderThatEndsItsLine) {
  RawServer server;
  const auto client = HttpClient::Make({server.url()}).value();
  HttpCall call = Post();
  call.m_headers = {{"Target-Instance", "i\r\nX: 1"}};
  const HttpCallResult result = client->SendAndWait(std::move(call));
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_state, HttpCallState::kNotSent);
  EXPECT_EQ(server.requests(), 0);
}

TEST_P(HttpClientTest, ACancelledCallSaysWhetherItWasSent) {
  RawServer server;
  server.m_actions = {RawAction::kNeverReply};
  const auto client = MakeClient(server.url(), 1);
  std::optional<HttpCallState> sent_state;
  std::optional<HttpCallState> waiting_state;
  const auto note = [](std::optional<HttpCallState>& state) {
    return [&state](const HttpCallResult& result) {
      ASSERT_FALSE(result);
      EXPECT_EQ(result.error().m_failure, HttpCallFailure::kCancelled);
      state = result.error().m_state;
    };
  };
  const uint64_t sent = client->Send(Post(), note(sent_state));
  const uint64_t waiting = client->Send(Post(), note(waiting_state));
  RunLoop(30ms);
  client->Cancel(waiting);
  client->Cancel(sent);
  EXPECT_FALSE(sent_state || waiting_state);
  RunLoop(30ms);
  EXPECT_EQ(sent_state, HttpCallState::kMayHaveBeenProcessed);
  EXPECT_EQ(waiting_state, HttpCallState::kNotSent);
}

TEST(HttpClientUrlTest, RejectsFaultyUrls) {
  for (const char* url : {"", "127.0.0.1:80", "ftp://127.0.0.1", "http://"}) {
    EXPECT_FALSE(HttpClient::Make({url})) << url;
  }
}

INSTANTIATE_TEST_SUITE_P(PlainAndSoup,
                         HttpClientTest,
                         testing::Values("127.0.0.1", "localhost"));

}  // namespace
}  // namespace comfreyshift
