#ifndef JOBS_RUNNER_H_
#define JOBS_RUNNER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "jobs/job.h"

namespace comfreyshift {

// One life of a runner. A runner that restarts may keep its id; the birth time
// tells the lives apart.
struct RunnerLife {
  std::string m_id;
  // Unix time of the start in milliseconds, on the runner's clock.
  int64_t m_born_ms = 0;

  auto operator<=>(const RunnerLife&) const = default;
};

// What a runner says of itself in a heartbeat.
struct RunnerReport {
  RunnerLife m_life;
  std::string m_service;
  Address m_address;
  std::string m_zone;
  Resources m_capacity;
  // Its kind, its rack and others.
  std::vector<std::string> m_labels;
  bool m_is_draining = false;
  // Rises with each heartbeat of a life.
  uint64_t m_sequence = 0;
};

}  // namespace comfreyshift

#endif  // JOBS_RUNNER_H_
