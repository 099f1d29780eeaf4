#include <array>
#include <fstream>
#include <iostream>

#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/explanation.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr const char* kStandardInput = "-";

// The fields that have no column of their own, as name=value.
std::string DetailsOf(const LogRecord& record) {
  std::string text;
  for (const auto& [name, value] : record.m_fields.items()) {
    if (name == "time" || name == "process" || name == "event" ||
        name == "level" || name == "component") {
      continue;
    }
    text.append(text.empty() ? "" : " ")
        .append(name)
        .append("=")
        .append(value.is_string() ? value.get<std::string>() : DumpJson(value));
  }
  return text;
}

std::string ToText(const std::vector<LogRecord>& records) {
  Table table({"time", "process", "event", "details"});
  for (const LogRecord& record : records) {
    table.AddRow(
        {record.m_time, record.m_process, record.m_event, DetailsOf(record)});
  }
  return table.ToString();
}

std::string ToJson(const std::string& id,
                   const std::vector<LogRecord>& records) {
  Json lines = Json::array();
  for (const LogRecord& record : records) {
    lines.push_back(record.m_fields);
  }
  return DumpJson({{"id", id},
                   {"explanation", ExplainRecords(records)},
                   {"records", std::move(lines)}});
}

// Returns false if a file cannot be read.
bool ReadLogs(const std::vector<std::string>& paths,
              JobLogs& logs,
              const Terminal& terminal) {
  for (const std::string& path : paths) {
    if (path == kStandardInput) {
      logs.Read(std::cin);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      terminal.m_error << "explain: " << path << " cannot be read\n";
      return false;
    }
    logs.Read(file);
  }
  return true;
}

ExitCode RunExplain(const std::vector<std::string>& arguments,
                    const Terminal& terminal) {
  CommandLine line("explain",
                   "Explains from logs how a job or a client's request ended",
                   {"ID"});
  line.AddOptions()("log", "Log files, or - for standard input",
                    cxxopts::value<std::vector<std::string>>()->default_value(
                        kStandardInput));
  line.AddJsonOption();
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const std::string& id = line.positionals().front();
  JobLogs logs(id);
  if (!ReadLogs(line.values()["log"].as<std::vector<std::string>>(), logs,
                terminal)) {
    return ExitCode::kUsage;
  }
  const std::vector<LogRecord> records = logs.Records();
  if (logs.unreadable_lines() > 0) {
    terminal.m_error << "explain: " << logs.unreadable_lines()
                     << " lines are no log lines and were left out\n";
  }
  if (line.wants_json()) {
    terminal.m_out << ToJson(id, records) << '\n';
  } else {
    terminal.m_out << (records.empty() ? "" : ToText(records))
                   << id + ": " + ExplainRecords(records) + "\n";
  }
  return records.empty() ? ExitCode::kFailed : ExitCode::kDone;
}

constexpr std::array kLogCommands = {
    Command{"explain", "explain from logs how a job ended", &RunExplain},
};

}  // namespace

std::span<const Command> LogCommands() {
  return kLogCommands;
}

}  // namespace comfreyshift
