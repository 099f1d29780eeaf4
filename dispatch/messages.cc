#include "dispatch/messages.h"

namespace comfreyshift {

std::string_view ToString(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kNotFresh:
      return "not_fresh";
    case NotRunReason::kStaleEpoch:
      return "stale_epoch";
    case NotRunReason::kNotOwner:
      return "not_owner";
    case NotRunReason::kNotMember:
      return "not_member";
    case NotRunReason::kDenied:
      return "denied";
    case NotRunReason::kQueueFull:
      return "queue_full";
    case NotRunReason::kDeadline:
      return "deadline";
    case NotRunReason::kCannotRun:
      return "cannot_run";
    case NotRunReason::kQuota:
      return "quota";
    case NotRunReason::kShuttingDown:
      return "shutting_down";
    case NotRunReason::kCancelled:
      return "cancelled";
    case NotRunReason::kTargetUnreachable:
      return "target_unreachable";
    case NotRunReason::kNeverStarted:
      return "never_started";
    case NotRunReason::kNoCapacity:
      return "no_capacity";
    case NotRunReason::kKeyReused:
      return "key_reused";
  }
  return "unknown";
}

std::string_view ToString(JobFailure failure) {
  switch (failure) {
    case JobFailure::kTaskFailed:
      return "task_failed";
    case JobFailure::kUnknownMayHaveRun:
      return "unknown_may_have_run";
    case JobFailure::kCancelled:
      return "cancelled";
    case JobFailure::kDeadline:
      return "deadline";
    case JobFailure::kNotRunPartly:
      return "not_run_partly";
  }
  return "unknown";
}

}  // namespace comfreyshift
