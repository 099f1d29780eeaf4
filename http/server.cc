#include "http/server.h"

#include <libsoup/soup.h>

#include <map>
#include <utility>
#include <vector>

#include "http/head_shape.h"
#include "http/message_socket.h"
#include "http/refusal.h"
#include "http/server_connection.h"
#include "http/server_listener.h"
#include "http/server_sweep.h"
#include "http/soup_server.h"

namespace comfreyshift {

namespace {

// Above TLS, a client that goes on sending a refused body is cut off after this
// many times the limit, and this many bytes more.
constexpr uint64_t kCutOffFactor = 2;
constexpr uint64_t kCutOffBytes = 1 << 20;

// Idle connections are looked for this many times within the timeout.
constexpr int64_t kIdleChecks = 3;

// Fewer bytes of a body are no progress: a client that sends single bytes would
// otherwise never be seen as stalled.
constexpr size_t kProgressBytes = size_t{4} * 1024;

}  // namespace

struct HttpServer::Impl {
  explicit Impl(HttpServerOptions options)
      : m_options(std::move(options)),
        m_budget(m_options.m_budget != nullptr
                     ? m_options.m_budget
                     : std::make_shared<ClientBudget>()),
        m_listener([this](GSocketConnection* connection,
                          GIOStream* stream) { Accept(connection, stream); },
                   m_options.m_socket_buffer_bytes) {
    const Milliseconds interval = m_options.m_sweep_interval.count() > 0
                                      ? m_options.m_sweep_interval
                                      : m_options.m_idle_timeout / kIdleChecks;
    // Ahead of the sockets, so that a flood of input cannot hold it back.
    m_sweep_source = g_timeout_add_full(G_PRIORITY_HIGH,
                                        static_cast<guint>(interval.count()),
                                        &Impl::OnSweep, this, nullptr);
  }

