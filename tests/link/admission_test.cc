#include "link/admission.h"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "link/link.h"

// What an agent does with connections to its link address that are no entries.
namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

template <class Condition>
bool RunUntil(Condition condition, Milliseconds limit = 3000ms) {
  const MonoTime end = BootClock::now() + limit;
  while (!condition() && BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(200);
  }
  return condition();
}

class Client {
 public:
  explicit Client(uint16_t port) {
    GSocketClient* client = g_socket_client_new();
    m_connection = g_socket_client_connect_to_host(client, "127.0.0.1", port,
                                                   nullptr, nullptr);
    g_object_unref(client);
    m_socket = g_socket_connection_get_socket(m_connection);
    g_socket_set_blocking(m_socket, FALSE);
  }
  ~Client() {
    g_io_stream_close(G_IO_STREAM(m_connection), nullptr, nullptr);
    g_object_unref(m_connection);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Write(std::string_view text) {
    RunUntil([&] {
      const gssize size =
          g_socket_send(m_socket, text.data(), text.size(), nullptr, nullptr);
      text.remove_prefix(size > 0 ? static_cast<size_t>(size) : 0);
      return text.empty() || !is_open();
    });
  }
  bool is_open() const {
    char byte = 0;
    GError* error = nullptr;
    const gssize size = g_socket_receive(m_socket, &byte, 1, nullptr, &error);
    const bool would_block =
        size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return size > 0 || would_block;
  }

 private:
  GSocketConnection* m_connection;
  GSocket* m_socket;
};

std::string EncodeHello() {
  std::string bytes;
  const std::vector<LinkMessage> messages{Hello{{"entry", 7}}};
  EncodeBatch(messages, BootClock::now(), bytes);
  return bytes;
}

// The start of a frame of `length` bytes.
std::string FramePrefix(uint32_t length) {
  std::string bytes;
  for (int i = 0; i < 4; ++i) {
    bytes.push_back(static_cast<char>((length >> (8 * i)) & 0xFF));
  }
  return bytes;
}

class LinkAdmissionTest : public testing::Test {
 protected:
  LinkAdmissionTest() : m_service(g_socket_service_new()) {
    m_port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(m_service),
                                                 nullptr, nullptr);
    g_signal_connect(m_service, "incoming",
                     G_CALLBACK(&LinkAdmissionTest::OnIncoming), this);
    g_socket_service_start(m_service);
  }
  ~LinkAdmissionTest() override {
    for (const auto& session : m_sessions) {
      session->Close();
    }
    g_socket_service_stop(m_service);
    g_socket_listener_close(G_SOCKET_LISTENER(m_service));
    g_object_unref(m_service);
  }

  static gboolean OnIncoming(GSocketService*,
                             GSocketConnection* connection,
                             GObject*,
                             LinkAdmissionTest* self) {
    self->m_sessions.push_back(LinkSession::Accept(
        connection, [self](const auto&, const LinkMessage&) { ++self->m_read; },
        [](const auto&) {}, self->m_admission));
    return TRUE;
  }

  std::unique_ptr<Client> Connect() {
    const size_t before = m_sessions.size();
    auto client = std::make_unique<Client>(m_port);
    RunUntil([&] { return m_sessions.size() > before; });
    return client;
  }

  std::shared_ptr<ClientBudget> m_budget =
      std::make_shared<ClientBudget>(ClientBudgetLimits{size_t{4} << 20, 200});
  std::shared_ptr<LinkAdmission> m_admission =
      std::make_shared<LinkAdmission>(m_budget, 300ms);
  GSocketService* m_service;
  uint16_t m_port = 0;
  std::vector<std::shared_ptr<LinkSession>> m_sessions;
  int m_read = 0;
};

TEST_F(LinkAdmissionTest, ClosesConnectionsWithoutHello) {
  const auto silent = Connect();
  const auto entry = Connect();
  entry->Write(EncodeHello());
  EXPECT_TRUE(RunUntil([&] { return !silent->is_open(); }));
  EXPECT_TRUE(entry->is_open());
  EXPECT_EQ(m_read, 1);
  EXPECT_EQ(m_admission->pending(), 0U);
  EXPECT_EQ(m_budget->count(ClientLimit::kLinkHelloTime), 1U);
  EXPECT_EQ(m_budget->connections(), 1U);
}

// A crowd must not keep entries from connecting.
TEST_F(LinkAdmissionTest, ClosesTheOldestOfTooManyWithoutHello) {
  m_admission = std::make_shared<LinkAdmission>(m_budget);
  const auto entry = Connect();
  entry->Write(EncodeHello());
  ASSERT_TRUE(RunUntil([&] { return m_read == 1; }));
  std::vector<std::unique_ptr<Client>> crowd;
  for (size_t i = 0; i < kMaxPendingLinks + 10; ++i) {
    crowd.push_back(Connect());
  }
  EXPECT_EQ(m_admission->pending(), kMaxPendingLinks);
  EXPECT_FALSE(crowd[9]->is_open());
  EXPECT_TRUE(crowd[10]->is_open());
  EXPECT_TRUE(entry->is_open());
  const auto late = Connect();
  late->Write(EncodeHello());
  EXPECT_TRUE(RunUntil([&] { return m_read == 2; }));
  EXPECT_EQ(m_budget->count(ClientLimit::kLinkConnections), 11U);
}

// Anyone can announce a frame of 4 MiB.
TEST_F(LinkAdmissionTest, BoundsTheFirstFrame) {
  const auto client = Connect();
  client->Write(FramePrefix(4 << 20));
  client->Write(std::string(kMaxFirstFrameBytes + 1, 'x'));
  EXPECT_TRUE(RunUntil([&] { return !client->is_open(); }));
  EXPECT_EQ(m_budget->count(ClientLimit::kLinkFrame), 1U);
  EXPECT_EQ(m_budget->bytes(), 0U);
}

// After a Hello, which anyone can send, unfinished frames are charged, and the
// connections of entries stay.
TEST_F(LinkAdmissionTest, ChargesUnfinishedFrames) {
  const auto entry = Connect();
  entry->Write(EncodeHello());
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 6; ++i) {
    crowd.push_back(Connect());
    crowd.back()->Write(EncodeHello());
    crowd.back()->Write(FramePrefix(2 << 20));
    crowd.back()->Write(std::string((2 << 20) - 1, 'x'));
    RunUntil([] { return false; }, 20ms);
    EXPECT_LE(m_budget->bytes(), size_t{4} << 20);
  }
  EXPECT_GT(m_budget->count(ClientLimit::kMemory), 0U);
  EXPECT_TRUE(entry->is_open());
}

}  // namespace
}  // namespace comfreyshift
