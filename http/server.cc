#include "http/server.h"

#include <libsoup/soup.h>

#include <map>
#include <utility>
#include <vector>

#include "http/message_socket.h"
#include "http/server_connection.h"
#include "http/server_listener.h"
#include "http/soup_server.h"

namespace comfreyshift {

namespace {

// A client that goes on sending a refused body is cut off after this many times
// the limit, and this many bytes more.
constexpr uint64_t kCutOffFactor = 2;
constexpr uint64_t kCutOffBytes = 1 << 20;

// Idle connections are looked for this many times within the timeout.
constexpr int64_t kIdleChecks = 3;

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const size_t slash = path.find('/');
    parts.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos) {
      return parts;
    }
    path.remove_prefix(slash + 1);
    if (path.empty()) {
      parts.emplace_back();
    }
  }
  return parts;
}

struct Route {
  std::string m_method;
  std::vector<std::string> m_pattern;
  Access m_access;
  HttpHandler m_handler;

  // Whether the path fits; fills `arguments` from the parts at `{}`.
  bool Fits(const std::vector<std::string>& path,
            std::vector<std::string>& arguments) const {
    arguments.clear();
    if (path.size() != m_pattern.size()) {
      return false;
    }
    for (size_t i = 0; i < path.size(); ++i) {
      if (m_pattern[i] == "{}" && !path[i].empty()) {
        arguments.push_back(path[i]);
      } else if (m_pattern[i] != path[i]) {
        return false;
      }
    }
    return true;
  }
};

}  // namespace

struct HttpServer::Impl {
  Impl(uint64_t max_body_bytes, Milliseconds idle_timeout)
      : m_listener([this](GSocketConnection* connection, GIOStream* stream) {
          Accept(connection, stream);
        }),
        m_max_body_bytes(max_body_bytes),
        m_idle_timeout(idle_timeout) {
    m_idle_source =
        g_timeout_add(static_cast<guint>(idle_timeout.count() / kIdleChecks),
                      &Impl::OnIdleCheck, this);
  }

