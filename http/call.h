#ifndef HTTP_CALL_H_
#define HTTP_CALL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/core.h"
#include "http/request.h"

namespace comfreyshift {

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

// Idle connections are closed well before servers usually do it, so that a
// request seldom meets a connection the server is just closing.
inline constexpr std::chrono::seconds kIdleConnectionTime{3};

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

}  // namespace comfreyshift

#endif  // HTTP_CALL_H_
