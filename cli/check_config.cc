#include "cli/check_config.h"

#include "cli/command_line.h"
#include "cli/connection.h"
#include "cli/inventory_file.h"
#include "settings/settings.h"

namespace comfreyshift {

namespace {

CommandError CheckConfigError(std::string message) {
  return {ExitCode::kUsage, "config", std::move(message), nullptr};
}

// Returns the faults of a settings file, empty if there are none.
std::string SettingsFaults(const std::string& path, bool checks_files) {
  const auto settings = ReadSettings(path);
  if (!settings) {
    return settings.error().ToString();
  }
  SettingsError error{path, {}};
  if (checks_files) {
    error.m_problems = CheckFiles(settings.value());
  }
  return error.ToString();
}

}  // namespace

ExitCode RunCheckConfig(const std::vector<std::string>& arguments,
                        const Terminal& terminal) {
  CommandLine line("check-config",
                   "Checks a settings file, or an inventory file", {"FILE"});
  line.AddOptions()("inventory", "The file is an inventory file");
  line.AddOptions()("syntax-only",
                    "Do not look for the files that the settings name");
  line.AddJsonOption();
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const std::string& path = line.positionals()[0];
  std::string faults;
  if (line.values()["inventory"].as<bool>()) {
    const auto inventory = ReadInventoryFile(path);
    faults = inventory ? "" : inventory.error().m_message;
  } else {
    faults = SettingsFaults(path, !line.values()["syntax-only"].as<bool>());
  }
  if (!faults.empty()) {
    return PrintError(CheckConfigError(faults), line.wants_json(), terminal);
  }
  terminal.m_out << (line.wants_json() ? "{\"valid\":true}\n"
                                       : path + ": valid\n");
  return ExitCode::kDone;
}

}  // namespace comfreyshift
