#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cli/cli.h"
#include "main/roles.h"
#include "platform/platform.h"

namespace comfreyshift {
namespace {

std::vector<Command> AllCommands() {
  std::vector<Command> commands = {
      {"entry", "serve callers and operators", &RunEntry},
      {"agent", "start tasks on a target", &RunAgent},
      {"platform-entry", "serve clients on the users' platform",
       &platform::RunPlatformEntry},
      {"platform-agent", "run tasks beside a runner of the users' platform",
       &platform::RunPlatformAgent},
  };
  for (const auto& group :
       {CallerCommands(), LoadCommands(), LogCommands(), OperatorCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
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
