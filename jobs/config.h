#ifndef JOBS_CONFIG_H_
#define JOBS_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// A queue, which takes the jobs sent to a host and a path prefix.
struct QueueConfig {
  std::string m_name;
  std::string m_host;
  // Begins and ends with a slash.
  std::string m_prefix;
  // Name of the service whose runners run its tasks.
  std::string m_service;
  // 0 is the highest priority.
  int32_t m_priority = 0;
  // Number of failed runs of a task after which its job fails.
  uint32_t m_max_attempts = 1;
  // The latency objective of a job is m_stretch times its longest task plus
  // m_target_latency.
  double m_stretch = 1.0;
  Milliseconds m_target_latency{0};
};

// Limits on client requests.
struct IngressLimits {
  uint64_t m_max_body_bytes = uint64_t{1} << 20;
};

// One complete version of the operators' configuration.
struct FleetConfig {
  // Rises with each version, not always by one.
  uint64_t m_version = 0;
  std::vector<QueueConfig> m_queues;
  IngressLimits m_limits;

  // Returns the queue with this host, in any case, and the longest prefix of
  // `path`, or null.
  const QueueConfig* FindQueue(std::string_view host,
                               std::string_view path) const;
  // Returns the queue of this name, or null.
  const QueueConfig* FindQueue(std::string_view name) const;
};

// Availability zones whose runners get no new runs.
using ClosedZones = std::set<std::string, std::less<>>;

}  // namespace comfreyshift

#endif  // JOBS_CONFIG_H_
