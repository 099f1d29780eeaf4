#include <gio/gio.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "http/http.h"

// What a server with a budget and bounds does with clients that misbehave.
namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

constexpr size_t kBodyBytes = 64 << 10;
constexpr size_t kBudgetBytes = 512 << 10;

template <class Condition>
bool RunUntil(Condition condition, Milliseconds limit = 3000ms) {
  const MonoTime end = BootClock::now() + limit;
  while (!condition() && BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(200);
  }
  return condition();
}

// A connection below any HTTP library, which never waits.
class Connection {
 public:
  explicit Connection(const Address& address) {
    GSocketClient* client = g_socket_client_new();
    m_connection = g_socket_client_connect_to_host(
        client, address.m_host.c_str(), address.m_port, nullptr, nullptr);
    g_object_unref(client);
    m_socket = g_socket_connection_get_socket(m_connection);
    g_socket_set_blocking(m_socket, FALSE);
  }
  ~Connection() {
    g_io_stream_close(G_IO_STREAM(m_connection), nullptr, nullptr);
    g_object_unref(m_connection);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Runs the main loop until all is written, or the connection is broken.
  bool Write(std::string_view text) {
    bool is_broken = false;
    RunUntil([&] {
      GError* error = nullptr;
      const gssize size =
          g_socket_send(m_socket, text.data(), text.size(), nullptr, &error);
      if (size > 0) {
        text.remove_prefix(static_cast<size_t>(size));
      } else {
        is_broken = !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_clear_error(&error);
      }
      return text.empty() || is_broken;
    });
    return text.empty();
  }

  // Reads what has arrived. Returns whether the connection is still open.
  bool Read() {
    char buffer[4096];
    GError* error = nullptr;
    const gssize size =
        g_socket_receive(m_socket, buffer, sizeof(buffer), nullptr, &error);
    if (size > 0) {
      m_text.append(buffer, static_cast<size_t>(size));
      return true;
    }
    const bool is_open =
        size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return is_open;
  }

  bool RunUntilText(std::string_view text) {
    return RunUntil([&] {
      Read();
      return m_text.find(text) != std::string::npos;
    });
  }
  bool RunUntilEnd() {
    return RunUntil([&] { return !Read(); });
  }
  const std::string& text() const { return m_text; }

 private:
  GSocketConnection* m_connection;
  GSocket* m_socket;
  std::string m_text;
};

class ServerLimitsTest : public testing::Test {
 protected:
  void Start(HttpServerOptions options) {
    options.m_max_body_bytes = kBodyBytes;
    options.m_sweep_interval = 20ms;
    options.m_budget = m_budget;
    m_server = std::make_unique<HttpServer>(options);
    m_server->AddRoute("POST", "/echo", PublicAccess{},
                       [this](const auto& request) {
                         ++m_handled;
                         m_body = request->body();
                         request->Reply(200, "text/plain", "taken");
                       });
    m_server->AddRoute("POST", "/wait", PublicAccess{},
                       [this](const auto& request) { m_waiting = request; });
    m_address = m_server->Listen({"127.0.0.1", 0}).value();
  }

  static std::string Head(const std::string& path, size_t length) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
  }
  static std::string ChunkedHead() {
    return "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
           "chunked\r\n\r\n";
  }

  // An ordinary request must be answered after all that clients did.
  bool Serves() {
    Connection connection(m_address);
    connection.Write(Head("/echo", 1) + "x");
    return connection.RunUntilText("taken");
  }

  std::shared_ptr<ClientBudget> m_budget =
      std::make_shared<ClientBudget>(ClientBudgetLimits{kBudgetBytes, 40});
  std::unique_ptr<HttpServer> m_server;
  Address m_address;
  std::shared_ptr<HttpRequest> m_waiting;
  std::string m_body;
  int m_handled = 0;
};

// Many bodies that stop one byte short were held without bound.
TEST_F(ServerLimitsTest, ClosesConnectionsThatHoldTooMuch) {
  Start({});
  std::vector<std::unique_ptr<Connection>> crowd;
  const std::string body(kBodyBytes - 1, 'x');
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(std::make_unique<Connection>(m_address));
    crowd.back()->Write(Head("/echo", kBodyBytes));
    crowd.back()->Write(body);
    RunUntil([] { return false; }, 5ms);
    ASSERT_LE(m_budget->bytes(), kBudgetBytes);
  }
  EXPECT_GT(m_budget->count(ClientLimit::kMemory), 0U);
  EXPECT_TRUE(Serves());
  EXPECT_EQ(m_handled, 1);
  crowd.clear();
  EXPECT_TRUE(RunUntil([&] { return m_budget->connections() == 0; }));
  EXPECT_EQ(m_budget->bytes(), 0U);
}

