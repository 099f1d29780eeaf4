#include "jobs/run.h"

namespace comfreyshift {

std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

}  // namespace comfreyshift
