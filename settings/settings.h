#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "logging/logging.h"

// Public header of the settings library: the typed settings of one process,
// read from one INI file.

namespace comfreyshift {

enum class Role : uint8_t { kEntry, kAgent };

// Returns "entry" or "agent".
std::string_view ToString(Role role);

// Section [process].
struct ProcessSettings {
  Role m_role = Role::kEntry;
  std::string m_name;
  // Availability zone, rack and worker that the process runs in.
  std::string m_zone;
  std::string m_rack;
  std::string m_worker;
  LogLevel m_log_level = LogLevel::kInfo;
};

// Section [listen].
struct ListenSettings {
  // HTTP for callers; entries only.
  std::optional<Address> m_http;
  // HTTP for operators, metrics and health.
  Address m_operator_http;
  Address m_rpc;
  // UDP address of the failure detector.
  Address m_datagram;
};

// Section [tls]; both files are PEM. HTTP is served without TLS when the
// section is missing.
struct TlsSettings {
  std::filesystem::path m_certificate;
  std::filesystem::path m_private_key;
};

// Section [fleet].
struct FleetSettings {
  // Holds the key that authenticates datagrams and RPC connections.
  std::filesystem::path m_key_file;
  // Datagram addresses of entries.
  std::vector<Address> m_seeds;
};

// Section [store]; entries only.
struct StoreEndpointSettings {
  // URLs without a trailing slash, such as "http://10.0.0.1:2379".
  std::vector<std::string> m_endpoints;
  Milliseconds m_timeout{1000};
  uint32_t m_calls_per_second = 100;
};

// Section [target]; agents only.
struct TargetSettings {
  std::string m_name;
  Address m_address;
  uint32_t m_slots = 8;
  uint32_t m_connections = 64;
};

// Section [operators].
struct OperatorSettings {
  // Holds the operators' token. Empty on an agent that serves no operators.
  std::filesystem::path m_token_file;
};

// Section [limits].
struct LimitSettings {
  uint64_t m_max_body_bytes = 4ULL << 20;
  uint32_t m_max_jobs = 100'000;
  uint64_t m_max_answer_bytes = 1ULL << 20;
  // How long start records and answers are kept.
  std::chrono::seconds m_retention{600};
  // How long a planned stop waits for requests in progress.
  std::chrono::seconds m_drain{30};
};

// Section [freshness].
struct FreshnessSettings {
  // F, the lifetime of a proof of freshness; the same in the whole fleet.
  Milliseconds m_lease{4000};
  Milliseconds m_ping_interval{200};
};

struct Settings {
  ProcessSettings m_process;
  ListenSettings m_listen;
  std::optional<TlsSettings> m_tls;
  FleetSettings m_fleet;
  // Set exactly for entries.
  std::optional<StoreEndpointSettings> m_store;
  // Set exactly for agents.
  std::optional<TargetSettings> m_target;
  OperatorSettings m_operators;
  LimitSettings m_limits;
  FreshnessSettings m_freshness;
};

// One fault of a settings file. The key is empty when the section is at fault,
// and both are empty when the file is.
struct SettingsProblem {
  std::string m_section;
  std::string m_key;
  std::string m_found;
  std::string m_accepted;

  bool operator==(const SettingsProblem&) const = default;
};

// All faults of one settings file; there is at least one.
struct SettingsError {
  std::string m_file;
  std::vector<SettingsProblem> m_problems;

  // Returns one line for each fault with file, section, key, what was found and
  // what is accepted.
  std::string ToString() const;
};

// Reads and checks the settings in `text`. `file` names it in errors.
Result<Settings, SettingsError> ParseSettings(std::string_view file,
                                              std::string_view text);

// Reads and checks the settings file at `path`. A file that cannot be read is
// an error without section and key.
Result<Settings, SettingsError> ReadSettings(const std::filesystem::path& path);

// Returns combinations of valid values that cannot work together.
std::vector<SettingsProblem> CheckSettings(const Settings& settings);

// Returns the files named by the settings that are missing, unreadable or empty
// on this machine.
std::vector<SettingsProblem> CheckFiles(const Settings& settings);

}  // namespace comfreyshift

#endif  // SETTINGS_SETTINGS_H_