// A request that is being run must be answered whatever others send.
TEST_F(ServerLimitsTest, KeepsRunningRequests) {
  Start({});
  Connection job(m_address);
  job.Write(Head("/wait", kBodyBytes) + std::string(kBodyBytes, 'j'));
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  std::vector<std::unique_ptr<Connection>> crowd;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(std::make_unique<Connection>(m_address));
    crowd.back()->Write(Head("/echo", kBodyBytes));
    crowd.back()->Write(std::string(kBodyBytes - 1, 'x'));
    RunUntil([] { return false; }, 5ms);
  }
  EXPECT_GT(m_budget->count(ClientLimit::kMemory), 0U);
  EXPECT_FALSE(m_waiting->is_disconnected());
  m_waiting->Reply(200, "text/plain", "done");
  EXPECT_TRUE(job.RunUntilText("done"));
}

// A refusal says that nothing was run, so no handler may be called.
TEST_F(ServerLimitsTest, RefusesWhileRunningRequestsHoldAll) {
  Start({});
  std::vector<std::unique_ptr<Connection>> jobs;
  std::vector<std::shared_ptr<HttpRequest>> running;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(std::make_unique<Connection>(m_address));
    jobs.back()->Write(Head("/wait", kBodyBytes));
    jobs.back()->Write(std::string(kBodyBytes, 'j'));
    RunUntil([&] { return m_waiting != nullptr; }, 300ms);
    if (m_waiting != nullptr) {
      running.push_back(std::exchange(m_waiting, nullptr));
    }
  }
  EXPECT_GE(running.size(), 6U);
  EXPECT_LT(running.size(), 12U);
  for (const auto& request : running) {
    EXPECT_FALSE(request->is_disconnected());
  }
  running.clear();
}

