#include <cstdio>
#include <string_view>

#include "cli/cli.h"
#include "main/roles.h"

namespace {

struct Command {
  std::string_view m_name;
  int (*m_run)(int argc, char** argv);
  std::string_view m_help;
};

constexpr Command kCommands[] = {
    {"entry", &comfreyshift::RunEntry, "serve callers and operators"},
    {"agent", &comfreyshift::RunAgent, "start tasks on a target"},
    {"submit", &comfreyshift::RunSubmit,
     "submit a job and wait for its answer"},
    {"inventory", &comfreyshift::RunInventory, "apply an inventory file"},
    {"new-key", &comfreyshift::RunNewKey, "print a new submission key"},
};

int Usage(int status) {
  std::FILE* out = status == 0 ? stdout : stderr;
  std::fputs("usage: comfreyshift COMMAND [OPTIONS]\n\ncommands:\n", out);
  for (const Command& command : kCommands) {
    std::fprintf(out, "  %-12s %s\n", command.m_name.data(),
                 command.m_help.data());
  }
  std::fputs("\n`comfreyshift COMMAND --help` describes a command.\n", out);
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    return Usage(0);
  }
  for (const Command& command : kCommands) {
    if (command.m_name == name) {
      return command.m_run(argc - 1, argv + 1);
    }
  }
  return Usage(2);
}
