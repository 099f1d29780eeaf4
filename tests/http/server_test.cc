#include "http/server.h"

#include <gio/gio.h>
#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>

#include "http/client.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t kMaxBody = 1000;
const std::string kCallerToken = "caller-token";
const std::string kOperatorToken = "operator-token";

template <class Condition>
bool RunUntil(Condition condition, Milliseconds limit = 2000ms) {
  const MonoTime end = BootClock::now() + limit;
  while (!condition() && BootClock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(200);
  }
  return condition();
}

// A connection below any HTTP library.
class RawClient {
 public:
  explicit RawClient(const Address& address) {
    GSocketClient* client = g_socket_client_new();
    m_connection = g_socket_client_connect_to_host(
        client, address.m_host.c_str(), address.m_port, nullptr, nullptr);
    g_object_unref(client);
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool is_connected() const { return m_connection != nullptr; }

  bool Write(std::string_view text) {
    return g_socket_send(g_socket_connection_get_socket(m_connection),
                         text.data(), text.size(), nullptr, nullptr) > 0;
  }

  // Runs the main loop until an answer or the end of the connection arrives.
  std::string Read() {
    GSocket* socket = g_socket_connection_get_socket(m_connection);
    g_socket_set_blocking(socket, FALSE);
    std::string text;
    RunUntil([&] {
      char buffer[4096];
      const gssize size =
          g_socket_receive(socket, buffer, sizeof(buffer), nullptr, nullptr);
      text.append(buffer, std::max<gssize>(size, 0));
      return size == 0 || !text.empty();
    });
    return text;
  }

  void Close() {
    if (m_connection != nullptr) {
      g_io_stream_close(G_IO_STREAM(m_connection), nullptr, nullptr);
      g_object_unref(std::exchange(m_connection, nullptr));
    }
  }

 private:
  GSocketConnection* m_connection = nullptr;
};

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() {
    m_server->AddRoute("POST", "/v1/echo", PublicAccess{},
                       [](const auto& request) {
                         request->Reply(200, "text/plain", request->body());
                       });
    m_server->AddRoute("POST", "/v1/json", PublicAccess{},
                       [](const auto& request) {
                         nlohmann::json body;
                         if (ParseJsonBody(*request, body)) {
                           request->ReplyJson(200, body);
                         }
                       });
    m_server->AddRoute(
        "GET", "/v1/jobs/{}", CallerAccess{[this]() -> const auto& {
          return m_tokens;
  }},
        [](const auto& request) {
  request->ReplyJson(200, {{"client", request->client()},
                           {"key", request->arguments().at(0)},
                           {"limit", request->Query("limit").value_or("")}});
        });
m_server->AddRoute("POST",
                   "/v1/zones/{}/close",
                   OperatorAccess{kOperatorToken},
                   [](const auto& request) {
                     request->ReplyJson(200, "closed");
                   });
m_server->AddRoute("POST",
                   "/v1/wait",
                   PublicAccess{},
                   [this](const auto& request) { m_waiting = request; });
m_address = m_server->Listen({"127.0.0.1", 0}).value();
Connect("http");
}  // namespace

void Connect(const std::string& scheme) {
  HttpClientOptions options;
  options.m_base_url = scheme + "://" + m_address.ToString();
  m_client = HttpClient::Make(options).value();
}

static HttpCall Call(const std::string& method,
                     const std::string& path,
                     const std::string& body = "",
                     const std::string& token = "") {
  HttpCall call;
  call.m_method = method;
  call.m_path = path;
  call.m_body = body;
  call.m_deadline = BootClock::now() + 3s;
  if (!token.empty()) {
    call.m_headers["Authorization"] = "Bearer " + token;
  }
  return call;
}

// Returns status and error code.
std::pair<int, std::string> Send(const HttpCall& call) {
  const HttpCallResult result = m_client->SendAndWait(call);
  if (!result) {
    return {0, result.error().m_detail};
  }
  const auto body =
      nlohmann::json::parse(result.value().m_body, nullptr, false);
  const bool has_error = body.is_object() && body.contains("error");
  return {result.value().m_status,
          has_error ? body["error"]["code"].get<std::string>() : ""};
}

using Answer = std::pair<int, std::string>;

std::vector<ClientToken> m_tokens = {{"crews", TokenSha256(kCallerToken)},
                                     {"trucks", TokenSha256("other")}};
std::unique_ptr<HttpServer> m_server = std::make_unique<HttpServer>(kMaxBody);
Address m_address;
std::shared_ptr<HttpClient> m_client;
std::shared_ptr<HttpRequest> m_waiting;
};  // namespace comfreyshift

