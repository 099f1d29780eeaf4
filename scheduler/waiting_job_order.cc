#include "scheduler/waiting_job_order.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace comfreyshift {

namespace {

// Priorities are an order: a higher one goes first. A quarter for the next
// lower one keeps it from starving, and leaves the highest of three at least
// three quarters of the work.
constexpr double kNextPriorityWeight = 0.25;
// Priorities below this one have its weight, so that no weight vanishes.
constexpr int32_t kLowestPriority = 10;

double WeightOf(int32_t priority) {
  return std::pow(kNextPriorityWeight,
                  std::clamp(priority, 0, kLowestPriority));
}

}  // namespace

void WaitingJobOrder::Sort(std::vector<WaitingJob>& jobs, bool is_short) {
  std::set<int32_t> waiting;
  for (const WaitingJob& job : jobs) {
    waiting.insert(job.m_priority);
  }
  std::erase_if(m_served, [&](const auto& item) {
    return !is_short || !waiting.contains(item.first);
  });
  double least_served = m_served.empty() ? 0.0 : m_served.begin()->second;
  for (const auto& [priority, served] : m_served) {
    least_served = std::min(least_served, served);
  }
  if (is_short) {
    for (const int32_t priority : waiting) {
      m_served.try_emplace(priority, least_served);
    }
  }
  // Started jobs of a priority go first: their work is lost unless they are
  // completed.
  std::ranges::sort(jobs, {}, [&](const WaitingJob& job) {
    return std::tuple(is_short ? m_served.at(job.m_priority) : 0.0,
                      is_short ? job.m_priority : 0, !job.m_has_started,
                      job.m_due_at, job.m_job);
  });
}

void WaitingJobOrder::OnPlaced(int32_t priority, double work) {
  const auto found = m_served.find(priority);
  if (found != m_served.end()) {
    found->second += work / WeightOf(priority);
  }
}

double WaitingJobOrder::ShareOf(int32_t priority) const {
  double all = m_served.contains(priority) ? 0.0 : WeightOf(priority);
  for (const auto& item : m_served) {
    all += WeightOf(item.first);
  }
  return WeightOf(priority) / all;
}

}  // namespace comfreyshift
