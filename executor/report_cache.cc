#include "executor/report_cache.h"

namespace comfreyshift {

const RunReport* ReportCache::Find(const RunKey& run) const {
  const auto found = m_reports.find(run);
  return found == m_reports.end() ? nullptr : &found->second;
}

const RunReport& ReportCache::Insert(const RunReport& report, MonoTime now) {
  const auto [found, is_new] = m_reports.try_emplace(report.m_run, report);
  if (is_new) {
    m_expiries.push_back({now + kReportRetention, report.m_run});
  }
  return found->second;
}

void ReportCache::RemoveExpired(MonoTime now) {
  while (!m_expiries.empty() && m_expiries.front().m_expires_at <= now) {
    m_reports.erase(m_expiries.front().m_run);
    m_expiries.pop_front();
  }
}

}  // namespace comfreyshift
