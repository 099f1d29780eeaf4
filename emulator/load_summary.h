#ifndef EMULATOR_LOAD_SUMMARY_H_
#define EMULATOR_LOAD_SUMMARY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "emulator/load.h"

namespace comfreyshift {

// How a client's job ended.
enum class ClientResult : uint8_t {
  kInProgress,
  kCompleted,
  kFailed,
  kRefused,
  kLost,
};

// What the emulation saw of one job.
struct JobRecord {
  Arrival m_arrival;
  ClientResult m_result = ClientResult::kInProgress;
  MonoTime m_sent_at;
  MonoTime m_answered_at;
  // Whether the runners had room for all its tasks when it was refused.
  bool m_had_room = false;
  // Sendings whose connection broke or that were answered as lost.
  uint64_t m_lost_sendings = 0;
};

// Sums over one kind of job, or all.
struct LoadSummary {
  uint64_t m_asked = 0;
  uint64_t m_in_objective = 0;
  uint64_t m_late = 0;
  uint64_t m_refused = 0;
  // Refused although the runners had room for all tasks of the job.
  uint64_t m_refused_with_room = 0;
  uint64_t m_failed = 0;
  double m_worth_asked = 0.0;
  double m_worth_earned = 0.0;
};

// Sums over the jobs of one kind, or over all if `kind` is empty. A job that is
// late by up to three times its objective earns a fifth of its worth, as the
// users' clients value it.
LoadSummary SummarizeLoad(const std::vector<JobRecord>& jobs,
                          const LoadPattern& pattern,
                          const std::string& kind);

// Sums over the jobs that were first sent to one entry.
LoadSummary SummarizeEntry(const std::vector<JobRecord>& jobs,
                           const LoadPattern& pattern,
                           size_t entry);

}  // namespace comfreyshift

#endif  // EMULATOR_LOAD_SUMMARY_H_
