#include "emulator/load_summary.h"

namespace comfreyshift {

namespace {

void AddJob(const JobRecord& record,
            const LoadPattern& pattern,
            LoadSummary& summary) {
  constexpr int64_t kLateFactor = 3;
  constexpr double kLateWorth = 0.2;
  const Arrival& arrival = record.m_arrival;
  ++summary.m_asked;
  summary.m_worth_asked += arrival.m_worth;
  const auto objective =
      Microseconds(static_cast<int64_t>(
          static_cast<double>(arrival.m_longest.count()) * pattern.m_stretch)) +
      pattern.m_target_latency;
  const auto took = record.m_answered_at - record.m_sent_at;
  if (record.m_result == ClientResult::kRefused) {
    ++summary.m_refused;
    summary.m_refused_with_room += record.m_had_room ? 1 : 0;
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

}  // namespace

LoadSummary SummarizeLoad(const std::vector<JobRecord>& jobs,
                          const LoadPattern& pattern,
                          const std::string& kind) {
  LoadSummary summary;
  for (const JobRecord& record : jobs) {
    if (kind.empty() ||
        pattern.m_kinds[record.m_arrival.m_kind].m_name == kind) {
      AddJob(record, pattern, summary);
    }
  }
  return summary;
}

LoadSummary SummarizeEntry(const std::vector<JobRecord>& jobs,
                           const LoadPattern& pattern,
                           size_t entry) {
  LoadSummary summary;
  for (const JobRecord& record : jobs) {
    if (record.m_arrival.m_entry == entry) {
      AddJob(record, pattern, summary);
    }
  }
  return summary;
}

}  // namespace comfreyshift
