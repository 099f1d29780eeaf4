#include "emulator/load_summary.h"

namespace comfreyshift {

LoadSummary SummarizeLoad(const std::vector<JobRecord>& jobs,
                          const LoadPattern& pattern,
                          const std::string& kind) {
  constexpr int64_t kLateFactor = 3;
  constexpr double kLateWorth = 0.2;
  LoadSummary summary;
  for (const JobRecord& record : jobs) {
    const Arrival& arrival = record.m_arrival;
    if (!kind.empty() && pattern.m_kinds[arrival.m_kind].m_name != kind) {
      continue;
    }
    ++summary.m_asked;
    summary.m_worth_asked += arrival.m_worth;
    const auto objective = Microseconds(static_cast<int64_t>(
                               static_cast<double>(arrival.m_longest.count()) *
                               pattern.m_stretch)) +
                           pattern.m_target_latency;
    const auto took = record.m_answered_at - record.m_sent_at;
    if (record.m_result == ClientResult::kRefused) {
      ++summary.m_refused;
    } else if (record.m_result != ClientResult::kCompleted) {
      ++summary.m_failed;
    } else if (took <= objective) {
      ++summary.m_in_objective;
      summary.m_worth_earned += arrival.m_worth;
    } else {
      ++summary.m_late;
      summary.m_worth_earned +=
          took <= kLateFactor * objective ? kLateWorth * arrival.m_worth : 0.0;
    }
  }
  return summary;
}

}  // namespace comfreyshift
