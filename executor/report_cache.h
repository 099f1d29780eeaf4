#ifndef EXECUTOR_REPORT_CACHE_H_
#define EXECUTOR_REPORT_CACHE_H_

#include <deque>
#include <map>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// How long reports are kept for entries that connect again.
inline constexpr Milliseconds kReportRetention{5000};

// Keeps the reports of ended runs for entries that connect again and repeat
// their messages.
class ReportCache {
 public:
  // Returns the report of a run, or null.
  const RunReport* Find(const RunKey& run) const;
  // Stores the report of a run unless the run has one, and returns the stored
  // report.
  const RunReport& Insert(const RunReport& report, MonoTime now);
  // Removes the reports older than kReportRetention. Only expired ones are
  // visited: a pass over all reports took most of the time of a tick.
  void RemoveExpired(MonoTime now);

 private:
  struct Expiry {
    MonoTime m_expires_at;
    RunKey m_run;
  };

  std::map<RunKey, RunReport> m_reports;
  // Ordered by time.
  std::deque<Expiry> m_expiries;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_REPORT_CACHE_H_
