#ifndef FLEET_NODE_METRICS_H_
#define FLEET_NODE_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/core.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// Counters and latencies of one process.
class NodeMetrics {
 public:
  void Count(std::string_view name) { m_counters.Add(name); }
  void Set(std::string_view name, double value) { m_counters.Set(name, value); }

  // A job of `queue` ended with `result` after `took`; its first run was
  // ordered after `waited`.
  void CountJob(const std::string& queue,
                std::string_view result,
                Microseconds took,
                Microseconds waited);
  // A run on this agent's runner ended.
  void CountRun(RunOutcome outcome, Microseconds run_time);
  // A call to the platform's store ended.
  void CountStoreCall(std::string_view kind, std::string_view result);

  // Prometheus text format 0.0.4.
  std::string Render();

 private:
  void RenderSummary(const std::string& name, const Histogram& histogram);

  Counters m_counters;
  // By name, with labels.
  std::map<std::string, Histogram> m_latencies;
};

}  // namespace comfreyshift

#endif  // FLEET_NODE_METRICS_H_