TEST_F(HttpServerTest, RoutesByMethodAndPath) {
  EXPECT_EQ(Send(Call("POST", "/v1/echo", "x")), Answer(200, ""));
  EXPECT_EQ(Send(Call("POST", "/nothing")), Answer(404, "unknown_path"));
  EXPECT_EQ(Send(Call("POST", "/v1/echo/")), Answer(404, "unknown_path"));
  EXPECT_EQ(Send(Call("POST", "/v1/echo/x")), Answer(404, "unknown_path"));
  EXPECT_EQ(Send(Call("GET", "/v1/jobs/", "", kCallerToken)),
            Answer(404, "unknown_path"));
  EXPECT_EQ(Send(Call("GET", "/v1/echo")), Answer(405, "wrong_method"));
  const auto result = m_client->SendAndWait(Call("DELETE", "/v1/echo"));
  EXPECT_EQ(result.value().m_headers.at("allow"), "POST");
}

TEST_F(HttpServerTest, GivesArgumentsQueryAndClient) {
  const auto result = m_client->SendAndWait(
      Call("GET", "/v1/jobs/k1?limit=a%20b&x", "", kCallerToken));
  EXPECT_EQ(result.value().m_body,
            R"({"client":"crews","key":"k1","limit":"a b"})");
}

// A token of the wrong kind must not open a route.
TEST_F(HttpServerTest, ChecksTokens) {
  for (const std::string& token :
       {std::string(), std::string("caller-toke"), std::string("caller-token1"),
        TokenSha256(kCallerToken), kOperatorToken}) {
    EXPECT_EQ(Send(Call("GET", "/v1/jobs/k", "", token)),
              Answer(401, "unauthorized"))
        << token;
  }
  const std::string path = "/v1/zones/medina/close";
  EXPECT_EQ(Send(Call("POST", path, "", kOperatorToken)), Answer(200, ""));
  EXPECT_EQ(Send(Call("POST", path, "", kCallerToken)),
            Answer(401, "unauthorized"));
  m_tokens.clear();
  EXPECT_EQ(Send(Call("GET", "/v1/jobs/k", "", kCallerToken)),
            Answer(401, "unauthorized"));
}

// An empty token file must not let everyone in.
TEST(TokenTest, RejectsEmptyTokens) {
  EXPECT_FALSE(Authorize(OperatorAccess{""}, ""));
  EXPECT_FALSE(Authorize(OperatorAccess{""}, std::nullopt));
  EXPECT_FALSE(BearerToken("Bearer "));
  EXPECT_FALSE(BearerToken("Basic abc"));
  EXPECT_EQ(BearerToken("bearer abc"), "abc");
}

TEST_F(HttpServerTest, RejectsMalformedJson) {
  EXPECT_EQ(Send(Call("POST", "/v1/json", R"({"a":1})")), Answer(200, ""));
  for (const char* body :
       {"", "{", "[]", "5", R"({"a":1,"a":2})", "{}x", "{\"a\":\"\xff\"}"}) {
    EXPECT_EQ(Send(Call("POST", "/v1/json", body)),
              Answer(400, "malformed_request"))
        << body;
  }
  EXPECT_EQ(Send(Call("POST", "/v1/json", std::string(kMaxBody, '['))),
            Answer(400, "malformed_request"));
}

// A body over the limit must be refused, with and without a length.
TEST_F(HttpServerTest, LimitsBodies) {
  EXPECT_EQ(Send(Call("POST", "/v1/echo", std::string(kMaxBody, 'x'))),
            Answer(200, ""));
  EXPECT_EQ(Send(Call("POST", "/v1/echo", std::string(kMaxBody + 1, 'x'))),
            Answer(413, "body_too_large"));
  RawClient client(m_address);
  client.Write(
      "POST /v1/echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3E9\r\n" +
      std::string(kMaxBody + 1, 'x') + "\r\n0\r\n\r\n");
  EXPECT_NE(client.Read().find("413"), std::string::npos);
}

