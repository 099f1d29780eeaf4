#ifndef HTTP_CLIENT_H_
#define HTTP_CLIENT_H_

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "core/core.h"
#include "http/call.h"
#include "http/connection_watch.h"
#include "http/error.h"

namespace comfreyshift {

struct HttpClientOptions {
  // Such as "http://127.0.0.1:8080", without a path.
  std::string m_base_url;
  // Connections that may be open at a time; further calls wait.
  uint32_t m_connections = 8;
  // PEM file with the authorities trusted for HTTPS; the system's if missing.
  std::optional<std::filesystem::path> m_authorities = std::nullopt;
  // Longer answers end the call with kAnswerTooLarge.
  uint64_t m_max_answer_bytes = 16ULL << 20;
  // Watches the connections over plain sockets, if set.
  std::shared_ptr<ConnectionWatch> m_connection_watch = nullptr;
};

// An HTTP/1.1 client of one server: over plain sockets for an IPv4 address
// without TLS, through libsoup otherwise. It keeps connections alive and never
// sends a request twice, follows no redirects and uses no proxy. Any status is
// a response, not an error.
class HttpClient {
 public:
  static Result<std::shared_ptr<HttpClient>, HttpError> Make(
      const HttpClientOptions& options);

  // Ends the calls in progress, without calling back.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call and returns its id. `callback` is called once, from the main
  // loop, and never from within Send.
  uint64_t Send(HttpCall call, HttpCallback callback);

  // Ends a call in progress with kCancelled.
  void Cancel(uint64_t id);

  // Sends and runs the main loop until the call ends; for command lines.
  HttpCallResult SendAndWait(HttpCall call);

 private:
  struct Impl;

  explicit HttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // HTTP_CLIENT_H_
