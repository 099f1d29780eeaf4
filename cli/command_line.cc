#include "cli/command_line.h"

#include <utility>

namespace comfreyshift {

namespace {

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

}  // namespace

CommandLine::CommandLine(const std::string& command,
                         const std::string& summary,
                         std::vector<std::string> positionals)
    : m_command(command),
      m_names(std::move(positionals)),
      m_options("comfreyshift " + command, summary) {
  m_options.custom_help("[OPTIONS] " + Join(m_names));
  AddOptions()("help", "Print this help");
}

void CommandLine::AddConnectionOptions(const std::string& default_entry) {
  AddOptions()("entry", "URL of an entry",
               cxxopts::value<std::string>()->default_value(default_entry));
  AddOptions()("token-file", "File that holds the bearer token",
               cxxopts::value<std::string>()->default_value(""));
  AddOptions()("authorities", "PEM file of the authorities trusted for HTTPS",
               cxxopts::value<std::string>()->default_value(""));
  AddOptions()("timeout-ms", "How long to wait for an answer",
               cxxopts::value<uint32_t>()->default_value("30000"));
  AddJsonOption();
}

void CommandLine::AddJsonOption() {
  AddOptions()("json", "Print JSON for programs");
}

std::optional<ExitCode> CommandLine::Parse(
    const std::vector<std::string>& arguments,
    const Terminal& terminal) {
  std::vector<const char*> raw = {m_command.c_str()};
  for (const std::string& argument : arguments) {
    raw.push_back(argument.c_str());
  }
  try {
    m_values = m_options.parse(static_cast<int>(raw.size()), raw.data());
  } catch (const cxxopts::exceptions::exception& error) {
    terminal.m_error << m_command << ": " << error.what() << "\n";
    return ExitCode::kUsage;
  }
  if (m_values["help"].as<bool>()) {
    terminal.m_out << m_options.help();
    return ExitCode::kDone;
  }
  m_arguments = m_values.unmatched();
  if (m_arguments.size() != m_names.size()) {
    terminal.m_error << m_command << ": takes "
                     << (m_names.empty() ? "no arguments" : Join(m_names))
                     << ", found \"" << Join(m_arguments) << "\"\n";
    return ExitCode::kUsage;
  }
  return std::nullopt;
}

}  // namespace comfreyshift
