#ifndef SCHEDULER_JOB_LIMITS_H_
#define SCHEDULER_JOB_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "scheduler/actions.h"

namespace comfreyshift {

// Bounds what the jobs of an entry hold in memory.
struct JobLimits {
  // Jobs none of whose tasks has started, of all clients and of one.
  size_t m_max_waiting_jobs = SIZE_MAX;
  size_t m_max_waiting_jobs_per_client = SIZE_MAX;
  // Runs that agents were told to start and have not reported as ended.
  size_t m_max_runs = SIZE_MAX;
};

// A job none of whose tasks has started.
struct UnstartedJob {
  JobHandle m_job = 0;
  std::string_view m_client;
  // When the client stops waiting.
  MonoTime m_give_up_at;
};

// Returns the job to refuse if there are more than the limits allow: of the
// client with the most jobs, the one whose client would wait the longest; of
// equal ones the newest, which has the highest handle.
std::optional<JobHandle> ChooseExcessJob(const std::vector<UnstartedJob>& jobs,
                                         const JobLimits& limits);

}  // namespace comfreyshift

#endif  // SCHEDULER_JOB_LIMITS_H_
