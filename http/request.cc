#include "http/request.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/message_socket.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

// Most bodies fit, and are not moved while they arrive.
constexpr size_t kMinBodyCapacity = size_t{8} * 1024;

}  // namespace

HttpRequest::HttpRequest(_SoupServerMessage* message)
    : m_message(SOUP_SERVER_MESSAGE(g_object_ref(message))),
      m_method(soup_server_message_get_method(message)),
      m_path(g_uri_get_path(soup_server_message_get_uri(message))) {}

HttpRequest::~HttpRequest() {
  Close();
}

std::string HttpRequest::remote_host() const {
  return m_account == nullptr ? "" : m_account->address();
}

std::optional<std::string> HttpRequest::Header(const std::string& name) const {
  if (m_message == nullptr) {
    return std::nullopt;
  }
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(m_message), name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> HttpRequest::Query(const std::string& name) const {
  const auto found = m_query.find(name);
  if (found == m_query.end()) {
    return std::nullopt;
  }
  return found->second;
}

void HttpRequest::Abandon() {
  ReleaseBody();
  m_is_abandoned = true;
}

// Reserves for a declared length step by step, so that a client cannot make the
// process reserve what it never sends.
void HttpRequest::AppendBody(std::string_view piece) {
  const size_t size = m_body.size() + piece.size();
  if (size > m_body.capacity()) {
    const size_t doubled = std::max(2 * m_body.capacity(), kMinBodyCapacity);
    const size_t bound = m_declared_bytes > 0 ? m_declared_bytes : SIZE_MAX;
    m_body.reserve(std::max(size, std::min(doubled, bound)));
  }
  m_body.append(piece);
}

void HttpRequest::ReadQuery() {
  const char* query = g_uri_get_query(soup_server_message_get_uri(m_message));
  if (query == nullptr) {
    return;
  }
  GHashTable* values = soup_form_decode(query);
  GHashTableIter iterator;
  g_hash_table_iter_init(&iterator, values);
  gpointer key = nullptr;
  gpointer value = nullptr;
  while (g_hash_table_iter_next(&iterator, &key, &value)) {
    m_query[static_cast<const char*>(key)] = static_cast<const char*>(value);
  }
  g_hash_table_unref(values);
}

void HttpRequest::Reply(int status,
                        const std::string& content_type,
                        std::string_view body,
                        const HttpHeaders& headers) {
  if (m_is_answered || m_message == nullptr) {
    return;
  }
  m_is_answered = true;
  m_on_disconnect = nullptr;
  SoupMessageHeaders* fields =
      soup_server_message_get_response_headers(m_message);
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(fields, name.c_str(), value.c_str());
  }
  if (m_closes_connection) {
    soup_message_headers_replace(fields, "Connection", "close");
  }
  soup_server_message_set_status(m_message, status, nullptr);
  soup_server_message_set_response(m_message, content_type.c_str(),
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  if (m_is_paused) {
    m_is_paused = false;
    soup_server_message_unpause(m_message);
  }
}

void HttpRequest::ReplyJson(int status,
                            const nlohmann::json& body,
                            const HttpHeaders& headers) {
  Reply(status, "application/json", DumpJson(body), headers);
}

void HttpRequest::ReplyError(int status,
                             std::string_view code,
                             std::string_view message,
                             const HttpHeaders& headers) {
  ReplyJson(status, {{"error", {{"code", code}, {"message", message}}}},
            headers);
}

void HttpRequest::OnDisconnect(std::function<void()> handler) {
  if (m_is_disconnected) {
    handler();
  } else if (!m_is_answered) {
    m_on_disconnect = std::move(handler);
  }
}

void HttpRequest::Pause() {
  m_is_paused = true;
  soup_server_message_pause(m_message);
}

void HttpRequest::HandleDisconnect() {
  if (m_is_answered || m_is_disconnected) {
    return;
  }
  m_is_disconnected = true;
  if (const std::function<void()> handler =
          std::exchange(m_on_disconnect, {})) {
    handler();
  }
  if (!m_is_answered && m_message != nullptr) {
    DropConnection();
  }
}

// Lets libsoup find the broken connection. A client that closed only its own
// side gets no answer either, because any answer would be wrong.
void HttpRequest::DropConnection() {
  GSocket* socket = SocketOf(m_message);
  if (socket != nullptr) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
  Reply(SOUP_STATUS_INTERNAL_SERVER_ERROR, "text/plain", "");
}

void HttpRequest::Close() {
  m_account = nullptr;
  if (m_message == nullptr) {
    return;
  }
  g_object_unref(std::exchange(m_message, nullptr));
}

bool ParseJsonBody(HttpRequest& request, nlohmann::json& body) {
  auto parsed = ParseJsonObject(request.body(), DuplicateKeys::kRejected);
  if (parsed) {
    body = std::move(*parsed);
    return true;
  }
  request.ReplyError(
      SOUP_STATUS_BAD_REQUEST, "malformed_request",
      "the body is not a JSON object in UTF-8 without repeated keys, or nests "
      "too deep");
  return false;
}

}  // namespace comfreyshift
