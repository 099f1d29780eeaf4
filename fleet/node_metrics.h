#ifndef FLEET_NODE_METRICS_H_
#define FLEET_NODE_METRICS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// Counters and latency histograms of one process.
class NodeMetrics {
 public:
  void Count(std::string_view name) { m_counters.Add(name); }
  void Set(std::string_view name, double value) { m_counters.Set(name, value); }

  // Records that a job of `queue` ended with `result`. `total_time` is the time
  // from its submission to its end; `queue_time` is the time until its first
  // run was sent to an agent. A `queue_time` of zero is not recorded.
  void CountJob(const std::string& queue,
                std::string_view result,
                Microseconds total_time,
                Microseconds queue_time);
  // Records that a job was rejected. `priority` is that of its queue; `cause`
  // is the RejectionCause behind `reason`.
  void CountRejection(int32_t priority,
                      std::string_view reason,
                      std::string_view cause);
  // Records that a run on this agent's runner ended.
  void CountRun(RunOutcome outcome, Microseconds run_time);
  // Sets the revision and the age of the operator's state at this process.
  void SetOperatorKnowledge(const OperatorKnowledge& knowledge);
  // Records how old the operator's state was at the process `at` when a run was
  // started. An empty `age` means that the store has never confirmed it.
  void RecordStateAge(std::string_view at, std::optional<Microseconds> age);
  // Records that a call to the platform's store ended.
  void CountStoreCall(std::string_view kind, std::string_view result);

  // Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render();

 private:
  void RenderSummary(const std::string& name, const Histogram& histogram);

  Counters m_counters;
  // The key is the metric name with its labels, without the closing brace.
  std::map<std::string, Histogram> m_histograms;
};

}  // namespace comfreyshift

#endif  // FLEET_NODE_METRICS_H_
