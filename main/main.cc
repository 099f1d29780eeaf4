#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/cli.h"
#include "fleet/fleet.h"
#include "main/roles.h"
#include "platform/platform.h"

namespace comfreyshift {
namespace {

// Commands that run until they are told to stop.
constexpr std::array kRoles = {
    Command{"entry", "serve callers and operators", &RunEntry},
    Command{"agent", "start tasks on a target", &RunAgent},
    Command{"platform-entry", "serve clients on the users' platform",
            &platform::RunPlatformEntry},
    Command{"platform-agent",
            "run tasks beside a runner of the users' platform",
            &platform::RunPlatformAgent},
};

bool IsRole(std::string_view name) {
  return std::ranges::find(kRoles, name, &Command::m_name) != kRoles.end();
}

std::vector<Command> AllCommands() {
  std::vector<Command> commands(kRoles.begin(), kRoles.end());
  for (const auto& group :
       {CallerCommands(), LoadCommands(), LogCommands(), OperatorCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  if (argc > 1 && comfreyshift::IsRole(argv[1])) {
    comfreyshift::InstallSignalHandlers();
  }
  const comfreyshift::Terminal terminal{std::cout, std::cerr,
                                        isatty(STDERR_FILENO) == 1};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto exit_code = static_cast<int>(comfreyshift::RunCommand(
      comfreyshift::AllCommands(), arguments, terminal));
  // Ends without static destructors: log4cplus joins its threads there, which
  // kept stopped processes alive until they were killed.
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(exit_code);
}
