#include "http/server.h"

#include <fcntl.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <map>
#include <utility>
#include <vector>

#include "http/message_socket.h"

namespace comfreyshift {

namespace {

// A client that goes on sending a refused body is cut off after this many times
// the limit, and this many bytes more.
constexpr uint64_t kCutOffFactor = 2;
constexpr uint64_t kCutOffBytes = 1 << 20;

// Idle connections are looked for this many times within the timeout.
constexpr int64_t kIdleChecks = 3;

// Connections that may wait to be accepted; GLib's default of 10 refuses
// bursts.
constexpr int kBacklog = 1024;

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

HttpError TakeError(HttpErrorCode code, GError* error) {
  HttpError taken{code, error->message};
  g_error_free(error);
  return taken;
}

// libsoup 3.2 closes each connection after its answer when the server has no
// listener of its own. Gives it one that never accepts: it is closed at once by
// replacing its descriptor by one that never becomes ready. libsoup takes only
// a socket that listens.
void KeepConnectionsAlive(SoupServer* server) {
  if (!soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                nullptr)) {
    return;
  }
  GSList* listeners = soup_server_get_listeners(server);
  const int never_ready = eventfd(0, EFD_CLOEXEC);
  dup3(never_ready, g_socket_get_fd(G_SOCKET(listeners->data)), O_CLOEXEC);
  close(never_ready);
  g_slist_free(listeners);
}

// libsoup 3.2 keeps a connection that its client closed while it was idle until
// the server object is destroyed. Each server object therefore takes only this
// many connections and is destroyed when the last of them is gone.
constexpr size_t kConnectionsPerServer = 64;

// One server object of libsoup and the number of its open connections.
struct Generation {
  explicit Generation(SoupServer* server) : m_server(server) {}
  ~Generation() {
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
  }
  Generation(const Generation&) = delete;
  Generation& operator=(const Generation&) = delete;

  SoupServer* m_server;
  size_t m_accepted = 0;
  size_t m_open = 0;
};

// One accepted connection. Its source fires when the client goes; libsoup does
// not poll the socket while a request is paused.
struct ServerConnection {
  ServerConnection(GSocket* socket, Generation* generation)
      : m_socket(G_SOCKET(g_object_ref(socket))),
        m_generation(generation),
        // POLLRDHUP reports the end of the client's side even behind unread
        // data; GLib hands conditions to poll() as they are.
        m_source(g_socket_create_source(
            socket,
            static_cast<GIOCondition>(POLLRDHUP | G_IO_HUP | G_IO_ERR),
            nullptr)) {
    ++m_generation->m_open;
  }
  ~ServerConnection() {
    g_source_destroy(m_source);
    g_source_unref(m_source);
    g_socket_close(m_socket, nullptr);
    g_object_unref(m_socket);
    --m_generation->m_open;
  }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  GSocket* m_socket;
  Generation* m_generation;
  GSource* m_source;
  // The request in progress, or null.
  std::shared_ptr<HttpRequest> m_request;
  // When it was accepted, or its last answer was written.
  MonoTime m_idle_since = BootClock::now();
  bool m_is_gone = false;
};

}  // namespace

struct HttpServer::Impl {
  Impl(uint64_t max_body_bytes, Milliseconds idle_timeout)
      : m_service(g_socket_service_new()),
        m_max_body_bytes(max_body_bytes),
        m_idle_timeout(idle_timeout) {
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(m_service), kBacklog);
    g_signal_connect(m_service, "incoming", G_CALLBACK(&Impl::OnIncoming),
                     this);
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
    CloseListener();
    g_object_unref(m_service);
    g_clear_object(&m_certificate);
    m_connections.clear();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // The listener is not libsoup's own, because soup_server_disconnect() breaks
  // the connections of requests in progress too.
  static gboolean OnIncoming(GSocketService*,
                             GSocketConnection* connection,
                             GObject*,
                             Impl* self) {
    GSocket* socket = g_socket_connection_get_socket(connection);
    // Answers are written at once instead of waiting for more to send.
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    GSocketAddress* local = g_socket_get_local_address(socket, nullptr);
    GSocketAddress* remote = g_socket_get_remote_address(socket, nullptr);
    GIOStream* stream = self->Wrap(connection);
    if (stream != nullptr && local != nullptr && remote != nullptr) {
      AttachSocket(remote, socket);
      Generation& generation = self->CurrentGeneration();
      self->AddConnection(socket, generation);
      soup_server_accept_iostream(generation.m_server, stream, local, remote,
                                  nullptr);
    }
    g_clear_object(&stream);
    g_clear_object(&local);
    g_clear_object(&remote);
    return TRUE;
  }

  // Returns the stream to serve on a connection, which the caller unrefs.
  GIOStream* Wrap(GSocketConnection* connection) const {
    if (m_certificate == nullptr) {
      return G_IO_STREAM(g_object_ref(connection));
    }
    return g_tls_server_connection_new(G_IO_STREAM(connection), m_certificate,
                                       nullptr);
  }

  // Returns the server object for the next connection.
  Generation& CurrentGeneration() {
    if (m_generations.empty() ||
        m_generations.back()->m_accepted >= kConnectionsPerServer) {
      SoupServer* server =
          soup_server_new("server-header", "comfreyshift", nullptr);
      KeepConnectionsAlive(server);
      soup_server_add_early_handler(server, nullptr, &Impl::OnHeaders, this,
                                    nullptr);
      soup_server_add_handler(server, nullptr, &Impl::OnRequest, this, nullptr);
      m_generations.push_back(std::make_unique<Generation>(server));
    }
    ++m_generations.back()->m_accepted;
    return *m_generations.back();
  }

