#include "fleet/operator_state_peer.h"

#include "logging/logging.h"

namespace comfreyshift {

std::string JoinZones(const ClosedZones& zones) {
  std::string text;
  for (const std::string& zone : zones) {
    text += (text.empty() ? "" : ",") + zone;
  }
  return text;
}

void LogOperatorStateReceived(const char* sender_role,
                              const std::string& sender,
                              const OperatorState& state) {
  LogEvent(LogLevel::kInfo, "fleet", "operator_state_received",
           {{sender_role, sender},
            {"revision", state.m_revision},
            {"closed_zones", JoinZones(state.m_closed_zones)}});
}

}  // namespace comfreyshift
