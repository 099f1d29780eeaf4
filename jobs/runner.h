#ifndef JOBS_RUNNER_H_
#define JOBS_RUNNER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "jobs/job.h"

namespace comfreyshift {

// Identifies one incarnation of a runner. A runner that restarts may keep its
// id, but not its start time.
struct RunnerIncarnation {
  std::string m_id;
  // Start time on the runner's clock, in Unix milliseconds.
  int64_t m_start_time_ms = 0;

  auto operator<=>(const RunnerIncarnation&) const = default;
};

// The state that a runner reports in a heartbeat.
struct RunnerHeartbeat {
  RunnerIncarnation m_process_incarnation;
  std::string m_service;
  Address m_address;
  std::string m_zone;
  Resources m_capacity;
  // The runner's kind, its rack and other labels.
  std::vector<std::string> m_labels;
  bool m_is_draining = false;
  // Rises with each heartbeat of an incarnation.
  uint64_t m_sequence = 0;
};

}  // namespace comfreyshift

#endif  // JOBS_RUNNER_H_
