#include "http/refusal.h"

#include <string_view>

namespace comfreyshift {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case kRequestTimeout:
      return "Request Timeout";
    case kBodyTooLarge:
      return "Payload Too Large";
    case kHeadTooLarge:
      return "Request Header Fields Too Large";
    case kUnavailable:
      return "Service Unavailable";
    default:
      return "Refused";
  }
}

}  // namespace

Refusal RefusalFor(ClientLimit limit) {
  switch (limit) {
    case ClientLimit::kHeadTime:
    case ClientLimit::kBodyTime:
      return {kRequestTimeout, "request_timeout"};
    case ClientLimit::kBodyBytes:
      return {kBodyTooLarge, "body_too_large"};
    case ClientLimit::kBodyPieces:
      return {kBodyTooLarge, "body_pieces_too_small"};
    case ClientLimit::kHeadFields:
      return {kHeadTooLarge, "head_too_large"};
    default:
      return {kUnavailable, "overloaded"};
  }
}

void RefuseOnSocket(GSocket* socket, const Refusal& refusal) {
  const std::string body = R"({"error":{"code":")" + refusal.m_code +
                           R"(","message":"nothing was run"}})"
                           "\n";
  std::string answer = "HTTP/1.1 " + std::to_string(refusal.m_status) + " ";
  answer += ReasonPhrase(refusal.m_status);
  answer += "\r\nContent-Type: application/json\r\n";
  if (refusal.m_status == kUnavailable) {
    answer += "Retry-After: 1\r\n";
  }
  answer +=
      "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

}  // namespace comfreyshift
