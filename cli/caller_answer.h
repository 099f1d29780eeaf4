#ifndef CLI_CALLER_ANSWER_H_
#define CLI_CALLER_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"
#include "http/http.h"

namespace comfreyshift {

enum class JobOutcome : uint8_t {
  kComplete,
  kFailed,
  // Refused, or never sent.
  kNotRun,
  // Unknown, "may have run": said so by the entry, or the answer was lost.
  kUnknown,
};

std::string_view ToString(JobOutcome outcome);

// kDone, kFailed, kNotRun or kUnknown.
ExitCode ExitOf(JobOutcome outcome);

struct TargetAnswer {
  int m_status = 0;
  std::string m_body;
};

struct CallerAnswer {
  JobOutcome m_outcome = JobOutcome::kUnknown;
  // Failure or reason of docs/api.md, or "connection"; empty when complete.
  std::string m_reason;
  std::string m_detail;
  // Of kNotRun: whether it covers earlier sendings of the same key as well.
  bool m_covers_submission = false;
  // In the order of the tasks; empty unless complete.
  std::vector<TargetAnswer> m_answers;
};

// Reads the outcome of a call to POST /v1/jobs or /v1/requests. Anything that
// docs/api.md does not describe is kUnknown.
CallerAnswer ReadCallerAnswer(const HttpCallResult& result);

}  // namespace comfreyshift

#endif  // CLI_CALLER_ANSWER_H_
