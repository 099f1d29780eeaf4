#include "http/server.h"

#include <fcntl.h>
#include <libsoup/soup.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <map>
#include <utility>
#include <vector>

namespace comfreyshift {

namespace {

// A client that goes on sending a refused body is cut off after this many times
// the limit, and this many bytes more.
constexpr uint64_t kCutOffFactor = 2;
constexpr uint64_t kCutOffBytes = 1 << 20;

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

// Returns null and sets `error` when the address cannot be listened on.
GSocket* MakeListeningSocket(GSocketAddress* address, GError** error) {
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, error);
  if (socket == nullptr) {
    return nullptr;
  }
  g_socket_set_listen_backlog(socket, kBacklog);
  if (!g_socket_bind(socket, address, /*allow_reuse=*/TRUE, error) ||
      !g_socket_listen(socket, error)) {
    g_object_unref(socket);
    return nullptr;
  }
  return socket;
}

uint16_t PortOf(GSocket* socket) {
  GSocketAddress* local = g_socket_get_local_address(socket, nullptr);
  if (local == nullptr) {
    return 0;
  }
  const uint16_t port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
  g_object_unref(local);
  return port;
}

// Closes the listening sockets and nothing else. soup_server_disconnect() would
// break the connections of requests in progress too, and a server without
// listeners keeps no connection alive. Each descriptor is therefore replaced by
// one that never becomes ready.
void CloseListeners(SoupServer* server) {
  GSList* listeners = soup_server_get_listeners(server);
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    const int descriptor = g_socket_get_fd(G_SOCKET(item->data));
    const int never_ready = eventfd(0, EFD_CLOEXEC);
    dup3(never_ready, descriptor, O_CLOEXEC);
    close(never_ready);
  }
  g_slist_free(listeners);
}

}  // namespace

struct HttpServer::Impl {
  explicit Impl(uint64_t max_body_bytes)
      : m_server(soup_server_new("server-header", "comfreyshift", nullptr)),
        m_max_body_bytes(max_body_bytes) {
    soup_server_add_early_handler(m_server, nullptr, &Impl::OnHeaders, this,
                                  nullptr);
    soup_server_add_handler(m_server, nullptr, &Impl::OnRequest, this, nullptr);
  }

  ~Impl() {
    if (m_done_source != 0) {
      g_source_remove(m_done_source);
    }
    for (auto& [message, request] : m_pending) {
      g_signal_handlers_disconnect_by_data(message, this);
      request->Close();
    }
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

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
    g_signal_connect(message, "got-chunk", G_CALLBACK(&Impl::OnChunk), self);
    g_signal_connect(message, "finished", G_CALLBACK(&Impl::OnFinished), self);
    if (length > 0 && static_cast<uint64_t>(length) > self->m_max_body_bytes) {
      self->DropBody(*request);
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
    GSocket* socket = soup_server_message_get_socket(message);
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
    request->m_closes_connection = self->m_is_stopping;
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

  void Dispatch(const std::shared_ptr<HttpRequest>& request) {
    if (m_is_stopping) {
      request->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                          "this process is stopping; nothing was run");
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
      request->ReplyError(SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                          "body_too_large",
                          "the body may have at most " +
                              std::to_string(m_max_body_bytes) + " bytes");
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

  SoupServer* m_server;
  uint64_t m_max_body_bytes;
  std::vector<Route> m_routes;
  std::map<SoupServerMessage*, std::shared_ptr<HttpRequest>> m_pending;
  std::function<void()> m_done;
  guint m_done_source = 0;
  bool m_is_stopping = false;
};

HttpServer::HttpServer(uint64_t max_body_bytes)
    : m_impl(std::make_unique<Impl>(max_body_bytes)) {}

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
  soup_server_set_tls_certificate(m_impl->m_server, loaded);
  g_object_unref(loaded);
  return outcome::success();
}

Result<Address, HttpError> HttpServer::Listen(const Address& address) {
  GSocketAddress* wanted = g_inet_socket_address_new_from_string(
      address.m_host.c_str(), address.m_port);
  if (wanted == nullptr) {
    return HttpError{HttpErrorCode::kListen,
                     address.m_host + " is not an IP number"};
  }
  GError* error = nullptr;
  GSocket* socket = MakeListeningSocket(wanted, &error);
  g_object_unref(wanted);
  if (socket == nullptr) {
    return TakeError(HttpErrorCode::kListen, error);
  }
  const auto options = static_cast<SoupServerListenOptions>(
      soup_server_get_tls_certificate(m_impl->m_server) != nullptr
          ? SOUP_SERVER_LISTEN_HTTPS
          : 0);
  const uint16_t port = PortOf(socket);
  const bool is_listening =
      soup_server_listen_socket(m_impl->m_server, socket, options, &error);
  g_object_unref(socket);
  if (!is_listening) {
    return TakeError(HttpErrorCode::kListen, error);
  }
  return Address{address.m_host, port};
}

void HttpServer::AddRoute(std::string_view method,
                          std::string_view pattern,
                          Access access,
                          HttpHandler handler) {
  m_impl->m_routes.push_back({std::string(method), SplitPath(pattern),
                              std::move(access), std::move(handler)});
}

void HttpServer::Stop(std::function<void()> done) {
  CloseListeners(m_impl->m_server);
  m_impl->m_is_stopping = true;
  m_impl->m_done = std::move(done);
  for (auto& [message, request] : m_impl->m_pending) {
    request->m_closes_connection = true;
  }
  m_impl->FinishStop();
}

size_t HttpServer::pending() const {
  return m_impl->m_pending.size();
}

}  // namespace comfreyshift
