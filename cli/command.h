#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"
#include "cli/output.h"

namespace comfreyshift {

// One command. The function takes the arguments after the command's name, and
// prints its own help for --help.
struct Command {
  // One or two words, such as "zone close".
  std::string_view m_name;
  std::string_view m_summary;
  ExitCode (*m_run)(const std::vector<std::string>& arguments,
                    const Terminal& terminal);
};

// Returns the commands for operators: inventory, zone, client, target, status,
// audit and check-config.
std::span<const Command> OperatorCommands();

// Returns the commands for callers: submit, cancel and new-key.
std::span<const Command> CallerCommands();

// Returns the command `load`.
std::span<const Command> LoadCommands();

// Returns the command `explain`.
std::span<const Command> LogCommands();

// Runs the command that `arguments` begin with. Without arguments, for an
// unknown command and for --help it lists the commands; the first two are
// kUsage.
ExitCode RunCommand(std::span<const Command> commands,
                    const std::vector<std::string>& arguments,
                    const Terminal& terminal);

}  // namespace comfreyshift

#endif  // CLI_COMMAND_H_
