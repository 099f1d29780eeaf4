#ifndef INVENTORY_MODEL_H_
#define INVENTORY_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/core.h"

namespace comfreyshift {

struct AvailabilityZone {
  std::string m_region;
  bool m_open = true;

  bool operator==(const AvailabilityZone&) const = default;
};

// Stages of a target or client. A leaving target finishes what it runs and
// receives nothing new; a retired one is gone for good.
enum class Lifecycle : uint8_t { kActive, kLeaving, kRetired };

struct Target {
  std::string m_zone;
  Lifecycle m_lifecycle = Lifecycle::kActive;
  uint32_t m_slots = 8;
  uint32_t m_connections = 64;
  uint32_t m_accelerators = 0;
  uint64_t m_memory_mb = 0;

  bool operator==(const Target&) const = default;
};

struct Client {
  Lifecycle m_lifecycle = Lifecycle::kActive;
  // SHA-256 of the client's token, 64 lower-case hexadecimal digits.
  std::string m_token_sha256;
  // Task starts a second that the client may use; 0 means no limit.
  uint32_t m_starts_per_second = 0;
  // Share relative to other clients when capacity is short.
  uint32_t m_weight = 1;

  bool operator==(const Client&) const = default;
};

// A kind of task, named by callers in each task.
struct Request {
  bool m_idempotent = true;

  bool operator==(const Request&) const = default;
};

// Lets one client reach the targets named; "*" stands for all of them.
struct Rule {
  std::string m_client;
  std::set<std::string> m_targets;

  bool operator==(const Rule&) const = default;
};

// Why a start is denied.
enum class StartDenial : uint8_t {
  kUnknownClient,
  kClientRetired,
  kUnknownTarget,
  kTargetLeaving,
  kZoneClosed,
  kNoRule,
  kUnknownRequest,
};

// Returns the name of a denial in snake_case, as answers and logs show it.
std::string_view ToString(StartDenial denial);

// The whole inventory with its rules, by name.
struct Inventory {
  std::map<std::string, AvailabilityZone, std::less<>> m_zones;
  std::map<std::string, Target, std::less<>> m_targets;
  std::map<std::string, Client, std::less<>> m_clients;
  std::map<std::string, Request, std::less<>> m_requests;
  std::map<std::string, Rule, std::less<>> m_rules;

  bool operator==(const Inventory&) const = default;

  // Returns why `client` may send no `request` at all, or nothing when it may.
  std::optional<StartDenial> CheckClient(std::string_view client,
                                         std::string_view request) const;

  // Returns why no task of `client` may start on `target`, or nothing when it
  // may. A client reaches only targets that a rule opens to it.
  std::optional<StartDenial> CheckStart(std::string_view client,
                                        std::string_view target) const;
};

}  // namespace comfreyshift

#endif  // INVENTORY_MODEL_H_
