#ifndef HTTP_CLIENT_H_
#define HTTP_CLIENT_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/core.h"
#include "http/error.h"
#include "http/request.h"

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
};

struct HttpCall {
  std::string m_method = "POST";
  // Path and query.
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_content_type = "application/json";
  // No body is sent when it is empty, except with POST and PUT.
  std::string m_body;
  MonoTime m_deadline;
  // Called on the connection that is about to carry the request, right before
  // the first byte is written. The call ends with kNotSent when it returns
  // false.
  std::function<bool()> m_may_send;
};

struct HttpResponse {
  int m_status = 0;
  std::string m_body;
  // By lower-case name.
  HttpHeaders m_headers;
};

// How far a call without a response came.
enum class HttpCallState : uint8_t {
  // The server cannot have processed it: its headers were not written.
  kNotSent,
  // The server may have processed it.
  kMayHaveBeenProcessed,
};

enum class HttpCallFailure : uint8_t {
  kConnection,
  kDeadline,
  kCancelled,
  kAnswerTooLarge,
};

struct HttpCallError {
  HttpCallState m_state;
  HttpCallFailure m_failure;
  std::string m_detail;
};

using HttpCallResult = Result<HttpResponse, HttpCallError>;
using HttpCallback = std::function<void(HttpCallResult)>;

// An HTTP/1.1 client of one server. It keeps connections alive and never sends
// a request twice, follows no redirects and uses no proxy. Any status is a
// response, not an error.
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

  explicit HttpClient(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace comfreyshift

#endif  // HTTP_CLIENT_H_