// libsoup kept an object of 100 bytes for each chunk of one byte.
TEST_F(ServerLimitsTest, ReadsSmallChunksIntoOneBuffer) {
  Start({});
  Connection client(m_address);
  client.Write(ChunkedHead());
  std::string chunks;
  for (int i = 0; i < 20'000; ++i) {
    chunks += "1\r\nx\r\n";
  }
  client.Write(chunks);
  EXPECT_LT(m_budget->peak_bytes(), 100U << 10);
  client.Write("0\r\n\r\n");
  EXPECT_TRUE(client.RunUntilText("taken"));
  EXPECT_EQ(m_body, std::string(20'000, 'x'));
}

// Reading chunks of one byte costs 7 us each.
TEST_F(ServerLimitsTest, RefusesBodiesInTinyPieces) {
  HttpServerOptions options;
  options.m_max_small_pieces = 100;
  options.m_min_piece_bytes = 16;
  Start(options);
  Connection client(m_address);
  client.Write(ChunkedHead());
  std::string chunks;
  for (int i = 0; i < 2'000; ++i) {
    chunks += "1\r\nx\r\n";
  }
  client.Write(chunks);
  EXPECT_TRUE(client.RunUntilText("body_pieces_too_small"));
  EXPECT_TRUE(Serves());
  EXPECT_EQ(m_handled, 1);
}

// An endless chunked body is cut at the limit, not at a multiple of it.
TEST_F(ServerLimitsTest, CutsChunkedBodiesAtTheLimit) {
  Start({});
  Connection client(m_address);
  client.Write(ChunkedHead());
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  for (size_t i = 0; i <= kBodyBytes / 0x1000; ++i) {
    client.Write(chunk);
  }
  EXPECT_TRUE(client.RunUntilText("413"));
  EXPECT_EQ(m_budget->count(ClientLimit::kBodyBytes), 1U);
  EXPECT_TRUE(Serves());
}

TEST_F(ServerLimitsTest, DecidesTheBodyLimitFromTheHead) {
  HttpServerOptions options;
  options.m_body_rule = [](const HttpRequest& request) {
    return request.path() == "/echo" ? BodyRule{1000}
                                     : BodyRule{10, 404, "unknown_queue"};
  };
  Start(options);
  Connection large(m_address);
  large.Write(Head("/echo", 1001));
  EXPECT_TRUE(large.RunUntilText("body_too_large"));
  Connection unrouted(m_address);
  unrouted.Write(Head("/other", 11));
  EXPECT_TRUE(unrouted.RunUntilText("unknown_queue"));
  EXPECT_EQ(unrouted.text().find("HTTP/1.1 404"), 0U);
  EXPECT_TRUE(Serves());
}

// No handler reads these bodies.
TEST_F(ServerLimitsTest, BoundsBodiesWithoutARoute) {
  HttpServerOptions options;
  options.m_max_unrouted_body_bytes = 100;
  Start(options);
  Connection unrouted(m_address);
  unrouted.Write(Head("/other", 101));
  EXPECT_TRUE(unrouted.RunUntilText("413"));
  Connection small(m_address);
  small.Write(Head("/other", 1) + "x");
  EXPECT_TRUE(small.RunUntilText("404"));
}

// 100 KiB hold 20,000 fields, which take 1.8 MB.
TEST_F(ServerLimitsTest, RefusesHeadsWithManyFields) {
  HttpServerOptions options;
  options.m_max_head_fields = 50;
  options.m_max_head_bytes = 2000;
  Start(options);
  std::string fields;
  for (int i = 0; i < 60; ++i) {
    fields += "a:1\r\n";
  }
  Connection many(m_address);
  many.Write("POST /echo HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
  EXPECT_TRUE(many.RunUntilText("HTTP/1.1 431"));
  Connection longer(m_address);
  longer.Write("POST /echo HTTP/1.1\r\nHost: a\r\na: " +
               std::string(2000, 'x') + "\r\n\r\n");
  EXPECT_TRUE(longer.RunUntilText("HTTP/1.1 431"));
  EXPECT_EQ(m_budget->count(ClientLimit::kHeadFields), 2U);
  EXPECT_TRUE(Serves());
  EXPECT_EQ(m_handled, 1);
}

TEST_F(ServerLimitsTest, ClosesIdleConnectionsInFavorOfNewOnes) {
  Start({});
  std::vector<std::unique_ptr<Connection>> crowd;
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(std::make_unique<Connection>(m_address));
    RunUntil([] { return false; }, 1ms);
    ASSERT_LE(m_budget->connections(), 40U);
  }
  EXPECT_TRUE(Serves());
  EXPECT_TRUE(crowd.front()->RunUntilEnd());
  EXPECT_TRUE(crowd.back()->Read());
}

TEST_F(ServerLimitsTest, EndsHeadsThatDoNotEnd) {
  HttpServerOptions options;
  options.m_head_timeout = 200ms;
  Start(options);
  Connection client(m_address);
  client.Write("POST /echo HTTP/1.1\r\nHost:");
  EXPECT_TRUE(client.RunUntilText("408"));
  EXPECT_EQ(m_budget->count(ClientLimit::kHeadTime), 1U);
  EXPECT_TRUE(RunUntil([&] { return m_budget->connections() == 0; }));
}

// Single bytes from time to time are no progress, larger steps are.
TEST_F(ServerLimitsTest, EndsBodiesWithoutProgress) {
  HttpServerOptions options;
  options.m_body_timeout = 300ms;
  options.m_min_body_progress = 100;
  Start(options);
  Connection drip(m_address);
  Connection steady(m_address);
  drip.Write(Head("/echo", 2000));
  steady.Write(Head("/echo", 2000));
  for (int i = 0; i < 20; ++i) {
    drip.Write("x");
    steady.Write(std::string(100, 'x'));
    RunUntil([] { return false; }, 50ms);
  }
  EXPECT_TRUE(steady.RunUntilText("taken"));
  EXPECT_TRUE(drip.RunUntilText("408"));
  EXPECT_EQ(m_budget->count(ClientLimit::kBodyTime), 1U);
  EXPECT_EQ(m_handled, 1);
}

// An answer that the client does not read holds memory.
TEST_F(ServerLimitsTest, EndsAnswersThatAreNotRead) {
  HttpServerOptions options;
  options.m_answer_timeout = 300ms;
  options.m_socket_buffer_bytes = 16 << 10;
  Start(options);
  Connection client(m_address);
  client.Write(Head("/wait", 0));
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  m_waiting->Reply(200, "text/plain", std::string(16 << 20, 'x'));
  EXPECT_TRUE(RunUntil([&] { return m_server->pending() == 0; }));
  EXPECT_EQ(m_budget->count(ClientLimit::kAnswerTime), 1U);
  EXPECT_TRUE(Serves());
}

// A handler may take longer than any of these deadlines.
TEST_F(ServerLimitsTest, WaitsForHandlers) {
  HttpServerOptions options;
  options.m_idle_timeout = 100ms;
  options.m_head_timeout = 100ms;
  options.m_body_timeout = 100ms;
  options.m_answer_timeout = 100ms;
  Start(options);
  Connection client(m_address);
  client.Write(Head("/wait", 1) + "x");
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  RunUntil([] { return false; }, 500ms);
  m_waiting->Reply(200, "text/plain", "done");
  EXPECT_TRUE(client.RunUntilText("done"));
}

// Requests sent ahead are served, or left to the client by closing.
TEST_F(ServerLimitsTest, BoundsRequestsSentAhead) {
  Start({});
  Connection client(m_address);
  std::string requests;
  for (int i = 0; i < 500; ++i) {
    requests += Head("/echo", 1) + "x";
  }
  client.Write(requests);
  EXPECT_TRUE(client.RunUntilEnd());
  EXPECT_GE(m_handled, 50);
  EXPECT_LE(m_handled, 100);
  EXPECT_TRUE(Serves());
}

}  // namespace
}  // namespace comfreyshift
