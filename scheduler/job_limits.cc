#include "scheduler/job_limits.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace comfreyshift {

std::optional<JobHandle> ChooseExcessJob(const std::vector<UnstartedJob>& jobs,
                                         const JobLimits& limits) {
  std::map<std::string_view, size_t> jobs_of_client;
  for (const UnstartedJob& job : jobs) {
    ++jobs_of_client[job.m_client];
  }
  const auto largest = std::ranges::max_element(
      jobs_of_client, {}, [](const auto& item) { return item.second; });
  const bool is_within_limits =
      largest == jobs_of_client.end() ||
      (jobs.size() <= limits.m_max_waiting_jobs &&
       largest->second <= limits.m_max_waiting_jobs_per_client);
  if (is_within_limits) {
    return std::nullopt;
  }
  const UnstartedJob* excess = nullptr;
  for (const UnstartedJob& job : jobs) {
    if (job.m_client == largest->first &&
        (excess == nullptr ||
         std::tie(job.m_give_up_at, job.m_job) >
             std::tie(excess->m_give_up_at, excess->m_job))) {
      excess = &job;
    }
  }
  return excess->m_job;
}

}  // namespace comfreyshift
