#ifndef CLI_COMMAND_LINE_H_
#define CLI_COMMAND_LINE_H_

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/output.h"

namespace comfreyshift {

// The command line of one command: options, the arguments that must follow, and
// --help.
class CommandLine {
 public:
  // `positionals` names the arguments that must be there, such as {"NAME"}.
  CommandLine(const std::string& command,
              const std::string& summary,
              std::vector<std::string> positionals);

  // Returns what options are added to.
  cxxopts::OptionAdder AddOptions() { return m_options.add_options(); }

  // Adds --entry, --token-file, --authorities, --timeout-ms and --json.
  void AddConnectionOptions(const std::string& default_entry);

  // Adds --json.
  void AddJsonOption();

  // Returns an exit code if the command ends here: after --help, or because of
  // a fault that it has printed.
  std::optional<ExitCode> Parse(const std::vector<std::string>& arguments,
                                const Terminal& terminal);

  // Only after Parse returned nothing.
  const cxxopts::ParseResult& values() const { return m_values; }
  const std::vector<std::string>& positionals() const { return m_arguments; }
  bool wants_json() const { return m_values["json"].as<bool>(); }

 private:
  std::string m_command;
  std::vector<std::string> m_names;
  cxxopts::Options m_options;
  cxxopts::ParseResult m_values;
  std::vector<std::string> m_arguments;
};

}  // namespace comfreyshift

#endif  // CLI_COMMAND_LINE_H_
