#include "cli/command.h"

#include <algorithm>

namespace comfreyshift {

namespace {

// Returns the words of a command's name.
std::vector<std::string> Words(std::string_view name) {
  std::vector<std::string> words;
  while (!name.empty()) {
    const size_t blank = name.find(' ');
    words.emplace_back(name.substr(0, blank));
    name = blank == std::string_view::npos ? "" : name.substr(blank + 1);
  }
  return words;
}

std::string Help(std::span<const Command> commands) {
  size_t width = 0;
  for (const Command& command : commands) {
    width = std::max(width, command.m_name.size());
  }
  std::string text = "usage: comfreyshift COMMAND [ARGUMENTS]\n\n";
  for (const Command& command : commands) {
    text += "  " + std::string(command.m_name);
    text.append(width - command.m_name.size() + 2, ' ');
    text += std::string(command.m_summary) + "\n";
  }
  return text + "\nEach command has --help.\n";
}

}  // namespace

ExitCode RunCommand(std::span<const Command> commands,
                    const std::vector<std::string>& arguments,
                    const Terminal& terminal) {
  for (const Command& command : commands) {
    const std::vector<std::string> words = Words(command.m_name);
    if (arguments.size() >= words.size() &&
        std::equal(words.begin(), words.end(), arguments.begin())) {
      return command.m_run(
          {arguments.begin() + static_cast<ptrdiff_t>(words.size()),
           arguments.end()},
          terminal);
    }
  }
  const bool asks_for_help =
      std::ranges::find(arguments, "--help") != arguments.end() ||
      (arguments.size() == 1 && arguments[0] == "help");
  if (asks_for_help) {
    terminal.m_out << Help(commands);
    return ExitCode::kDone;
  }
  if (!arguments.empty()) {
    terminal.m_error << "unknown command \"" << arguments[0] << "\"\n\n";
  }
  terminal.m_error << Help(commands);
  return ExitCode::kUsage;
}

}  // namespace comfreyshift