// The head of a request says that its body is too large; waiting for the body
// would keep the client and the connection.
TEST_F(HttpServerTest, RefusesAnAnnouncedBodyFromTheHead) {
  RawClient client(m_address);
  client.Write(
      "POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: "
      "99999999999\r\n\r\n");
  EXPECT_NE(client.Read().find("413"), std::string::npos);
}

// Connections without requests use up the descriptors.
TEST_F(HttpServerTest, ClosesIdleConnections) {
  HttpServer server(kMaxBody, 300ms);
  const Address address = server.Listen({"127.0.0.1", 0}).value();
  RawClient client(address);
  ASSERT_TRUE(client.is_connected());
  const MonoTime opened_at = BootClock::now();
  EXPECT_EQ(client.Read(), "");
  EXPECT_GE(BootClock::now(), opened_at + 250ms);
  EXPECT_LT(BootClock::now(), opened_at + 1500ms);
}

// An endless body must not keep a connection forever.
TEST_F(HttpServerTest, CutsOffEndlessBodies) {
  RawClient client(m_address);
  client.Write(
      "POST /v1/echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n");
  const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
  int chunks = 0;
  while (chunks < 1000 && client.Write(chunk)) {
    ++chunks;
    RunUntil([] { return false; }, 1ms);
  }
  EXPECT_LT(chunks, 200);
  EXPECT_TRUE(RunUntil([&] { return m_server->pending() == 0; }));
}

TEST_F(HttpServerTest, SurvivesMalformedHttp) {
  for (const char* text :
       {"\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
        "POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        "POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nshort",
        "POST //%zz HTTP/1.1\r\nHost: a\r\n\r\n", "\x16\x03\x01"}) {
    RawClient client(m_address);
    client.Write(text);
    RunUntil([] { return false; }, 5ms);
  }
  EXPECT_EQ(Send(Call("POST", "/v1/echo", "x")), Answer(200, ""));
  EXPECT_TRUE(RunUntil([&] { return m_server->pending() == 0; }));
}

