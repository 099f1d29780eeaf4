#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "cli/caller_answer.h"
#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/connection.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr const char* kDefaultEntry = "http://127.0.0.1:8080";

// The answer may take a little longer than the job's own time-out.
constexpr Milliseconds kAnswerGrace{2000};

// Sendings of one submission whose answer was lost on the way.
constexpr int kSendings = 3;

void AddSubmitOptions(CommandLine& line) {
  line.AddConnectionOptions(kDefaultEntry);
  line.AddOptions()("key", "Submission key, a UUIDv7; a new one by default",
                    cxxopts::value<std::string>()->default_value(""));
  line.AddOptions()("request", "Name of the request",
                    cxxopts::value<std::string>());
  line.AddOptions()("payload", "Payload of each task",
                    cxxopts::value<std::string>()->default_value(""));
  line.AddOptions()("tasks", "Number of tasks",
                    cxxopts::value<uint32_t>()->default_value("1"));
  line.AddOptions()("quiet", "Print nothing when the job is complete");
}

std::string JobBody(const CommandLine& line) {
  const auto& values = line.values();
  Json tasks = Json::array();
  for (uint32_t i = 0; i < values["tasks"].as<uint32_t>(); ++i) {
    tasks.push_back({{"request", values["request"].as<std::string>()},
                     {"payload", values["payload"].as<std::string>()}});
  }
  return DumpJson({{"tasks", std::move(tasks)},
                   {"timeout_ms", values["timeout-ms"].as<uint32_t>()}});
}

// Sends the job, and sends it again under its key while the connection breaks
// before the answer.
HttpCallResult SendJob(Connection& connection,
                       const CommandLine& line,
                       const std::string& key) {
  HttpCall call;
  call.m_path = "/v1/jobs";
  call.m_headers = connection.Headers();
  call.m_headers["Idempotency-Key"] = key;
  call.m_body = JobBody(line);
  call.m_deadline = BootClock::now() +
                    Milliseconds(line.values()["timeout-ms"].as<uint32_t>()) +
                    kAnswerGrace;
  for (int sending = 1;; ++sending) {
    HttpCallResult result = connection.client().SendAndWait(call);
    const bool is_lost =
        !result && result.error().m_failure == HttpCallFailure::kConnection;
    if (!is_lost || sending == kSendings) {
      return result;
    }
  }
}

void PrintAnswer(const CommandLine& line,
                 const std::string& key,
                 const CallerAnswer& answer,
                 const Terminal& terminal) {
  if (answer.m_outcome == JobOutcome::kComplete) {
    if (line.values().count("quiet") == 0) {
      terminal.m_out << key << ": complete, " << answer.m_answers.size()
                     << " answers\n";
    }
    return;
  }
  terminal.m_error << key << ": " << ToString(answer.m_outcome) << ", "
                   << answer.m_reason << ": " << answer.m_detail << '\n';
}

ExitCode RunSubmit(const std::vector<std::string>& arguments,
                   const Terminal& terminal) {
  CommandLine line("submit", "Submits a job and waits for its whole answer",
                   {});
  AddSubmitOptions(line);
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  if (line.values().count("request") == 0) {
    terminal.m_error << "submit: --request is needed\n";
    return ExitCode::kUsage;
  }
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  std::string key = line.values()["key"].as<std::string>();
  if (key.empty()) {
    key = MakeKey().ToString();
  }
  const HttpCallResult result = SendJob(connection.value(), line, key);
  const CallerAnswer answer = ReadCallerAnswer(result);
  if (line.wants_json() && result) {
    terminal.m_out << result.value().m_body << '\n';
  } else {
    PrintAnswer(line, key, answer, terminal);
  }
  return ExitOf(answer.m_outcome);
}

ExitCode RunCancel(const std::vector<std::string>& arguments,
                   const Terminal& terminal) {
  CommandLine line("cancel", "Cancels the tasks of a job that have not started",
                   {"KEY"});
  line.AddConnectionOptions(kDefaultEntry);
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  HttpCall call;
  call.m_path = "/v1/jobs/" + line.positionals().front() + "/cancel";
  call.m_headers = connection.value().Headers();
  call.m_deadline = BootClock::now() + kAnswerGrace;
  const HttpCallResult result = connection.value().client().SendAndWait(call);
  if (!result) {
    terminal.m_error << "cancel: " << result.error().m_detail << '\n';
    return ExitCode::kUnavailable;
  }
  terminal.m_out << result.value().m_body << '\n';
  return result.value().m_status == 200 ? ExitCode::kDone : ExitCode::kFailed;
}

ExitCode RunNewKey(const std::vector<std::string>& arguments,
                   const Terminal& terminal) {
  CommandLine line("new-key", "Prints a submission key for the present time",
                   {});
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  terminal.m_out << MakeKey().ToString() << '\n';
  return ExitCode::kDone;
}

constexpr std::array kCallerCommands = {
    Command{"submit", "submit a job and wait for its answer", &RunSubmit},
    Command{"cancel", "cancel a job", &RunCancel},
    Command{"new-key", "print a new submission key", &RunNewKey},
};

}  // namespace

std::span<const Command> CallerCommands() {
  return kCallerCommands;
}

}  // namespace comfreyshift
