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

std::string_view ToString(RejectionCause cause) {
  switch (cause) {
    case RejectionCause::kNone:
      return "none";
    case RejectionCause::kNoRunner:
      return "no_runner";
    case RejectionCause::kWorkAhead:
      return "work_ahead";
    case RejectionCause::kWaitedTooLong:
      return "waited_too_long";
    case RejectionCause::kFitsNoRunner:
      return "fits_no_runner";
    case RejectionCause::kTooManyTasks:
      return "too_many_tasks";
    case RejectionCause::kTooManyJobs:
      return "too_many_jobs";
  }
  return "";
}

}  // namespace comfreyshift