  ~Impl() {
    for (const guint source : {m_done_source, m_reap_source, m_sweep_source}) {
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
    const auto accepted = std::make_shared<ServerConnection>(
        connection, stream, m_budget,
        m_connections.size() < m_options.m_reserved_connections,
        [this](ServerConnection& ready) { Serve(ready); },
        [this](ServerConnection& gone) { OnGone(gone); });
    if (accepted->is_admitted()) {
      m_connections[g_socket_connection_get_socket(connection)] = accepted;
    }
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
    if (connection.is_aborted()) {
      ReapSoon();
    } else {
      ReapLater();
    }
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

  // Runs before further connections are accepted, which may need the
  // descriptors of the closed ones.
  void ReapSoon() {
    if (m_reap_source != 0) {
      g_source_remove(m_reap_source);
    }
    m_reap_source =
        g_idle_add_full(G_PRIORITY_HIGH, &Impl::OnReap, this, nullptr);
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

  // Ends connections on which no request has begun for too long, or which have
  // missed a deadline. Whoever holds many of them would otherwise use up the
  // descriptors.
  static gboolean OnSweep(gpointer data) {
    auto* self = static_cast<Impl*>(data);
    const MonoTime now = BootClock::now();
    for (auto& [socket, connection] : self->m_connections) {
      const bool is_idle =
          !connection->is_serving() &&
          now >= connection->idle_since() + self->m_options.m_idle_timeout;
      // libsoup closes connections with malformed requests by itself.
      if (is_idle || g_socket_is_closed(socket)) {
        connection->MarkGone();
        continue;
      }
      if (const auto missed =
              SweepConnection(*connection, self->m_options, now)) {
        connection->account()->Record(*missed);
        connection->Abort(*missed);
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
      request->m_account = connection->account();
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&Impl::OnChunk), self);
    g_signal_connect(message, "wrote-body", G_CALLBACK(&Impl::OnWroteBody),
                     self);
    g_signal_connect(message, "finished", G_CALLBACK(&Impl::OnFinished), self);
    // libsoup would keep one object for each piece.
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
    request->m_declared_bytes =
        static_cast<size_t>(std::max<goffset>(0, length));
    self->CheckHead(*request, headers);
  }

  void CheckHead(HttpRequest& request, SoupMessageHeaders* headers) const {
    const HeadShape shape = MeasureHead(headers);
    if (shape.m_fields > m_options.m_max_head_fields ||
        shape.m_bytes > m_options.m_max_head_bytes) {
      Refuse(request, ClientLimit::kHeadFields);
      // Frees them now; many such heads may arrive before libsoup frees them.
      soup_message_headers_clear(headers);
      return;
    }
    request.m_body_rule = BodyRuleFor(request);
    if (request.m_declared_bytes > request.m_body_rule.m_max_bytes) {
      Refuse(request, ClientLimit::kBodyBytes);
      return;
    }
    if (request.m_account != nullptr) {
      request.m_head_bytes = request.m_account->held_bytes() + shape.m_held;
      request.m_account->HoldOutside(0);
      request.m_account->Hold(request.m_head_bytes);
    }
  }

  BodyRule BodyRuleFor(const HttpRequest& request) const {
    if (m_options.m_body_rule) {
      return m_options.m_body_rule(request);
    }
    const bool is_routed =
        m_default_handler ||
        m_routes.Find(request.method(), request.path()).m_route != nullptr;
    return {is_routed ? m_options.m_max_body_bytes
                      : std::min(m_options.m_max_body_bytes,
                                 m_options.m_max_unrouted_body_bytes)};
  }

  // Called by libsoup for each piece of a body, which may have no length in
  // its headers.
  static void OnChunk(SoupServerMessage* message, GBytes* chunk, Impl* self) {
    const auto found = self->m_pending.find(message);
    if (found == self->m_pending.end()) {
      return;
    }
    HttpRequest& request = *found->second;
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &size));
    request.m_received_bytes += size;
    ++request.m_pieces;
    if (request.m_is_abandoned) {
      self->CutOff(request);
    } else if (request.m_received_bytes > request.m_body_rule.m_max_bytes) {
      self->Refuse(request, ClientLimit::kBodyBytes);
    } else if (self->HasTinyPieces(request)) {
      self->Refuse(request, ClientLimit::kBodyPieces);
    } else {
      request.AppendBody({data, size});
      ChargeBody(request);
    }
  }

  // Whether a body comes in so many small pieces that reading it costs more
  // than the job.
  bool HasTinyPieces(const HttpRequest& request) const {
    return request.m_pieces > m_options.m_max_small_pieces &&
           request.m_received_bytes <
               request.m_pieces * m_options.m_min_piece_bytes;
  }

  // May abandon the request.
  static void ChargeBody(HttpRequest& request) {
    const std::shared_ptr<ClientAccount> account = request.m_account;
    if (account == nullptr) {
      return;
    }
    const size_t steps = request.m_received_bytes / kProgressBytes;
    if (steps != request.m_progress_steps) {
      request.m_progress_steps = steps;
      account->SetProgress(BootClock::now());
    }
    account->Hold(request.m_head_bytes + request.m_body.capacity());
  }

  // Ends the connection of a client that goes on sending a refused body.
  void CutOff(const HttpRequest& request) const {
    const uint64_t cut_off =
        m_options.m_max_body_bytes * kCutOffFactor + kCutOffBytes;
    GSocket* socket = SocketOf(request.m_message);
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
    request->m_is_received = true;
    request->m_closes_connection =
        self->m_ends_connections ||
        (connection != nullptr && connection->is_used_up());
    const std::shared_ptr<ClientAccount> account = request->m_account;
    if (account != nullptr) {
      account->SetState(ClientBudget::State::kRunning);
    }
    self->Dispatch(request);
    if (account != nullptr && request->is_answered()) {
      account->SetState(ClientBudget::State::kTransferring);
    }
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

  // Refuses a request that is being received. libsoup answers only when the
  // whole body is read, so the answer goes to the socket below it. On TLS
  // connections the body is dropped as it comes, and answered at its end.
  void Refuse(HttpRequest& request, ClientLimit limit) const {
    request.Abandon();
    request.m_refusal = RefusalFor(limit);
    if (limit == ClientLimit::kBodyBytes) {
      request.m_refusal = {request.m_body_rule.m_status,
                           std::string(request.m_body_rule.m_code)};
    }
    if (request.m_account != nullptr) {
      request.m_account->Record(limit);
    }
    GSocket* socket = SocketOf(request.m_message);
    if (socket != nullptr && !m_listener.uses_tls()) {
      RefuseOnSocket(socket, request.m_refusal);
    }
  }

  void ReplyRefused(HttpRequest& request) const {
    request.ReplyError(
        request.m_refusal.m_status, request.m_refusal.m_code,
        request.m_refusal.m_status == SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE
            ? "the body may have at most " +
                  std::to_string(request.m_body_rule.m_max_bytes) + " bytes"
            : "the request exceeds a limit; nothing was run");
  }

  void Dispatch(const std::shared_ptr<HttpRequest>& request) {
    if (m_is_stopping) {
      request->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                          "this process is stopping; nothing was run");
      return;
    }
    // A request without a refusal was closed by the budget.
    const bool is_closed =
        request->m_is_abandoned && request->m_refusal.m_status == 0;
    if (is_closed ||
        (!m_budget->has_room() && !m_options.m_answers_over_budget)) {
      if (!is_closed && request->m_account != nullptr) {
        request->m_account->Record(ClientLimit::kMemory);
      }
      request->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE, "overloaded",
                          "this process has too much to do; nothing was run",
                          {{"Retry-After", "1"}});
      return;
    }
    RouteMatch match = m_routes.Find(request->method(), request->path());
    request->m_arguments = std::move(match.m_arguments);
    if (match.m_route != nullptr) {
      Handle(*match.m_route, request);
      return;
    }
    if (match.m_allowed.empty() && m_default_handler) {
      Handle({"", {}, PublicAccess{}, m_default_handler}, request);
      return;
    }
    if (match.m_allowed.empty()) {
      request->ReplyError(SOUP_STATUS_NOT_FOUND, "unknown_path",
                          "there is no path " + request->path());
      return;
    }
    request->ReplyError(SOUP_STATUS_METHOD_NOT_ALLOWED, "wrong_method",
                        "this path takes " + match.m_allowed,
                        {{"Allow", match.m_allowed}});
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
    if (request->m_is_abandoned) {
      ReplyRefused(*request);
      return;
    }
    request->m_client = std::move(*client);
    request->ReadQuery();
    // A handler may add routes, which moves them.
    const HttpHandler handler = route.m_handler;
    handler(request);
  }

