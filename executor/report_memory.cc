#include "executor/report_memory.h"

namespace comfreyshift {

const RunReport* ReportMemory::Find(const RunKey& run) const {
  const auto found = m_reports.find(run);
  return found == m_reports.end() ? nullptr : &found->second;
}

const RunReport& ReportMemory::Remember(const RunReport& report, MonoTime now) {
  const auto [found, is_new] = m_reports.try_emplace(report.m_run, report);
  if (is_new) {
    m_expiries.push_back({now + kReportMemory, report.m_run});
  }
  return found->second;
}

void ReportMemory::Forget(MonoTime now) {
  while (!m_expiries.empty() && m_expiries.front().m_forget_at <= now) {
    m_reports.erase(m_expiries.front().m_run);
    m_expiries.pop_front();
  }
}

}  // namespace comfreyshift
