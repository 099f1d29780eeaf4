#ifndef EXECUTOR_END_EVIDENCE_H_
#define EXECUTOR_END_EVIDENCE_H_

#include <cstdint>
#include <string_view>

namespace comfreyshift {

// What shows an agent that a run has ended, or that it never starts.
enum class EndEvidence : uint8_t {
  // The agent has not requested its start.
  kNotRequested,
  // The runner rejected the start, or the request was not sent.
  kStartRejected,
  // The agent does not know the run.
  kUnknownRun,
  // The runner lists the end.
  kEndListed,
  // The runner lists neither the run nor its end.
  kNotListed,
  // All leases that the runner may hold have expired.
  kLeasesExpired,
  // Another runner has answered in place of the one that had the run.
  kRunnerReplaced,
};

std::string_view ToString(EndEvidence evidence);

}  // namespace comfreyshift

#endif  // EXECUTOR_END_EVIDENCE_H_
