#ifndef HTTP_REQUEST_H_
#define HTTP_REQUEST_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/refusal.h"
#include "http/server_options.h"

// A type of libsoup, under the name its headers give it.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
struct _SoupServerMessage;

namespace comfreyshift {

using HttpHeaders = std::map<std::string, std::string>;

// One request to an HttpServer. A handler keeps it by shared ownership and
// replies at any later time, on the same thread.
class HttpRequest : public std::enable_shared_from_this<HttpRequest> {
 public:
  // HttpServer makes requests.
  explicit HttpRequest(_SoupServerMessage* message);
  ~HttpRequest();
  HttpRequest(const HttpRequest&) = delete;
  HttpRequest& operator=(const HttpRequest&) = delete;

  const std::string& method() const { return m_method; }
  // The path as sent, without the query and not unescaped.
  const std::string& path() const { return m_path; }
  const std::string& body() const { return m_body; }
  // Bytes of the body that have arrived, kept or not.
  size_t received_bytes() const { return m_received_bytes; }
  // Whether the whole request has arrived.
  bool is_received() const { return m_is_received; }

  // Frees the body, which the handler has taken in.
  void ReleaseBody() { std::string().swap(m_body); }
  // Frees the body; the request is not handed to a handler.
  void Abandon();

  // The IP number that the request came from; empty if it is not known.
  std::string remote_host() const;

  // The client whose token was used; empty for other kinds of access.
  const std::string& client() const { return m_client; }

  // The parts of the path that stand where the route has `{}`.
  const std::vector<std::string>& arguments() const { return m_arguments; }

  // Returns a header by its name in any case.
  std::optional<std::string> Header(const std::string& name) const;

  // Returns an unescaped parameter of the query.
  std::optional<std::string> Query(const std::string& name) const;

  // Sends the answer. Only the first reply of a request counts, and a reply to
  // a client that has gone does nothing.
  void Reply(int status,
             const std::string& content_type,
             std::string_view body,
             const HttpHeaders& headers = {});

  // Replies with a JSON value. Invalid UTF-8 in it is replaced.
  void ReplyJson(int status,
                 const nlohmann::json& body,
                 const HttpHeaders& headers = {});

  // Replies with {"error": {"code": ..., "message": ...}}.
  void ReplyError(int status,
                  std::string_view code,
                  std::string_view message,
                  const HttpHeaders& headers = {});

  bool is_answered() const { return m_is_answered; }
  bool is_disconnected() const { return m_is_disconnected; }

  // Calls `handler` once if the client goes away before the reply, at once if
  // it has gone already.
  void OnDisconnect(std::function<void()> handler);

 private:
  friend class HttpServer;

  void ReadQuery();
  void AppendBody(std::string_view piece);
  void Pause();
  void HandleDisconnect();
  void DropConnection();
  // Detaches from the message, which is finished or about to be destroyed.
  void Close();

  _SoupServerMessage* m_message;
  std::string m_method;
  std::string m_path;
  std::string m_body;
  std::string m_client;
  std::vector<std::string> m_arguments;
  std::map<std::string, std::string> m_query;
  std::function<void()> m_on_disconnect;
  // Where the bytes it holds are charged; null once it is closed.
  std::shared_ptr<ClientAccount> m_account;
  BodyRule m_body_rule;
  // Charged for the head.
  size_t m_head_bytes = 0;
  size_t m_declared_bytes = 0;
  size_t m_received_bytes = 0;
  size_t m_pieces = 0;
  size_t m_progress_steps = 0;
  bool m_is_received = false;
  // Refused before it was received, or closed by a limit.
  bool m_is_abandoned = false;
  Refusal m_refusal;
  bool m_is_paused = false;
  bool m_is_answered = false;
  bool m_is_disconnected = false;
  // Set while the server stops: the connection ends with the reply.
  bool m_closes_connection = false;
};

// Parses the body as a JSON object without repeated keys. Otherwise replies
// with 400 `malformed_request` and returns false.
bool ParseJsonBody(HttpRequest& request, nlohmann::json& body);

}  // namespace comfreyshift

#endif  // HTTP_REQUEST_H_
