#ifndef HTTP_SERVER_H_
#define HTTP_SERVER_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/core.h"
#include "http/error.h"
#include "http/request.h"
#include "http/route_table.h"
#include "http/server_options.h"
#include "http/token.h"

namespace comfreyshift {

// An HTTP/1.1 server with asynchronous handlers. It answers by itself: 404
// `unknown_path`, 405 `wrong_method`, 401 `unauthorized`, 413 `body_too_large`
// and, after Stop, 503 `stopping`. With a budget or more options it also
// answers 408 `request_timeout`, 413 `body_pieces_too_small`, 431
// `head_too_large` and 503 `overloaded`; no handler is called then.
class HttpServer {
 public:
  // Larger bodies are answered with 413 and not kept. Connections that carry no
  // request for `idle_timeout` are closed.
  explicit HttpServer(uint64_t max_body_bytes,
                      Milliseconds idle_timeout = kDefaultIdleTimeout);
  explicit HttpServer(HttpServerOptions options);

  // Breaks the connections of requests in progress; see Stop.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Serves HTTPS with PEM files; must be called before Listen.
  Result<void, HttpError> UseTls(const std::filesystem::path& certificate,
                                 const std::filesystem::path& private_key);

  // Starts to accept connections and returns the address in use, which differs
  // from `address` only if its port is 0.
  Result<Address, HttpError> Listen(const Address& address);

  // Calls `handler` for requests with this method whose path fits `pattern`. A
  // part `{}` of the pattern fits any part of the path that is not empty.
  void AddRoute(std::string_view method,
                std::string_view pattern,
                Access access,
                HttpHandler handler);

  // Calls `handler`, open to anyone, for requests that fit no route.
  void SetDefaultHandler(HttpHandler handler);

  // From now on each answer ends its connection, so that clients move to other
  // servers. Requests are served as before.
  void EndConnections();

  // Refuses new connections, answers new requests on open ones with 503, and
  // calls `done` once when the answers to all others are written; never from
  // within Stop. The caller limits how long it waits.
  void Stop(std::function<void()> done);

  // Requests whose answer is not yet written.
  size_t pending() const;

 private:
  struct Impl;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // HTTP_SERVER_H_
