#include "settings/settings.h"

#include <glib.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "settings/key_file.h"

namespace comfreyshift {

namespace {

constexpr uint64_t kMaxSlots = 4096;
constexpr uint64_t kMaxConnections = 65536;
constexpr uint64_t kMaxBytes = 1ULL << 30;
// A revision reaches 2,400 members by pull gossip in about 13 ping rounds, so a
// shorter lease would expire between two proofs.
constexpr int kPingsPerLease = 13;

std::string Quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::optional<Role> ParseRole(std::string_view text) {
  for (const Role role : {Role::kEntry, Role::kAgent}) {
    if (text == ToString(role)) {
      return role;
    }
  }
  return std::nullopt;
}

// Returns the URL of a store endpoint given as IP:PORT or URL.
std::optional<std::string> ParseEndpoint(const std::string& text) {
  if (Address::Parse(text)) {
    return "http://" + text;
  }
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (!text.starts_with(scheme)) {
      continue;
    }
    std::string url = text;
    while (url.ends_with('/')) {
      url.pop_back();
    }
    const std::string_view host =
        std::string_view(url).substr(std::min(url.size(), scheme.size()));
    if (!host.empty() && host.find_first_of("/?# ") == std::string_view::npos) {
      return url;
    }
  }
  return std::nullopt;
}

std::string ReadPath(KeyFile& file,
                     const std::string& section,
                     const std::string& key) {
  return file.Require(section, key, "a file path").value_or("");
}

ProcessSettings ReadProcess(KeyFile& file) {
  const std::string section = "process";
  ProcessSettings process;
  const std::string accepted = "entry or agent";
  if (const auto role = file.Require(section, "role", accepted)) {
    const std::optional<Role> parsed = ParseRole(*role);
    if (!parsed) {
      file.AddProblem({section, "role", Quote(*role), accepted});
    }
    process.m_role = parsed.value_or(Role::kEntry);
  }
  process.m_name = file.Name(section, "name");
  process.m_zone = file.Name(section, "zone");
  process.m_rack = file.Name(section, "rack");
  process.m_worker = file.Name(section, "worker");
  if (const auto level = file.Find(section, "log_level")) {
    const std::optional<LogLevel> parsed = ParseLogLevel(*level);
    if (!parsed) {
      file.AddProblem({section, "log_level", Quote(*level),
                       "debug, info, warning or error"});
    }
    process.m_log_level = parsed.value_or(LogLevel::kInfo);
  }
  return process;
}

ListenSettings ReadListen(KeyFile& file, Role role) {
  const std::string section = "listen";
  ListenSettings listen;
  const bool has_http = file.Find(section, "http").has_value();
  if (role == Role::kEntry) {
    listen.m_http = file.RequireAddress(section, "http");
  } else if (has_http) {
    file.AddProblem({section, "http", "a value on an agent",
                     "no value: only entries serve callers"});
  }
  listen.m_operator_http = file.RequireAddress(section, "operator_http");
  listen.m_rpc = file.RequireAddress(section, "rpc");
  listen.m_datagram = file.RequireAddress(section, "datagram");
  return listen;
}

std::optional<TlsSettings> ReadTls(KeyFile& file) {
  const bool has_section = file.HasSection("tls");
  const auto certificate = file.Find("tls", "certificate");
  const auto private_key = file.Find("tls", "private_key");
  if (!has_section) {
    return std::nullopt;
  }
  if (!certificate || certificate->empty()) {
    file.AddProblem(
        {"tls", "certificate", "no value",
         "a PEM file; both certificate and private_key are needed"});
  }
  if (!private_key || private_key->empty()) {
    file.AddProblem(
        {"tls", "private_key", "no value",
         "a PEM file; both certificate and private_key are needed"});
  }
  return TlsSettings{certificate.value_or(""), private_key.value_or("")};
}

FleetSettings ReadFleet(KeyFile& file) {
  FleetSettings fleet;
  fleet.m_key_file = ReadPath(file, "fleet", "key_file");
  const auto seeds = file.Find("fleet", "seeds");
  if (!seeds || seeds->empty()) {
    return fleet;
  }
  for (const std::string& part : KeyFile::Split(*seeds)) {
    const std::optional<Address> address = Address::Parse(part);
    if (address) {
      fleet.m_seeds.push_back(*address);
    } else {
      file.AddProblem({"fleet", "seeds", Quote(part),
                       "IP:PORT datagram addresses of entries, with commas"});
    }
  }
  return fleet;
}

StoreEndpointSettings ReadStore(KeyFile& file) {
  const std::string section = "store";
  const std::string accepted =
      "IP:PORT or http(s)://HOST:PORT addresses, with commas";
  StoreEndpointSettings store;
  if (const auto list = file.Require(section, "endpoints", accepted)) {
    for (const std::string& part : KeyFile::Split(*list)) {
      const std::optional<std::string> url = ParseEndpoint(part);
      if (url) {
        store.m_endpoints.push_back(*url);
      } else {
        file.AddProblem({section, "endpoints", Quote(part), accepted});
      }
    }
  }
  store.m_timeout = Milliseconds(
      file.Number(section, "timeout_ms", store.m_timeout.count(), 10, 60'000));
  store.m_calls_per_second = static_cast<uint32_t>(file.Number(
      section, "calls_per_second", store.m_calls_per_second, 1, 100'000));
  return store;
}

TargetSettings ReadTarget(KeyFile& file) {
  const std::string section = "target";
  TargetSettings target;
  target.m_name = file.Name(section, "name");
  target.m_address = file.RequireAddress(section, "address");
  target.m_slots = static_cast<uint32_t>(
      file.Number(section, "slots", target.m_slots, 1, kMaxSlots));
  target.m_connections = static_cast<uint32_t>(file.Number(
      section, "connections", target.m_connections, 1, kMaxConnections));
  return target;
}

LimitSettings ReadLimits(KeyFile& file) {
  const std::string section = "limits";
  LimitSettings limits;
  limits.m_max_body_bytes = file.Number(section, "max_body_bytes",
                                        limits.m_max_body_bytes, 1, kMaxBytes);
  limits.m_max_jobs = static_cast<uint32_t>(
      file.Number(section, "max_jobs", limits.m_max_jobs, 1, 100'000'000));
  limits.m_max_answer_bytes = file.Number(
      section, "max_answer_bytes", limits.m_max_answer_bytes, 1, kMaxBytes);
  limits.m_retention = std::chrono::seconds(file.Number(
      section, "retention_s", limits.m_retention.count(), 1, 86'400));
  limits.m_drain = std::chrono::seconds(
      file.Number(section, "drain_s", limits.m_drain.count(), 0, 3'600));
  return limits;
}

FreshnessSettings ReadFreshness(KeyFile& file) {
  const std::string section = "freshness";
  FreshnessSettings freshness;
  freshness.m_lease = Milliseconds(
      file.Number(section, "lease_ms", freshness.m_lease.count(), 100, 60'000));
  freshness.m_ping_interval =
      Milliseconds(file.Number(section, "ping_interval_ms",
                               freshness.m_ping_interval.count(), 5, 10'000));
  return freshness;
}

// Reads `section` for the role that uses it, and rejects it for the other.
template <class T>
std::optional<T> ReadForRole(KeyFile& file,
                             const std::string& section,
                             bool is_used,
                             T (*read)(KeyFile&)) {
  if (is_used) {
    return read(file);
  }
  if (file.HasSection(section)) {
    file.Ignore(section);
    file.AddProblem({section, "", "a section of the other role",
                     "[store] on entries, [target] on agents"});
  }
  return std::nullopt;
}

Settings ReadAll(KeyFile& file) {
  Settings settings;
  settings.m_process = ReadProcess(file);
  const Role role = settings.m_process.m_role;
  settings.m_listen = ReadListen(file, role);
  settings.m_tls = ReadTls(file);
  settings.m_fleet = ReadFleet(file);
  settings.m_store =
      ReadForRole(file, "store", role == Role::kEntry, &ReadStore);
  settings.m_target =
      ReadForRole(file, "target", role == Role::kAgent, &ReadTarget);
  if (role == Role::kEntry) {
    settings.m_operators.m_token_file =
        ReadPath(file, "operators", "token_file");
  } else {
    settings.m_operators.m_token_file =
        file.Find("operators", "token_file").value_or("");
  }
  settings.m_limits = ReadLimits(file);
  settings.m_freshness = ReadFreshness(file);
  return settings;
}

void CheckFile(const std::string& section,
               const std::string& key,
               const std::filesystem::path& path,
               std::vector<SettingsProblem>& problems) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    problems.push_back(
        {section, key, Quote(path.string()), "a file that can be read"});
  } else if (stream.peek() == std::ifstream::traits_type::eof()) {
    problems.push_back(
        {section, key, Quote(path.string()), "a file that is not empty"});
  }
}

void CheckTcpPorts(const ListenSettings& listen,
                   std::vector<SettingsProblem>& problems) {
  const std::string accepted =
      "an address of its own: http, operator_http and rpc all use TCP";
  if (listen.m_http == listen.m_operator_http) {
    problems.push_back({"listen", "operator_http",
                        Quote(listen.m_operator_http.ToString()), accepted});
  }
  if (listen.m_rpc == listen.m_operator_http || listen.m_http == listen.m_rpc) {
    problems.push_back(
        {"listen", "rpc", Quote(listen.m_rpc.ToString()), accepted});
  }
}

std::string Text(Milliseconds value) {
  return std::to_string(value.count());
}

}  // namespace

std::string_view ToString(Role role) {
  return role == Role::kEntry ? "entry" : "agent";
}

std::string SettingsError::ToString() const {
  std::string text;
  for (const SettingsProblem& problem : m_problems) {
    text += m_file;
    if (!problem.m_section.empty()) {
      text += ": section [" + problem.m_section + "]";
    }
    if (!problem.m_key.empty()) {
      text += ", key \"" + problem.m_key + "\"";
    }
    text += ": found " + problem.m_found + "; accepted: " + problem.m_accepted +
            "\n";
  }
  return text;
}

std::vector<SettingsProblem> CheckSettings(const Settings& settings) {
  std::vector<SettingsProblem> problems;
  CheckTcpPorts(settings.m_listen, problems);
  // A process that is not in the table yet knows its peers by one address only.
  if (settings.m_listen.m_rpc != settings.m_listen.m_datagram) {
    problems.push_back({"listen", "datagram",
                        settings.m_listen.m_datagram.ToString(),
                        "the same address and port as rpc"});
  }
  const FreshnessSettings& freshness = settings.m_freshness;
  if (freshness.m_ping_interval * kPingsPerLease > freshness.m_lease) {
    problems.push_back(
        {"freshness", "ping_interval_ms", Text(freshness.m_ping_interval),
         "at most lease_ms / " + std::to_string(kPingsPerLease)});
  }
  const LimitSettings& limits = settings.m_limits;
  if (limits.m_retention < freshness.m_lease + kAllowedClockError) {
    problems.push_back({"limits", "retention_s",
                        std::to_string(limits.m_retention.count()),
                        "at least lease_ms plus the clock error of 5 s"});
  }
  if (limits.m_drain > limits.m_retention) {
    problems.push_back({"limits", "drain_s",
                        std::to_string(limits.m_drain.count()),
                        "at most retention_s"});
  }
  if (settings.m_store && settings.m_store->m_timeout >= freshness.m_lease) {
    problems.push_back({"store", "timeout_ms",
                        Text(settings.m_store->m_timeout),
                        "less than lease_ms"});
  }
  if (settings.m_target &&
      settings.m_target->m_slots > settings.m_target->m_connections) {
    problems.push_back({"target", "slots",
                        std::to_string(settings.m_target->m_slots),
                        "at most connections"});
  }
  if (settings.m_process.m_role == Role::kAgent &&
      settings.m_fleet.m_seeds.empty()) {
    problems.push_back({"fleet", "seeds", "no value",
                        "at least one datagram address of an entry"});
  }
  return problems;
}

std::vector<SettingsProblem> CheckFiles(const Settings& settings) {
  std::vector<SettingsProblem> problems;
  CheckFile("fleet", "key_file", settings.m_fleet.m_key_file, problems);
  if (!settings.m_operators.m_token_file.empty()) {
    CheckFile("operators", "token_file", settings.m_operators.m_token_file,
              problems);
  }
  if (settings.m_tls) {
    CheckFile("tls", "certificate", settings.m_tls->m_certificate, problems);
    CheckFile("tls", "private_key", settings.m_tls->m_private_key, problems);
  }
  return problems;
}

Result<Settings, SettingsError> ParseSettings(std::string_view file,
                                              std::string_view text) {
  KeyFile key_file(text);
  if (!key_file.problems().empty() &&
      key_file.problems().front().m_section.empty()) {
    return SettingsError{std::string(file), key_file.problems()};
  }
  Settings settings = ReadAll(key_file);
  key_file.ReportUnknown();
  // Combinations of values that are wrong by themselves say nothing new.
  if (key_file.problems().empty()) {
    for (SettingsProblem& problem : CheckSettings(settings)) {
      key_file.AddProblem(std::move(problem));
    }
  }
  if (!key_file.problems().empty()) {
    return SettingsError{std::string(file), key_file.problems()};
  }
  return settings;
}

Result<Settings, SettingsError> ReadSettings(
    const std::filesystem::path& path) {
  gchar* contents = nullptr;
  gsize length = 0;
  GError* error = nullptr;
  if (!g_file_get_contents(path.c_str(), &contents, &length, &error)) {
    SettingsError failure{
        path.string(), {{"", "", error->message, "a file that can be read"}}};
    g_error_free(error);
    return failure;
  }
  const std::string text(contents, length);
  g_free(contents);
  return ParseSettings(path.string(), text);
}

}  // namespace comfreyshift
