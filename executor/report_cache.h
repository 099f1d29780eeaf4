#ifndef EXECUTOR_REPORT_CACHE_H_
#define EXECUTOR_REPORT_CACHE_H_

#include <deque>
#include <map>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// Reports are kept this long for entries that connect again.
inline constexpr Milliseconds kReportRetention{5000};

// The reports of runs that have ended, for entries that connect again and
// repeat their messages.
class ReportCache {
 public:
  // Returns the report of a run, or null.
  const RunReport* Find(const RunKey& run) const;
  // Keeps the report of a run that has none yet, and returns it.
  const RunReport& Insert(const RunReport& report, MonoTime now);
  // Drops what is older than kReportRetention. A pass over all reports at each
  // tick took most of a tick's time.
  void RemoveExpired(MonoTime now);

 private:
  struct Expiry {
    MonoTime m_expires_at;
    RunKey m_run;
  };

  std::map<RunKey, RunReport> m_reports;
  // In order of time.
  std::deque<Expiry> m_expiries;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_REPORT_CACHE_H_
