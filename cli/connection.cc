#include "cli/connection.h"

#include <fstream>
#include <iterator>
#include <random>
#include <thread>
#include <utility>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// An edit whose outcome is unknown is repeated this often.
constexpr int kEditAttempts = 3;
constexpr Milliseconds kEditPause{100};

// Reads the first line of a token file.
CommandResult<std::string> ReadToken(const std::string& path) {
  std::string token;
  if (path.empty()) {
    return token;
  }
  std::ifstream file(path);
  if (!std::getline(file, token) || token.empty()) {
    return CommandError{ExitCode::kUsage, "token_file",
                        path + " cannot be read or is empty", nullptr};
  }
  return token;
}

std::string TextOf(const Json& object, const char* key) {
  const auto found = object.is_object() ? object.find(key) : object.end();
  return object.is_object() && found != object.end() && found->is_string()
             ? found->get<std::string>()
             : "";
}

ExitCode ExitOfStatus(int status, const Json& body) {
  const bool may_have_applied = body.is_object() &&
                                body.contains("may_have_applied") &&
                                body["may_have_applied"] == true;
  switch (status) {
    case 400:
      return ExitCode::kUsage;
    case 409:
      return ExitCode::kConflict;
    case 503:
      return may_have_applied ? ExitCode::kUnknown : ExitCode::kUnavailable;
    default:
      return ExitCode::kFailed;
  }
}

CommandError ErrorOfAnswer(const HttpResponse& response, Json body) {
  const Json error = body.is_object() && body.contains("error") ? body["error"]
                                                                : Json(nullptr);
  std::string code = TextOf(error, "code");
  std::string message = TextOf(error, "message");
  const std::string detail = TextOf(body, "detail");
  if (!detail.empty()) {
    message += ": " + detail;
  }
  if (code.empty()) {
    code = "status_" + std::to_string(response.m_status);
    message =
        "the entry answered with status " + std::to_string(response.m_status);
  }
  const ExitCode exit = ExitOfStatus(response.m_status, body);
  return {exit, std::move(code), std::move(message), std::move(body)};
}

CommandError ErrorOfCall(const HttpCallError& error) {
  const bool is_sent = error.m_state == HttpCallState::kMayHaveBeenProcessed;
  return {is_sent ? ExitCode::kUnknown : ExitCode::kUnavailable, "connection",
          error.m_detail, nullptr};
}

}  // namespace

CommandResult<Connection> Connection::Make(const CommandLine& line,
                                           uint32_t connections) {
  BOOST_OUTCOME_TRY(token,
                    ReadToken(line.values()["token-file"].as<std::string>()));
  Connection connection;
  connection.m_token = std::move(token);
  connection.m_timeout =
      Milliseconds(line.values()["timeout-ms"].as<uint32_t>());
  HttpClientOptions options;
  options.m_base_url = line.values()["entry"].as<std::string>();
  options.m_connections = connections;
  const auto authorities = line.values()["authorities"].as<std::string>();
  if (!authorities.empty()) {
    options.m_authorities = authorities;
  }
  auto client = HttpClient::Make(options);
  if (!client) {
    return CommandError{ExitCode::kUsage, "entry", client.error().m_detail,
                        nullptr};
  }
  connection.m_client = std::move(client).value();
  return connection;
}

HttpHeaders Connection::Headers() const {
  if (m_token.empty()) {
    return {};
  }
  return {{"Authorization", "Bearer " + m_token}};
}

CommandResult<OperatorAnswer> Connection::Get(const std::string& path) {
  CommandResult<OperatorAnswer> answer = SendOnce("GET", path, "", {});
  // Reading changes nothing, so a lost answer is no more than unavailable.
  if (!answer && answer.error().m_exit == ExitCode::kUnknown) {
    CommandError error = answer.error();
    error.m_exit = ExitCode::kUnavailable;
    return error;
  }
  return answer;
}

CommandResult<OperatorAnswer> Connection::Edit(const std::string& method,
                                               const std::string& path,
                                               const std::string& body,
                                               const std::string& edit_id,
                                               HttpHeaders headers) {
  headers["Edit-Id"] = edit_id;
  bool may_have_applied = false;
  for (int attempt = 1;; ++attempt) {
    CommandResult<OperatorAnswer> answer =
        SendOnce(method, path, body, headers);
    if (answer) {
      return answer;
    }
    CommandError error = answer.error();
    may_have_applied |= error.m_exit == ExitCode::kUnknown;
    // The entry looks the edit id up before it compares revisions, so only a
    // conflict says that an earlier lost edit was not applied.
    if (may_have_applied && error.m_exit != ExitCode::kConflict) {
      error.m_exit = ExitCode::kUnknown;
    }
    if (error.m_exit != ExitCode::kUnknown) {
      return error;
    }
    if (attempt == kEditAttempts) {
      error.m_message +=
          "; the edit may have taken effect, repeat it with --edit-id " +
          edit_id;
      return error;
    }
    std::this_thread::sleep_for(kEditPause);
  }
}

CommandResult<OperatorAnswer> Connection::SendOnce(const std::string& method,
                                                   const std::string& path,
                                                   const std::string& body,
                                                   HttpHeaders headers) {
  HttpCall call;
  call.m_method = method;
  call.m_path = path;
  call.m_body = body;
  call.m_headers = std::move(headers);
  call.m_headers.merge(Headers());
  call.m_deadline = BootClock::now() + m_timeout;
  const HttpCallResult result = m_client->SendAndWait(std::move(call));
  if (!result) {
    return ErrorOfCall(result.error());
  }
  const HttpResponse& response = result.value();
  auto json = ParseJson(response.m_body);
  if (response.m_status != 200) {
    return ErrorOfAnswer(response, json ? std::move(*json) : Json());
  }
  if (!json || !json->is_object()) {
    return CommandError{ExitCode::kFailed, "malformed_answer",
                        "the answer of the entry is not a JSON object",
                        nullptr};
  }
  return OperatorAnswer{std::move(*json), response.m_headers};
}

SubmissionKey MakeKey() {
  std::random_device random;
  const auto word = [&] {
    return (static_cast<uint64_t>(random()) << 32) | random();
  };
  const uint64_t high = word();
  return SubmissionKey::Make(WallNow(), high, word());
}

ExitCode PrintError(const CommandError& error,
                    bool as_json,
                    const Terminal& terminal) {
  if (as_json) {
    Json body = error.m_body.is_object() ? error.m_body : Json::object();
    body["error"] = {{"code", error.m_code}, {"message", error.m_message}};
    terminal.m_out << DumpJson(body) << "\n";
  } else {
    terminal.m_error << error.m_code << ": " << error.m_message << "\n";
  }
  return error.m_exit;
}

}  // namespace comfreyshift