  void AddConnection(GSocket* socket, Generation& generation) {
    auto connection = std::make_unique<ServerConnection>(socket, &generation);
    g_source_set_callback(connection->m_source,
                          G_SOURCE_FUNC(&Impl::OnConnectionEvent), this,
                          nullptr);
    g_source_attach(connection->m_source, g_main_context_get_thread_default());
    m_connections[socket] = std::move(connection);
  }

  // Called when a client has gone, or libsoup has closed its connection.
  static gboolean OnConnectionEvent(GSocket* socket, GIOCondition, Impl* self) {
    const auto found = self->m_connections.find(socket);
    if (found != self->m_connections.end()) {
      found->second->m_is_gone = true;
      self->ReapLater();
      if (const auto request = found->second->m_request) {
        request->HandleDisconnect();
      }
    }
    return G_SOURCE_REMOVE;
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
    std::erase_if(self->m_connections, [](const auto& item) {
      return item.second->m_is_gone && item.second->m_request == nullptr;
    });
    std::erase_if(self->m_generations, [](const auto& generation) {
      return generation->m_open == 0 &&
             generation->m_accepted >= kConnectionsPerServer;
    });
    return G_SOURCE_REMOVE;
  }

  // Ends connections on which no request has begun for too long. Whoever holds
  // many of them would otherwise use up the descriptors.
  static gboolean OnIdleCheck(gpointer data) {
    auto* self = static_cast<Impl*>(data);
    const MonoTime now = BootClock::now();
    for (auto& [socket, connection] : self->m_connections) {
      if (connection->m_request == nullptr &&
          now >= connection->m_idle_since + self->m_idle_timeout) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
      }
    }
    return G_SOURCE_CONTINUE;
  }

  // Returns the connection of a message, or null.
  ServerConnection* ConnectionOf(SoupServerMessage* message) {
    const auto found = m_connections.find(SocketOf(message));
    return found == m_connections.end() ? nullptr : found->second.get();
  }

  void CloseListener() {
    g_signal_handlers_disconnect_by_data(m_service, this);
    g_socket_service_stop(m_service);
    g_socket_listener_close(G_SOCKET_LISTENER(m_service));
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
      connection->m_request = request;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&Impl::OnChunk), self);
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
    request->m_closes_connection = self->m_ends_connections;
    self->Dispatch(request);
    if (!request->is_answered() && request->m_message != nullptr) {
      request->Pause();
    }
  }

  // Called by libsoup when an answer is written or its connection is broken.
  static void OnFinished(SoupServerMessage* message, Impl* self) {
    const auto found = self->m_pending.find(message);
    if (found == self->m_pending.end()) {
      return;
    }
    const std::shared_ptr<HttpRequest> request = found->second;
    self->m_pending.erase(found);
    g_signal_handlers_disconnect_by_data(message, self);
    request->m_is_paused = false;
    request->HandleDisconnect();
    if (ServerConnection* connection = self->ConnectionOf(message)) {
      connection->m_request = nullptr;
      connection->m_idle_since = BootClock::now();
      if (connection->m_is_gone) {
        self->ReapLater();
      }
    }
    request->Close();
    self->FinishStop();
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
    if (socket == nullptr || m_certificate != nullptr) {
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

  GSocketService* m_service;
  GTlsCertificate* m_certificate = nullptr;
  uint64_t m_max_body_bytes;
  Milliseconds m_idle_timeout;
  std::vector<Route> m_routes;
  HttpHandler m_default_handler;
  // Declared before the connections, which count in them.
  std::vector<std::unique_ptr<Generation>> m_generations;
  std::map<GSocket*, std::unique_ptr<ServerConnection>> m_connections;
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
  GError* error = nullptr;
  GTlsCertificate* loaded = g_tls_certificate_new_from_files(
      certificate.c_str(), private_key.c_str(), &error);
  if (loaded == nullptr) {
    return TakeError(HttpErrorCode::kTls, error);
  }
  g_clear_object(&m_impl->m_certificate);
  m_impl->m_certificate = loaded;
  return outcome::success();
}

Result<Address, HttpError> HttpServer::Listen(const Address& address) {
  GError* error = nullptr;
  GSocketAddress* socket_address = g_inet_socket_address_new_from_string(
      address.m_host.c_str(), address.m_port);
  if (socket_address == nullptr) {
    return HttpError{HttpErrorCode::kListen,
                     address.m_host + " is not an IP number"};
  }
  GSocketAddress* effective = nullptr;
  const bool is_listening = g_socket_listener_add_address(
      G_SOCKET_LISTENER(m_impl->m_service), socket_address,
      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, &effective, &error);
  g_object_unref(socket_address);
  if (!is_listening) {
    return TakeError(HttpErrorCode::kListen, error);
  }
  const guint16 port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective));
  g_object_unref(effective);
  return Address{address.m_host, port};
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
  m_impl->CloseListener();
  m_impl->m_is_stopping = true;
  m_impl->m_done = std::move(done);
  EndConnections();
  m_impl->FinishStop();
}

size_t HttpServer::pending() const {
  return m_impl->m_pending.size();
}

}  // namespace comfreyshift
