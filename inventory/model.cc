#include "inventory/model.h"

namespace comfreyshift {

namespace {

constexpr std::string_view kAllTargets = "*";

}  // namespace

std::string_view ToString(StartDenial denial) {
  switch (denial) {
    case StartDenial::kUnknownClient:
      return "unknown_client";
    case StartDenial::kClientRetired:
      return "client_retired";
    case StartDenial::kUnknownTarget:
      return "unknown_target";
    case StartDenial::kTargetLeaving:
      return "target_leaving";
    case StartDenial::kZoneClosed:
      return "zone_closed";
    case StartDenial::kNoRule:
      return "no_rule";
    case StartDenial::kUnknownRequest:
      return "unknown_request";
  }
  return "unknown";
}

std::optional<StartDenial> Inventory::CheckClient(
    std::string_view client,
    std::string_view request) const {
  const auto found = m_clients.find(client);
  if (found == m_clients.end()) {
    return StartDenial::kUnknownClient;
  }
  if (found->second.m_lifecycle != Lifecycle::kActive) {
    return StartDenial::kClientRetired;
  }
  if (!m_requests.contains(request)) {
    return StartDenial::kUnknownRequest;
  }
  return std::nullopt;
}

std::optional<StartDenial> Inventory::CheckStart(
    std::string_view client,
    std::string_view target) const {
  const auto found_client = m_clients.find(client);
  if (found_client == m_clients.end()) {
    return StartDenial::kUnknownClient;
  }
  if (found_client->second.m_lifecycle != Lifecycle::kActive) {
    return StartDenial::kClientRetired;
  }
  const auto found_target = m_targets.find(target);
  if (found_target == m_targets.end()) {
    return StartDenial::kUnknownTarget;
  }
  if (found_target->second.m_lifecycle != Lifecycle::kActive) {
    return StartDenial::kTargetLeaving;
  }
  const auto zone = m_zones.find(found_target->second.m_zone);
  if (zone == m_zones.end() || !zone->second.m_open) {
    return StartDenial::kZoneClosed;
  }
  for (const auto& [name, rule] : m_rules) {
    if (rule.m_client != client) {
      continue;
    }
    if (rule.m_targets.contains(std::string(kAllTargets)) ||
        rule.m_targets.contains(std::string(target))) {
      return std::nullopt;
    }
  }
  return StartDenial::kNoRule;
}

}  // namespace comfreyshift