// A server that closes each connection after its answer makes a client's next
// request meet a broken connection, so that its outcome is unknown.
TEST_F(HttpServerTest, KeepsConnectionsAlive) {
  RawClient client(m_address);
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(client.Write(
        "POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
    EXPECT_NE(client.Read().find("200 OK"), std::string::npos) << i;
    RunUntil([] { return false; }, 5ms);
  }
  for (int i = 0; i < 500; ++i) {
    ASSERT_EQ(Send(Call("POST", "/v1/echo", "x")), Answer(200, "")) << i;
  }
}

size_t OpenDescriptors() {
  const std::filesystem::directory_iterator folder("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(folder), end(folder)));
}

// libsoup's own listener leaks a descriptor for each connection that a client
// closes, until the process can open no more.
// Returns how many descriptors a turn of the main loop polls.
size_t PolledDescriptors() {
  GMainContext* context = g_main_context_default();
  g_main_context_acquire(context);
  gint priority = 0;
  gint timeout = 0;
  g_main_context_prepare(context, &priority);
  std::vector<GPollFD> descriptors(1000);
  const gint count =
      g_main_context_query(context, G_MAXINT, &timeout, descriptors.data(),
                           static_cast<gint>(descriptors.size()));
  g_main_context_check(context, G_MAXINT, descriptors.data(), count);
  g_main_context_release(context);
  return static_cast<size_t>(count);
}

constexpr std::string_view kEchoRequest =
    "POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

// A turn of the main loop visits every source; with sources for each idle
// connection an entry spent most of its processor time on them.
TEST_F(HttpServerTest, IdleConnectionsCostTheMainLoopNothing) {
  std::vector<std::unique_ptr<RawClient>> clients;
  const size_t before = PolledDescriptors();
  for (size_t i = 0; i < 100; ++i) {
    clients.push_back(std::make_unique<RawClient>(m_address));
    clients.back()->Write(kEchoRequest);
    EXPECT_NE(clients.back()->Read().find("200 OK"), std::string::npos);
  }
  // The client may read the last answer before the server has taken the
  // connection back from libsoup, whose sources are still there until then.
  EXPECT_TRUE(RunUntil([&] { return PolledDescriptors() <= before + 2; }));
}

// A client may send its next requests before the answer to the first.
TEST_F(HttpServerTest, AnswersPipelinedRequests) {
  RawClient client(m_address);
  client.Write(std::string(kEchoRequest) + std::string(kEchoRequest) +
               std::string(kEchoRequest));
  std::string answers;
  for (size_t i = 0; i < 3 && answers.size() < 3 * 100; ++i) {
    answers += client.Read();
  }
  size_t count = 0;
  for (size_t at = answers.find("200 OK"); at != std::string::npos;
       at = answers.find("200 OK", at + 1)) {
    ++count;
  }
  EXPECT_EQ(count, 3U);
}

// A request may arrive in pieces, on a connection that has carried others.
TEST_F(HttpServerTest, ReadsRequestsThatArriveInPieces) {
  RawClient client(m_address);
  for (int i = 0; i < 3; ++i) {
    for (const char byte : kEchoRequest) {
      client.Write({&byte, 1});
      RunUntil([] { return false; }, 1ms);
    }
    EXPECT_NE(client.Read().find("200 OK"), std::string::npos);
  }
}

TEST_F(HttpServerTest, ClosesItsConnections) {
  const size_t before = OpenDescriptors();
  for (int i = 0; i < 60; ++i) {
    RawClient client(m_address);
    client.Write(i % 2 == 0 ? "POST /v1/echo HTTP/1.1\r\nHost: "
                              "a\r\nContent-Length: 0\r\n\r\n"
                            : "POST /v1/wait HTTP/1.1\r\nHost: "
                              "a\r\nContent-Length: 0\r\n\r\n");
    if (i % 2 == 0) {
      EXPECT_NE(client.Read(), "");
    } else {
      EXPECT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
      m_waiting.reset();
    }
  }
  EXPECT_TRUE(RunUntil([&] { return OpenDescriptors() <= before + 2; }))
      << before << " before, " << OpenDescriptors() << " after";
}

TEST_F(HttpServerTest, RepliesLater) {
  std::optional<int> status;
  m_client->Send(Call("POST", "/v1/wait", "x"), [&](const auto& result) {
    status = result ? result.value().m_status : 0;
  });
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  RunUntil([] { return false; }, 20ms);
  EXPECT_EQ(m_server->pending(), 1U);
  EXPECT_FALSE(m_waiting->is_disconnected());
  m_waiting->ReplyJson(200, "late");
  m_waiting->ReplyJson(500, "a second reply");
  EXPECT_TRUE(RunUntil([&] { return status.has_value(); }));
  EXPECT_EQ(status, 200);
  EXPECT_TRUE(RunUntil([&] { return m_server->pending() == 0; }));
}

// libsoup does not poll the socket of a paused request; without a watch of our
// own the job of a client that has gone would be held until its end.
TEST_F(HttpServerTest, SeesTheClientGo) {
  RawClient client(m_address);
  client.Write(
      "POST /v1/wait HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  int calls = 0;
  m_waiting->OnDisconnect([&] { ++calls; });
  // Data behind the request must not hide that the client has gone.
  client.Write("POST /v1/echo HTTP/1.1\r\n");
  RunUntil([] { return false; }, 10ms);
  EXPECT_EQ(calls, 0);
  client.Close();
  EXPECT_TRUE(RunUntil([&] { return calls == 1; }));
  EXPECT_TRUE(m_waiting->is_disconnected());
  EXPECT_TRUE(RunUntil([&] { return m_server->pending() == 0; }));
  m_waiting->ReplyJson(200, "too late");
  EXPECT_EQ(calls, 1);
}

// A planned stop must interrupt no request, and must not hang on idle
// connections.
TEST_F(HttpServerTest, StopsGracefully) {
  EXPECT_EQ(Send(Call("POST", "/v1/echo", "x")), Answer(200, ""));
  RawClient idle(m_address);
  idle.Write("POST /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  idle.Read();
  std::optional<int> status;
  m_client->Send(Call("POST", "/v1/wait", "x"), [&](const auto& result) {
    status = result ? result.value().m_status : 0;
  });
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  bool is_done = false;
  m_server->Stop([&] { is_done = true; });
  EXPECT_FALSE(is_done);
  EXPECT_FALSE(RawClient(m_address).is_connected());
  RunUntil([] { return false; }, 20ms);
  EXPECT_FALSE(is_done);
  EXPECT_FALSE(m_waiting->is_disconnected());
  m_waiting->ReplyJson(200, "finished");
  EXPECT_TRUE(RunUntil([&] { return is_done && status; }));
  EXPECT_EQ(status, 200);
}

TEST_F(HttpServerTest, StopsAtOnceWithoutRequests) {
  bool is_done = false;
  m_server->Stop([&] { is_done = true; });
  EXPECT_TRUE(RunUntil([&] { return is_done; }));
}

// A request that is held longer than its server must not be touched any more.
TEST_F(HttpServerTest, OutlivesTheServer) {
  m_client->Send(Call("POST", "/v1/wait", "x"), [](const auto&) {});
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  m_server.reset();
  m_waiting->ReplyJson(200, "nobody listens");
  EXPECT_EQ(m_waiting->Header("Host"), std::nullopt);
}

TEST_F(HttpServerTest, ReportsAnAddressInUse) {
  HttpServer second(kMaxBody);
  const auto result = second.Listen(m_address);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_code, HttpErrorCode::kListen);
}

// Writes a self-signed certificate for 127.0.0.1 that is valid for an hour.
void WriteCertificate(const std::string& certificate, const std::string& key) {
  EVP_PKEY* pair = EVP_EC_gen("P-256");
  X509* x509 = X509_new();
  X509_set_version(x509, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
  X509_gmtime_adj(X509_getm_notBefore(x509), -60);
  X509_gmtime_adj(X509_getm_notAfter(x509), 3600);
  X509_set_pubkey(x509, pair);
  X509_NAME* name = X509_get_subject_name(x509);
  X509_NAME_add_entry_by_txt(
      name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
  X509_set_issuer_name(x509, name);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(
      nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
  X509_add_ext(x509, extension, -1);
  X509_EXTENSION_free(extension);
  X509_sign(x509, pair, EVP_sha256());
  FILE* file = std::fopen(certificate.c_str(), "w");
  PEM_write_X509(file, x509);
  std::fclose(file);
  file = std::fopen(key.c_str(), "w");
  PEM_write_PrivateKey(file, pair, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(file);
  X509_free(x509);
  EVP_PKEY_free(pair);
}

TEST_F(HttpServerTest, ServesTls) {
  // Other checkouts may run the same test at the same time.
  const std::string prefix =
      testing::TempDir() + "http_test_" + std::to_string(getpid());
  const std::string certificate = prefix + "_cert.pem";
  const std::string key = prefix + "_key.pem";
  WriteCertificate(certificate, key);
  m_server = std::make_unique<HttpServer>(kMaxBody);
  EXPECT_FALSE(m_server->UseTls("/nonexistent", key));
  ASSERT_TRUE(m_server->UseTls(certificate, key));
  m_server->AddRoute("POST", "/v1/wait", PublicAccess{},
                     [this](const auto& request) { m_waiting = request; });
  m_address = m_server->Listen({"127.0.0.1", 0}).value();
  // A server that nobody vouches for gets nothing.
  Connect("https");
  const auto untrusted = m_client->SendAndWait(Call("POST", "/v1/wait"));
  ASSERT_FALSE(untrusted);
  EXPECT_EQ(untrusted.error().m_state, HttpCallState::kNotSent);
  HttpClientOptions options;
  options.m_base_url = "https://" + m_address.ToString();
  options.m_authorities = certificate;
  m_client = HttpClient::Make(options).value();
  std::optional<int> status;
  m_client->Send(Call("POST", "/v1/wait"), [&](const auto& result) {
    status = result ? result.value().m_status : 0;
  });
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  m_waiting->ReplyJson(200, "over TLS");
  EXPECT_TRUE(RunUntil([&] { return status.has_value(); }));
  EXPECT_EQ(status, 200);
  // The client's end must be seen through TLS as well.
  m_waiting.reset();
  const uint64_t call =
      m_client->Send(Call("POST", "/v1/wait"), [](const auto&) {});
  ASSERT_TRUE(RunUntil([&] { return m_waiting != nullptr; }));
  m_client->Cancel(call);
  EXPECT_TRUE(RunUntil([&] { return m_waiting->is_disconnected(); }));
  std::filesystem::remove(certificate);
  std::filesystem::remove(key);
}

}  // namespace
}  // namespace comfreyshift
