#include "executor/end_evidence.h"

namespace comfreyshift {

std::string_view ToString(EndEvidence evidence) {
  switch (evidence) {
    case EndEvidence::kNotRequested:
      return "not_requested";
    case EndEvidence::kStartRejected:
      return "start_rejected";
    case EndEvidence::kUnknownRun:
      return "unknown_run";
    case EndEvidence::kEndListed:
      return "end_listed";
    case EndEvidence::kNotListed:
      return "not_listed";
    case EndEvidence::kLeasesExpired:
      return "leases_expired";
    case EndEvidence::kRunnerReplaced:
      return "runner_replaced";
  }
  return "";
}

}  // namespace comfreyshift
