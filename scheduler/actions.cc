#include "scheduler/actions.h"

namespace comfreyshift {

std::string_view ToString(LossReason reason) {
  switch (reason) {
    case LossReason::kAgentLost:
      return "agent_lost";
    case LossReason::kAgentReplaced:
      return "agent_replaced";
  }
  return "";
}

}  // namespace comfreyshift