  ~Impl() {
    for (const guint source : {m_done_source, m_reap_source, m_idle_source}) {
      if (source != 0) {
        g_source_remove(source);
      }
    }
    for (auto& [message, request] : m_pending) {
      g_signal_handlers_disconnect_by_data(message, this);
      request->Close();
    }
    m_listener.Close();
    m_connections.clear();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Accept(GSocketConnection* connection, GIOStream* stream) {
    m_connections[g_socket_connection_get_socket(connection)] =
        std::make_shared<ServerConnection>(
            connection, stream,
            [this](ServerConnection& ready) { Serve(ready); },
            [this](ServerConnection& gone) { OnGone(gone); });
  }

  // Hands a connection to libsoup, which reads the next request.
  void Serve(ServerConnection& connection) {
    if (connection.local() == nullptr || connection.remote() == nullptr) {
      connection.MarkGone();
      return;
    }
    const std::shared_ptr<SoupServerHandle> server = CurrentServer();
    connection.Begin(server);
    server->Accept(connection.stream(), connection.local(),
                   connection.remote());
  }

  // Returns the server object that accepts next.
  const std::shared_ptr<SoupServerHandle>& CurrentServer() {
    if (m_server == nullptr || m_server->is_used_up()) {
      m_server = std::make_shared<SoupServerHandle>();
      soup_server_add_early_handler(m_server->get(), nullptr, &Impl::OnHeaders,
                                    this, nullptr);
      soup_server_add_handler(m_server->get(), nullptr, &Impl::OnRequest, this,
                              nullptr);
    }
    return m_server;
  }

  void OnGone(ServerConnection& connection) {
    ReapLater();
    if (const auto request = connection.request()) {
      request->HandleDisconnect();
    }
  }

  // Closing inside a call of libsoup would pull the connection from under it.
  void ReapLater() {
    if (m_reap_source == 0) {
      m_reap_source = g_idle_add(&Impl::OnReap, this);
    }
  }

  static gboolean OnReap(gpointer data) {
    auto* self = static_cast<Impl*>(data);
    self->m_reap_source = 0;
    self->m_released_servers.clear();
    std::erase_if(self->m_connections, [](const auto& item) {
      return item.second->is_gone() && item.second->request() == nullptr;
    });
    return G_SOURCE_REMOVE;
  }

  // Ends connections on which no request has begun for too long. Whoever holds
  // many of them would otherwise use up the descriptors.
  static gboolean OnIdleCheck(gpointer data) {
    auto* self = static_cast<Impl*>(data);
    const MonoTime now = BootClock::now();
    for (auto& [socket, connection] : self->m_connections) {
      const bool is_idle =
          connection->request() == nullptr &&
          now >= connection->idle_since() + self->m_idle_timeout;
      // libsoup closes connections with malformed requests by itself.
      if (is_idle || g_socket_is_closed(socket)) {
        connection->MarkGone();
      }
    }
    return G_SOURCE_CONTINUE;
  }

  // Returns the connection of a message, or null.
  ServerConnection* ConnectionOf(SoupServerMessage* message) {
    const auto found = m_connections.find(SocketOf(message));
    return found == m_connections.end() ? nullptr : found->second.get();
  }

  // Called by libsoup when the headers of a request are read.
  static void OnHeaders(SoupServer*,
                        SoupServerMessage* message,
                        const char*,
                        GHashTable*,
                        gpointer data) {
    auto* self = static_cast<Impl*>(data);
    auto request = std::make_shared<HttpRequest>(message);
    SoupMessageHeaders* headers =
        soup_server_message_get_request_headers(message);
    const goffset length = soup_message_headers_get_content_length(headers);
    self->m_pending[message] = request;
    if (ServerConnection* connection = self->ConnectionOf(message)) {
      connection->SetRequest(request);
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&Impl::OnChunk), self);
    g_signal_connect(message, "wrote-body", G_CALLBACK(&Impl::OnWroteBody),
                     self);
    g_signal_connect(message, "finished", G_CALLBACK(&Impl::OnFinished), self);
    if (length > 0 && static_cast<uint64_t>(length) > self->m_max_body_bytes) {
      self->DropBody(*request);
      self->RefuseFromHead(*request);
    }
  }

  // Called by libsoup for each piece of a body, which may have no length in
  // its headers.
  static void OnChunk(SoupServerMessage* message, GBytes* chunk, Impl* self) {
    const auto found = self->m_pending.find(message);
    if (found == self->m_pending.end()) {
      return;
    }
    HttpRequest& request = *found->second;
    request.m_received_bytes += g_bytes_get_size(chunk);
    if (request.m_received_bytes > self->m_max_body_bytes) {
      self->DropBody(request);
    }
    const uint64_t cut_off =
        self->m_max_body_bytes * kCutOffFactor + kCutOffBytes;
    GSocket* socket = SocketOf(message);
    if (request.m_received_bytes > cut_off && socket != nullptr) {
      g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
  }

  // Called by libsoup when a request is read.
  static void OnRequest(SoupServer*,
                        SoupServerMessage* message,
                        const char*,
                        GHashTable*,
                        gpointer data) {
    auto* self = static_cast<Impl*>(data);
    const auto found = self->m_pending.find(message);
    if (found == self->m_pending.end()) {
      soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                     nullptr);
      return;
    }
    const std::shared_ptr<HttpRequest> request = found->second;
    const ServerConnection* connection = self->ConnectionOf(message);
    request->m_closes_connection =
        self->m_ends_connections ||
        (connection != nullptr && connection->is_used_up());
    self->Dispatch(request);
    if (!request->is_answered() && request->m_message != nullptr) {
      request->Pause();
    }
  }

