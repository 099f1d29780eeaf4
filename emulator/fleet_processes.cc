#include "emulator/fleet_processes.h"

#include <string_view>

namespace comfreyshift {

namespace {

constexpr std::string_view kAgentNamePrefix = "agent-";

}  // namespace

std::string AgentName(size_t index) {
  return std::string(kAgentNamePrefix) + std::to_string(index);
}

size_t AgentIndex(const std::string& name) {
  return std::stoul(name.substr(kAgentNamePrefix.size()));
}

}  // namespace comfreyshift
