#include "main/roles.h"

#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "agent/agent.h"
#include "entry/entry.h"
#include "fleet/fleet.h"
#include "http/http.h"
#include "logging/logging.h"
#include "main/health_routes.h"
#include "settings/settings.h"

namespace comfreyshift {

namespace {

// Reads a secret from the first line of a file.
std::string ReadSecret(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  return line;
}

// Returns the settings named on the command line, or an exit code.
std::variant<Settings, ExitCode> LoadSettings(
    const std::vector<std::string>& arguments,
    Role role,
    const Terminal& terminal) {
  const std::string name(ToString(role));
  if (arguments == std::vector<std::string>{"--help"}) {
    terminal.m_out << "usage: comfreyshift " << name << " --config FILE\n\n"
                   << "Runs the " << name << " role until SIGTERM.\n";
    return ExitCode::kDone;
  }
  if (arguments.size() != 2 || arguments[0] != "--config") {
    terminal.m_error << name << ": --config FILE is needed\n";
    return ExitCode::kUsage;
  }
  auto settings = ReadSettings(arguments[1]);
  if (!settings) {
    terminal.m_error << settings.error().ToString() << '\n';
    return ExitCode::kUsage;
  }
  const auto file_problems = CheckFiles(settings.value());
  if (!file_problems.empty()) {
    terminal.m_error << SettingsError{arguments[1], file_problems}.ToString()
                     << '\n';
    return ExitCode::kUsage;
  }
  const std::string_view found = ToString(settings.value().m_process.m_role);
  if (found != name) {
    terminal.m_error << arguments[1]
                     << ": section [process], key role: found \"" << found
                     << "\", accepted: \"" << name << "\"\n";
    return ExitCode::kUsage;
  }
  return std::move(settings.value());
}

uint64_t NewSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

NodeConfig ToNodeConfig(const Settings& settings) {
  NodeConfig config;
  const ProcessSettings& process = settings.m_process;
  Member& self = config.m_self;
  // The start time in microseconds is above that of every earlier run of the
  // same name.
  self.m_id = {process.m_name,
               static_cast<uint64_t>(
                   std::chrono::duration_cast<Microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count())};
  self.m_role =
      process.m_role == Role::kEntry ? MemberRole::kEntry : MemberRole::kAgent;
  self.m_datagram_address = settings.m_listen.m_datagram;
  self.m_rpc_address = settings.m_listen.m_rpc;
  self.m_zone = process.m_zone;
  self.m_rack = process.m_rack;
  self.m_worker = process.m_worker;
  self.m_target = settings.m_target ? settings.m_target->m_name : "";
  config.m_fleet_key = ReadSecret(settings.m_fleet.m_key_file);
  for (const Address& seed : settings.m_fleet.m_seeds) {
    if (seed != settings.m_listen.m_datagram) {
      config.m_seeds.push_back(seed);
    }
  }
  config.m_membership.m_fleet_key = config.m_fleet_key;
  config.m_membership.m_proof_lifetime = settings.m_freshness.m_lease;
  config.m_membership.m_ping_period = settings.m_freshness.m_ping_interval;
  config.m_seed = NewSeed();
  return config;
}

// Starts an HTTP listener, with TLS when a certificate is set. Logs and returns
// false when it cannot.
bool Listen(HttpServer& server,
            const Address& address,
            const std::optional<TlsSettings>& tls) {
  if (tls) {
    const auto used = server.UseTls(tls->m_certificate, tls->m_private_key);
    if (!used) {
      LogEvent(LogLevel::kError, "main", "tls_failed",
               {{"reason", used.error().m_detail}});
      return false;
    }
  }
  const auto listening = server.Listen(address);
  if (!listening) {
    LogEvent(LogLevel::kError, "main", "listen_failed",
             {{"address", address.ToString()},
              {"reason", listening.error().m_detail}});
    return false;
  }
  return true;
}

bool StartFailed(const NodeError& error) {
  LogEvent(LogLevel::kError, "main", "start_failed",
           {{"reason", error.m_message}});
  return true;
}

ExitCode ServeAgent(const Settings& settings) {
  RpcRuntime runtime;
  AgentConfig config;
  config.m_node = ToNodeConfig(settings);
  config.m_owner.m_retention = settings.m_limits.m_retention;
  config.m_owner.m_freshness = settings.m_freshness.m_lease;
  config.m_owner.m_max_jobs = settings.m_limits.m_max_jobs;
  config.m_owner.m_seed = config.m_node.m_seed;
  config.m_starter.m_retention = settings.m_limits.m_retention;
  config.m_starter.m_target = settings.m_target->m_name;
  config.m_starter.m_slots = settings.m_target->m_slots;
  config.m_target_address = settings.m_target->m_address;
  config.m_target_connections = settings.m_target->m_connections;
  config.m_max_answer_bytes = settings.m_limits.m_max_answer_bytes;
  auto agent = AgentProcess::Start(std::move(config), runtime);
  if (!agent) {
    StartFailed(agent.error());
    return ExitCode::kFailed;
  }
  HttpServer operators(settings.m_limits.m_max_body_bytes);
  AddHealthRoutes(
      operators, [&agent]() { return agent.value()->ready(BootClock::now()); },
      [&agent]() { return agent.value()->RenderMetrics(); });
  if (!Listen(operators, settings.m_listen.m_operator_http, settings.m_tls)) {
    return ExitCode::kFailed;
  }
  LogEvent(LogLevel::kInfo, "main", "started");
  GracefulMainLoop stop([&](std::function<void()> stopped) {
    agent.value()->Drain(BootClock::now() + settings.m_limits.m_drain,
                         std::move(stopped));
  });
  stop.Run();
  LogEvent(LogLevel::kInfo, "main", "stopped");
  return ExitCode::kDone;
}

ExitCode ServeEntry(const Settings& settings) {
  RpcRuntime runtime;
  EntryConfig config;
  config.m_node = ToNodeConfig(settings);
  config.m_table.m_retention = settings.m_limits.m_retention;
  StoreSettings store_settings;
  store_settings.m_url = settings.m_store->m_endpoints.front();
  auto entry = EntryProcess::Start(
      std::move(config), StoreClient::Create(store_settings), runtime);
  if (!entry) {
    StartFailed(entry.error());
    return ExitCode::kFailed;
  }
  CallerApi caller_api({settings.m_limits.m_retention}, *entry.value());
  OperatorApi operator_api(ReadSecret(settings.m_operators.m_token_file),
                           settings.m_freshness.m_lease, *entry.value());
  HttpServer callers(settings.m_limits.m_max_body_bytes);
  caller_api.AddRoutes(callers);
  HttpServer operators(settings.m_limits.m_max_body_bytes);
  operator_api.AddRoutes(operators);
  AddHealthRoutes(
      operators, [&entry]() { return entry.value()->ready(BootClock::now()); },
      [&entry]() { return entry.value()->RenderMetrics(); });
  if (!Listen(callers, *settings.m_listen.m_http, settings.m_tls) ||
      !Listen(operators, settings.m_listen.m_operator_http, settings.m_tls)) {
    return ExitCode::kFailed;
  }
  LogEvent(LogLevel::kInfo, "main", "started");
  GracefulMainLoop stop(
      [&](std::function<void()> stopped) { callers.Stop(std::move(stopped)); });
  stop.Run();
  LogEvent(LogLevel::kInfo, "main", "stopped");
  return ExitCode::kDone;
}

ExitCode RunRole(const std::vector<std::string>& arguments,
                 Role role,
                 const Terminal& terminal) {
  auto loaded = LoadSettings(arguments, role, terminal);
  if (const auto* exit = std::get_if<ExitCode>(&loaded)) {
    return *exit;
  }
  const Settings& settings = std::get<Settings>(loaded);
  InitLogging(settings.m_process.m_name, settings.m_process.m_log_level);
  SetReloadHandler([]() {
    LogEvent(LogLevel::kWarning, "main", "reload_ignored",
             {{"reason", "settings are read at the start only"}});
  });
  return role == Role::kEntry ? ServeEntry(settings) : ServeAgent(settings);
}

}  // namespace

ExitCode RunEntry(const std::vector<std::string>& arguments,
                  const Terminal& terminal) {
  return RunRole(arguments, Role::kEntry, terminal);
}

ExitCode RunAgent(const std::vector<std::string>& arguments,
                  const Terminal& terminal) {
  return RunRole(arguments, Role::kAgent, terminal);
}

}  // namespace comfreyshift
