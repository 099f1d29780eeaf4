#include "http/client.h"

#include <libsoup/soup.h>

#include <optional>
#include <utility>
#include <variant>

#include "http/plain_client.h"
#include "http/soup_client.h"

namespace comfreyshift {

namespace {

constexpr int kHttpPort = 80;

// The parts of a base URL that matter here.
struct Server {
  bool m_is_tls = false;
  // The host may be a name.
  Address m_address;
  bool m_has_ipv4_address = false;
};

Result<Server, HttpError> ParseUrl(const std::string& url) {
  GError* error = nullptr;
  GUri* uri = g_uri_parse(url.c_str(),
                          static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS), &error);
  if (uri == nullptr) {
    HttpError failure{HttpErrorCode::kUrl, error->message};
    g_error_free(error);
    return failure;
  }
  const std::string scheme = g_uri_get_scheme(uri);
  const char* host = g_uri_get_host(uri);
  Server server;
  server.m_is_tls = scheme == "https";
  server.m_address.m_host = host == nullptr ? "" : host;
  const int port = g_uri_get_port(uri);
  server.m_address.m_port = static_cast<uint16_t>(port > 0 ? port : kHttpPort);
  g_uri_unref(uri);
  if ((scheme != "http" && !server.m_is_tls) ||
      server.m_address.m_host.empty()) {
    return HttpError{HttpErrorCode::kUrl,
                     url + " is not http(s)://HOST[:PORT]"};
  }
  const std::string& name = server.m_address.m_host;
  server.m_has_ipv4_address = g_hostname_is_ip_address(name.c_str()) != FALSE &&
                              name.find(':') == std::string::npos;
  return server;
}

}  // namespace

struct HttpClient::Impl {
  std::variant<std::shared_ptr<PlainClient>, std::shared_ptr<SoupClient>>
      m_client;
};

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpClient::~HttpClient() {
  std::visit([](const auto& client) { client->Abandon(); }, m_impl->m_client);
}

Result<std::shared_ptr<HttpClient>, HttpError> HttpClient::Make(
    const HttpClientOptions& options) {
  BOOST_OUTCOME_TRY(server, ParseUrl(options.m_base_url));
  auto impl = std::make_unique<Impl>();
  if (!server.m_is_tls && server.m_has_ipv4_address) {
    impl->m_client = std::make_shared<PlainClient>(
        server.m_address, options.m_connections, options.m_max_answer_bytes,
        options.m_connection_watch);
  } else {
    const auto client = std::make_shared<SoupClient>(options);
    if (options.m_authorities) {
      BOOST_OUTCOME_TRYV(client->Trust(*options.m_authorities));
    }
    impl->m_client = client;
  }
  return std::shared_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

uint64_t HttpClient::Send(HttpCall call, HttpCallback callback) {
  return std::visit(
      [&](const auto& client) {
        return client->Send(std::move(call), std::move(callback));
      },
      m_impl->m_client);
}

void HttpClient::Cancel(uint64_t id) {
  std::visit([id](const auto& client) { client->Cancel(id); },
             m_impl->m_client);
}

HttpCallResult HttpClient::SendAndWait(HttpCall call) {
  std::optional<HttpCallResult> result;
  Send(std::move(call),
       [&](HttpCallResult ended) { result.emplace(std::move(ended)); });
  while (!result) {
    g_main_context_iteration(g_main_context_get_thread_default(), TRUE);
  }
  return std::move(*result);
}

}  // namespace comfreyshift
