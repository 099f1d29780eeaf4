#ifndef CLI_CONNECTION_H_
#define CLI_CONNECTION_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/command_line.h"
#include "cli/exit_code.h"
#include "core/core.h"
#include "http/http.h"
#include "json/json.h"

namespace comfreyshift {

// Why a command did not succeed.
struct CommandError {
  ExitCode m_exit = ExitCode::kFailed;
  // Code of docs/api.md, or "connection" when there was no answer.
  std::string m_code;
  std::string m_message;
  // The whole body of the answer; null when there was none.
  nlohmann::json m_body;
};

template <class T>
using CommandResult = Result<T, CommandError>;

// An answer of the operator API with status 200.
struct OperatorAnswer {
  nlohmann::json m_body;
  HttpHeaders m_headers;
};

// Speaks the operator API of docs/api.md.
class Connection {
 public:
  // Makes a connection from the options of CommandLine::AddConnectionOptions. A
  // token file that cannot be read and a faulty URL are errors.
  static CommandResult<Connection> Make(const CommandLine& line,
                                        uint32_t connections = 1);

  CommandResult<OperatorAnswer> Get(const std::string& path);

  // Sends an edit and repeats it with the same edit id while its outcome is
  // unknown. An outcome still unknown after that is kUnknown.
  CommandResult<OperatorAnswer> Edit(const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     const std::string& edit_id,
                                     HttpHeaders headers = {});

  HttpClient& client() { return *m_client; }
  const std::shared_ptr<HttpClient>& shared_client() const { return m_client; }

  // Returns the headers with the token.
  HttpHeaders Headers() const;

 private:
  CommandResult<OperatorAnswer> SendOnce(const std::string& method,
                                         const std::string& path,
                                         const std::string& body,
                                         HttpHeaders headers);

  std::shared_ptr<HttpClient> m_client;
  std::string m_token;
  Milliseconds m_timeout{0};
};

// Returns a random edit id or submission key: a UUIDv7 of the current time.
SubmissionKey MakeKey();

// Prints an error as text to the error stream, or as JSON to the output, and
// returns its exit code.
ExitCode PrintError(const CommandError& error,
                    bool as_json,
                    const Terminal& terminal);

}  // namespace comfreyshift

#endif  // CLI_CONNECTION_H_
