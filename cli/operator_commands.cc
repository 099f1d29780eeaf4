#include <array>
#include <utility>

#include "cli/check_config.h"
#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/connection.h"
#include "cli/inventory_file.h"
#include "cli/report.h"
#include "cli/retirement.h"
#include "inventory/inventory.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr const char* kDefaultEntry = "http://127.0.0.1:8081";

// The inventory in force and its revision.
struct CurrentInventory {
  Inventory m_inventory;
  std::string m_etag;
  Json m_body;
};

CommandResult<CurrentInventory> FetchInventory(Connection& connection) {
  BOOST_OUTCOME_TRY(answer, connection.Get("/v1/inventory"));
  const Json inventory = answer.m_body.value("inventory", Json::object());
  auto parsed = InventoryFromJson("GET /v1/inventory", DumpJson(inventory));
  if (!parsed) {
    return CommandError{ExitCode::kFailed, "malformed_answer",
                        parsed.error().ToString(), nullptr};
  }
  const auto etag = answer.m_headers.find("etag");
  return CurrentInventory{std::move(parsed).value(),
                          etag == answer.m_headers.end() ? "" : etag->second,
                          std::move(answer.m_body)};
}

void AddEditOptions(CommandLine& line) {
  line.AddConnectionOptions(kDefaultEntry);
  line.AddOptions()("dry-run", "Only show what would be affected");
  line.AddOptions()("edit-id", "Id of an earlier edit whose outcome is unknown",
                    cxxopts::value<std::string>()->default_value(""));
}

std::string EditId(const CommandLine& line) {
  const auto given = line.values()["edit-id"].as<std::string>();
  return given.empty() ? MakeKey().ToString() : given;
}

ExitCode PrintEdit(const CommandLine& line,
                   const OperatorAnswer& answer,
                   const Terminal& terminal) {
  terminal.m_out << (line.wants_json() ? DumpJson(answer.m_body) + "\n"
                                       : EditToText(answer.m_body));
  return ExitCode::kDone;
}

// Runs an edit that is a POST without a body.
ExitCode RunPost(const CommandLine& line,
                 std::string path,
                 bool is_forced,
                 const Terminal& terminal) {
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  const bool is_dry_run = line.values()["dry-run"].as<bool>();
  path += is_dry_run ? "?dry_run=true" : "";
  if (is_forced) {
    path += is_dry_run ? "&force=true" : "?force=true";
  }
  const auto answer = connection.value().Edit("POST", path, "", EditId(line));
  if (!answer) {
    return PrintError(answer.error(), line.wants_json(), terminal);
  }
  return PrintEdit(line, answer.value(), terminal);
}

// Returns whether `name` can be part of a path, and reports it if not.
bool CheckName(const std::string& name, const Terminal& terminal) {
  if (IsInventoryName(name)) {
    return true;
  }
  terminal.m_error << "the name \"" << name
                   << "\" is not 1 to 64 lower-case letters, digits, '-', '_' "
                      "and '.'\n";
  return false;
}

ExitCode RunInventoryShow(const std::vector<std::string>& arguments,
                          const Terminal& terminal) {
  CommandLine line("inventory show", "Prints the inventory in force as INI",
                   {});
  line.AddConnectionOptions(kDefaultEntry);
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  const auto current = FetchInventory(connection.value());
  if (!current) {
    return PrintError(current.error(), line.wants_json(), terminal);
  }
  terminal.m_out << (line.wants_json()
                         ? DumpJson(current.value().m_body) + "\n"
                         : FormatInventory(current.value().m_inventory));
  return ExitCode::kDone;
}

ExitCode RunInventoryDiff(const std::vector<std::string>& arguments,
                          const Terminal& terminal) {
  CommandLine line("inventory diff",
                   "Shows what applying an inventory file would change",
                   {"FILE"});
  line.AddConnectionOptions(kDefaultEntry);
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const auto wanted = ReadInventoryFile(line.positionals()[0]);
  if (!wanted) {
    return PrintError(wanted.error(), line.wants_json(), terminal);
  }
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  const auto current = FetchInventory(connection.value());
  if (!current) {
    return PrintError(current.error(), line.wants_json(), terminal);
  }
  const auto changes = Diff(current.value().m_inventory, wanted.value());
  terminal.m_out << (line.wants_json() ? DiffToJson(changes) + "\n"
                                       : DiffToText(changes));
  return ExitCode::kDone;
}

ExitCode RunInventoryApply(const std::vector<std::string>& arguments,
                           const Terminal& terminal) {
  CommandLine line("inventory apply",
                   "Replaces the inventory by that of an INI file", {"FILE"});
  AddEditOptions(line);
  line.AddOptions()("revision",
                    "Fail unless this revision is in force; the one read at "
                    "the start if not given",
                    cxxopts::value<std::string>()->default_value(""));
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const auto wanted = ReadInventoryFile(line.positionals()[0]);
  if (!wanted) {
    return PrintError(wanted.error(), line.wants_json(), terminal);
  }
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  const auto given = line.values()["revision"].as<std::string>();
  std::string etag = "\"" + given + "\"";
  if (given.empty()) {
    const auto current = FetchInventory(connection.value());
    if (!current) {
      return PrintError(current.error(), line.wants_json(), terminal);
    }
    etag = current.value().m_etag;
  }
  const bool is_dry_run = line.values()["dry-run"].as<bool>();
  const auto answer = connection.value().Edit(
      "PUT", is_dry_run ? "/v1/inventory?dry_run=true" : "/v1/inventory",
      InventoryToJson(wanted.value()), EditId(line), {{"If-Match", etag}});
  if (!answer) {
    return PrintError(answer.error(), line.wants_json(), terminal);
  }
  return PrintEdit(line, answer.value(), terminal);
}