  // Called by libsoup when an answer is written. Takes the connection back,
  // unless it ends.
  static void OnWroteBody(SoupServerMessage* message, Impl* self) {
    ServerConnection* connection = self->ConnectionOf(message);
    if (connection == nullptr || self->m_listener.uses_tls() ||
        connection->is_gone() || !KeepsAlive(message)) {
      return;
    }
    self->EndRequest(message);
    GIOStream* stream = soup_server_message_steal_connection(message);
    if (stream == nullptr) {
      return;
    }
    const bool has_input = HasInput(stream);
    self->m_released_servers.push_back(
        connection->Rest(has_input ? stream : nullptr));
    self->ReapLater();
    g_object_unref(stream);
    if (has_input) {
      self->ServeLater(connection->socket());
    }
  }

  // Serves what a client has sent ahead of the last answer.
  void ServeLater(GSocket* socket) {
    const auto found = m_connections.find(socket);
    if (found != m_connections.end()) {
      SocketPoller::Default().CallAfterInput([this, weak = std::weak_ptr(
                                                        found->second)]() {
        const auto connection = weak.lock();
        if (connection && !connection->is_serving() && !connection->is_gone()) {
          Serve(*connection);
        }
      });
    }
  }

  // Called by libsoup when an answer is written on a connection that it keeps
  // or closes, or the connection is broken.
  static void OnFinished(SoupServerMessage* message, Impl* self) {
    ServerConnection* connection = self->ConnectionOf(message);
    self->EndRequest(message);
    if (connection == nullptr) {
      return;
    }
    if (connection->is_gone()) {
      self->ReapLater();
    } else if (!self->m_listener.uses_tls() || !KeepsAlive(message)) {
      connection->MarkGone();
    }
  }

  // The answer to a message is written, or can't be.
  void EndRequest(SoupServerMessage* message) {
    const auto found = m_pending.find(message);
    if (found == m_pending.end()) {
      return;
    }
    const std::shared_ptr<HttpRequest> request = found->second;
    m_pending.erase(found);
    g_signal_handlers_disconnect_by_data(message, this);
    request->m_is_paused = false;
    request->HandleDisconnect();
    if (ServerConnection* connection = ConnectionOf(message)) {
      connection->EndRequest();
    }
    request->Close();
    FinishStop();
  }

  static gboolean OnDone(gpointer data) {
    auto* self = static_cast<Impl*>(data);
    self->m_done_source = 0;
    // The callback may destroy the server.
    const std::function<void()> done = std::exchange(self->m_done, {});
    done();
    return G_SOURCE_REMOVE;
  }

  void DropBody(HttpRequest& request) const {
    request.m_is_too_large = true;
    SoupMessageBody* body =
        soup_server_message_get_request_body(request.m_message);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
  }

  // libsoup answers only when the whole body is read, so this answer goes to
  // the socket below it. On TLS connections the body is dropped as it comes.
  void RefuseFromHead(HttpRequest& request) const {
    GSocket* socket = SocketOf(request.m_message);
    if (socket == nullptr || m_listener.uses_tls()) {
      return;
    }
    constexpr std::string_view kAnswer =
        "HTTP/1.1 413 Payload Too Large\r\nContent-Type: application/json\r\n"
        "Connection: close\r\nContent-Length: 36\r\n\r\n"
        R"({"error":{"code":"body_too_large"}})"
        "\n";
    g_socket_send(socket, kAnswer.data(), kAnswer.size(), nullptr, nullptr);
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }

  void ReplyTooLarge(HttpRequest& request) const {
    request.ReplyError(SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "body_too_large",
                       "the body may have at most " +
                           std::to_string(m_max_body_bytes) + " bytes");
  }