  void FinishStop() {
    if (m_done && m_pending.empty() && m_done_source == 0) {
      m_done_source = g_idle_add(&Impl::OnDone, this);
    }
  }

  HttpServerOptions m_options;
  std::shared_ptr<ClientBudget> m_budget;
  ServerListener m_listener;
  RouteTable m_routes;
  HttpHandler m_default_handler;
  std::shared_ptr<SoupServerHandle> m_server;
  // Dropped outside of libsoup's calls.
  std::vector<std::shared_ptr<void>> m_released_servers;
  std::map<GSocket*, std::shared_ptr<ServerConnection>> m_connections;
  std::map<SoupServerMessage*, std::shared_ptr<HttpRequest>> m_pending;
  std::function<void()> m_done;
  guint m_done_source = 0;
  guint m_reap_source = 0;
  guint m_sweep_source = 0;
  bool m_is_stopping = false;
  bool m_ends_connections = false;
};

HttpServer::HttpServer(uint64_t max_body_bytes, Milliseconds idle_timeout)
    : HttpServer([&]() {
        HttpServerOptions options;
        options.m_max_body_bytes = max_body_bytes;
        options.m_idle_timeout = idle_timeout;
        options.m_head_timeout = idle_timeout;
        return options;
      }()) {}

HttpServer::HttpServer(HttpServerOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

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
  m_impl->m_routes.Add(method, pattern, std::move(access), std::move(handler));
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