ExitCode RunZone(const std::string& action,
                 const std::string& summary,
                 const std::vector<std::string>& arguments,
                 const Terminal& terminal) {
  CommandLine line("zone " + action, summary, {"NAME"});
  AddEditOptions(line);
  line.AddOptions()("force",
                    "Pass without a majority of the witnesses, after the loss "
                    "of two zones");
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const std::string& name = line.positionals()[0];
  if (!CheckName(name, terminal)) {
    return ExitCode::kUsage;
  }
  return RunPost(line, "/v1/zones/" + name + "/" + action,
                 line.values()["force"].as<bool>(), terminal);
}

ExitCode RunZoneClose(const std::vector<std::string>& arguments,
                      const Terminal& terminal) {
  return RunZone("close", "Takes an availability zone out of service",
                 arguments, terminal);
}

ExitCode RunZoneOpen(const std::vector<std::string>& arguments,
                     const Terminal& terminal) {
  return RunZone("open", "Brings an availability zone back into service",
                 arguments, terminal);
}

// Retires, then shows the proof and waits for it if asked to.
ExitCode RunRetire(const std::string& kind,
                   const std::string& summary,
                   const std::vector<std::string>& arguments,
                   const Terminal& terminal) {
  CommandLine line(kind + " retire", summary, {"NAME"});
  AddEditOptions(line);
  // A retirement is in force within 5 s, or 18 s at the two-year size.
  line.AddOptions()("wait-ms",
                    "How long to wait for the proof; 0 does not ask for it",
                    cxxopts::value<uint32_t>()->default_value("20000"));
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const std::string& name = line.positionals()[0];
  if (!CheckName(name, terminal)) {
    return ExitCode::kUsage;
  }
  const ExitCode edited =
      RunPost(line, "/v1/" + kind + "s/" + name + "/retire", false, terminal);
  const Milliseconds wait(line.values()["wait-ms"].as<uint32_t>());
  if (edited != ExitCode::kDone || line.values()["dry-run"].as<bool>() ||
      wait == Milliseconds(0)) {
    return edited;
  }
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  return ShowRetirement(connection.value(), kind, name, BootClock::now() + wait,
                        line.wants_json(), terminal);
}

ExitCode RunClientRetire(const std::vector<std::string>& arguments,
                         const Terminal& terminal) {
  return RunRetire("client",
                   "Retires a client and shows the proof that it has ended",
                   arguments, terminal);
}

ExitCode RunTargetRetire(const std::vector<std::string>& arguments,
                         const Terminal& terminal) {
  return RunRetire("target",
                   "Lets a target leave and shows the proof that it has",
                   arguments, terminal);
}

// Prints the answer to a GET by `to_text`, or as it is.
ExitCode RunGet(const CommandLine& line,
                const std::string& path,
                std::string (*to_text)(const Json&),
                const Terminal& terminal) {
  auto connection = Connection::Make(line);
  if (!connection) {
    return PrintError(connection.error(), line.wants_json(), terminal);
  }
  const auto answer = connection.value().Get(path);
  if (!answer) {
    return PrintError(answer.error(), line.wants_json(), terminal);
  }
  const Json& body = answer.value().m_body;
  terminal.m_out << (line.wants_json() ? DumpJson(body) + "\n" : to_text(body));
  return ExitCode::kDone;
}

ExitCode RunStatus(const std::vector<std::string>& arguments,
                   const Terminal& terminal) {
  CommandLine line("status", "Shows zones, members and freshness", {});
  line.AddConnectionOptions(kDefaultEntry);
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  return RunGet(line, "/v1/status", &StatusToText, terminal);
}

ExitCode RunAudit(const std::vector<std::string>& arguments,
                  const Terminal& terminal) {
  CommandLine line("audit", "Shows the newest changes of the configuration",
                   {});
  line.AddConnectionOptions(kDefaultEntry);
  line.AddOptions()("limit", "How many changes to show, 1 to 1000",
                    cxxopts::value<uint32_t>()->default_value("20"));
  if (const auto exit = line.Parse(arguments, terminal)) {
    return *exit;
  }
  const auto limit = line.values()["limit"].as<uint32_t>();
  return RunGet(line, "/v1/audit?limit=" + std::to_string(limit), &AuditToText,
                terminal);
}

constexpr std::array kCommands = {
    Command{"inventory apply", "Replace the inventory by that of a file",
            &RunInventoryApply},
    Command{"inventory diff", "Show what applying a file would change",
            &RunInventoryDiff},
    Command{"inventory show", "Print the inventory in force",
            &RunInventoryShow},
    Command{"zone close", "Take an availability zone out of service",
            &RunZoneClose},
    Command{"zone open", "Bring an availability zone back", &RunZoneOpen},
    Command{"client retire", "Retire a client, with proof", &RunClientRetire},
    Command{"target retire", "Retire a target, with proof", &RunTargetRetire},
    Command{"status", "Show zones, members and freshness", &RunStatus},
    Command{"audit", "Show the newest changes", &RunAudit},
    Command{"check-config", "Check a settings or inventory file",
            &RunCheckConfig},
};

}  // namespace

std::span<const Command> OperatorCommands() {
  return kCommands;
}

}  // namespace comfreyshift