  void Dispatch(const std::shared_ptr<HttpRequest>& request) {
    if (m_is_stopping) {
      request->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                          "this process is stopping; nothing was run");
      return;
    }
    if (m_routes.empty() && m_default_handler) {
      Handle({"", {}, PublicAccess{}, m_default_handler}, request);
      return;
    }
    const std::vector<std::string> path = SplitPath(request->path());
    std::string allowed;
    for (const Route& route : m_routes) {
      if (!route.Fits(path, request->m_arguments)) {
        continue;
      }
      if (route.m_method == request->method()) {
        Handle(route, request);
        return;
      }
      allowed += (allowed.empty() ? "" : ", ") + route.m_method;
    }
    if (allowed.empty() && m_default_handler) {
      Handle({"", {}, PublicAccess{}, m_default_handler}, request);
      return;
    }
    if (allowed.empty()) {
      request->ReplyError(SOUP_STATUS_NOT_FOUND, "unknown_path",
                          "there is no path " + request->path());
      return;
    }
    request->ReplyError(SOUP_STATUS_METHOD_NOT_ALLOWED, "wrong_method",
                        "this path takes " + allowed, {{"Allow", allowed}});
  }

  void Handle(const Route& route, const std::shared_ptr<HttpRequest>& request) {
    const std::string header = request->Header("Authorization").value_or("");
    std::optional<std::string> client =
        Authorize(route.m_access, BearerToken(header));
    if (!client) {
      request->ReplyError(SOUP_STATUS_UNAUTHORIZED, "unauthorized",
                          "the bearer token is missing or unknown",
                          {{"WWW-Authenticate", "Bearer"}});
      return;
    }
    if (request->m_is_too_large) {
      ReplyTooLarge(*request);
      return;
    }
    request->m_client = std::move(*client);
    request->ReadMessage();
    // A handler may add routes, which moves them.
    const HttpHandler handler = route.m_handler;
    handler(request);
  }

  void FinishStop() {
    if (m_done && m_pending.empty() && m_done_source == 0) {
      m_done_source = g_idle_add(&Impl::OnDone, this);
    }
  }

  ServerListener m_listener;
  uint64_t m_max_body_bytes;
  Milliseconds m_idle_timeout;
  std::vector<Route> m_routes;
  HttpHandler m_default_handler;
  std::shared_ptr<SoupServerHandle> m_server;
  // Dropped outside of libsoup's calls.
  std::vector<std::shared_ptr<void>> m_released_servers;
  std::map<GSocket*, std::shared_ptr<ServerConnection>> m_connections;
  std::map<SoupServerMessage*, std::shared_ptr<HttpRequest>> m_pending;
  std::function<void()> m_done;
  guint m_done_source = 0;
  guint m_reap_source = 0;
  guint m_idle_source = 0;
  bool m_is_stopping = false;
  bool m_ends_connections = false;
};

HttpServer::HttpServer(uint64_t max_body_bytes, Milliseconds idle_timeout)
    : m_impl(std::make_unique<Impl>(max_body_bytes, idle_timeout)) {}

HttpServer::~HttpServer() = default;

Result<void, HttpError> HttpServer::UseTls(
    const std::filesystem::path& certificate,
    const std::filesystem::path& private_key) {
  return m_impl->m_listener.UseTls(certificate, private_key);
}

Result<Address, HttpError> HttpServer::Listen(const Address& address) {
  return m_impl->m_listener.Listen(address);
}

void HttpServer::AddRoute(std::string_view method,
                          std::string_view pattern,
                          Access access,
                          HttpHandler handler) {
  m_impl->m_routes.push_back({std::string(method), SplitPath(pattern),
                              std::move(access), std::move(handler)});
}

void HttpServer::SetDefaultHandler(HttpHandler handler) {
  m_impl->m_default_handler = std::move(handler);
}

void HttpServer::EndConnections() {
  m_impl->m_ends_connections = true;
  for (auto& [message, request] : m_impl->m_pending) {
    request->m_closes_connection = true;
  }
}

void HttpServer::Stop(std::function<void()> done) {
  m_impl->m_listener.Close();
  m_impl->m_is_stopping = true;
  m_impl->m_done = std::move(done);
  EndConnections();
  m_impl->FinishStop();
}

size_t HttpServer::pending() const {
  return m_impl->m_pending.size();
}

}  // namespace comfreyshift
