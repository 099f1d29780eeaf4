#include <array>
#include <cmath>
#include <fstream>
#include <sstream>

#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/connection.h"
#include "cli/load.h"

namespace comfreyshift {

namespace {

constexpr const char* kDefaultEntry = "http://127.0.0.1:8080";

void AddLoadOptions(CommandLine& line) {
  line.AddOptions()("rate", "Jobs a second",
                    cxxopts::value<double>()->default_value("10"));
  line.AddOptions()("seconds", "Length of the schedule",
                    cxxopts::value<double>()->default_value("10"));
  line.AddOptions()("schedule", "poisson or constant",
                    cxxopts::value<std::string>()->default_value("poisson"));
  line.AddOptions()("seed", "Seed of the poisson schedule",
                    cxxopts::value<uint64_t>()->default_value("1"));
  line.AddOptions()("tasks", "Tasks in each job",
                    cxxopts::value<uint32_t>()->default_value("1"));
  line.AddOptions()("request", "Name of the request",
                    cxxopts::value<std::string>()->default_value("report"));
  line.AddOptions()(
      "payload", "Payload of each task",
      cxxopts::value<std::string>()->default_value(R"({"run_ms": 5})"));
  line.AddOptions()("declared-run-ms", "Run time to declare; 0 if unknown",
                    cxxopts::value<uint32_t>()->default_value("0"));
  line.AddOptions()("more-entries", "URLs of further entries, by commas",
                    cxxopts::value<std::string>()->default_value(""));
  line.AddOptions()("resubmit", "Sendings after a lost answer, at most",
                    cxxopts::value<uint32_t>()->default_value("0"));
  line.AddOptions()("duplicates", "Share of jobs sent twice at the same time",
                    cxxopts::value<double>()->default_value("0"));
  line.AddOptions()("history", "File that gets each answer as a JSON line",
                    cxxopts::value<std::string>()->default_value(""));
  line.AddOptions()("connections", "Connections to the entry",
                    cxxopts::value<uint32_t>()->default_value("256"));
}

// Reads the options; an empty text means that they are valid.
std::string ReadOptions(const CommandLine& line, LoadOptions& options) {
  const auto& values = line.values();
  const auto schedule = values["schedule"].as<std::string>();
  options.m_rate = values["rate"].as<double>();
  const double seconds = values["seconds"].as<double>();
  options.m_tasks_per_job = values["tasks"].as<uint32_t>();
  options.m_request = values["request"].as<std::string>();
  options.m_payload = values["payload"].as<std::string>();
  options.m_declared_run =
      Milliseconds(values["declared-run-ms"].as<uint32_t>());
  options.m_timeout = Milliseconds(values["timeout-ms"].as<uint32_t>());
  options.m_resubmissions = values["resubmit"].as<uint32_t>();
  options.m_duplicate_share = values["duplicates"].as<double>();
  if (!(options.m_duplicate_share >= 0 && options.m_duplicate_share <= 1)) {
    return "--duplicates takes a number from 0 to 1";
  }
  if (schedule == "poisson") {
    options.m_gaps = PoissonGaps{values["seed"].as<uint64_t>()};
  } else if (schedule != "constant") {
    return "--schedule takes poisson or constant";
  }
  if (!std::isfinite(options.m_rate) || options.m_rate <= 0) {
    return "--rate takes a number above 0";
  }
  constexpr double kMaxSeconds = 86'400;
  if (!(seconds > 0 && seconds <= kMaxSeconds)) {
    return "--seconds takes a number above 0, at most 86400";
  }
  options.m_length = std::chrono::duration_cast<Microseconds>(
      std::chrono::duration<double>(seconds));
  if (options.m_tasks_per_job == 0 ||
      values["connections"].as<uint32_t>() == 0) {
    return "--tasks and --connections take at least 1";
  }
  return "";
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

ExitCode RunLoadCommand(const std::vector<std::string>& arguments,
                        const Terminal& terminal) {
  CommandLine line(
      "load", "Sends jobs at fixed times, however slow the answers are", {});
  line.AddConnectionOptions(kDefaultEntry);
  AddLoadOptions(line);
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  LoadOptions options;
  const std::string fault = ReadOptions(line, options);
  if (!fault.empty()) {
    terminal.m_error << "load: " << fault << "\n";
    return ExitCode::kUsage;
  }
  auto connection =
      Connection::Make(line, line.values()["connections"].as<uint32_t>());
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  options.m_headers = connection.value().Headers();
  std::vector<std::shared_ptr<HttpClient>> entries = {
      connection.value().shared_client()};
  for (const std::string& url :
       SplitList(line.values()["more-entries"].as<std::string>())) {
    HttpClientOptions client_options;
    client_options.m_base_url = url;
    client_options.m_connections = line.values()["connections"].as<uint32_t>();
    auto client = HttpClient::Make(client_options);
    if (!client) {
      terminal.m_error << "load: --more-entries: " << client.error().m_detail
                       << "\n";
      return ExitCode::kUsage;
    }
    entries.push_back(std::move(client.value()));
  }
  std::ofstream history;
  const std::string history_path = line.values()["history"].as<std::string>();
  if (!history_path.empty()) {
    history.open(history_path);
    options.m_history = &history;
  }
  const LoadResult report = RunLoad(entries, options, terminal);
  terminal.m_out << (line.wants_json() ? LoadResultToJson(options, report)
                                       : LoadResultToText(options, report));
  // Refusals are a result of a load, not a fault of the command.
  return report.m_wrong_answers == 0 ? ExitCode::kDone : ExitCode::kFailed;
}

constexpr std::array kCommands = {
    Command{"load", "Put a load on an entry and measure it", &RunLoadCommand},
};

}  // namespace

std::span<const Command> LoadCommands() {
  return kCommands;
}

}  // namespace comfreyshift
