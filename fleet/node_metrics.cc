#include "fleet/node_metrics.h"

#include "logging/logging.h"

namespace comfreyshift {

namespace {

std::string Label(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

double Seconds(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void NodeMetrics::CountJob(const std::string& queue,
                           std::string_view result,
                           Microseconds took,
                           Microseconds waited) {
  m_counters.Add("jobs_total{" + Label("queue", queue) + "," +
                 Label("result", result) + "}");
  m_latencies["job_seconds{" + Label("result", result)].Record(took);
  if (waited > Microseconds(0)) {
    m_latencies["job_wait_seconds{" + Label("result", result)].Record(waited);
  }
}

void NodeMetrics::CountRun(RunOutcome outcome, Microseconds run_time) {
  m_counters.Add("runs_total{" + Label("outcome", ToString(outcome)) + "}");
  if (outcome == RunOutcome::kDone) {
    m_latencies["run_seconds{" + Label("outcome", "done")].Record(run_time);
  }
}

void NodeMetrics::CountStoreCall(std::string_view kind,
                                 std::string_view result) {
  m_counters.Add("store_calls_total{" + Label("kind", kind) + "," +
                 Label("result", result) + "}");
}

void NodeMetrics::RenderSummary(const std::string& name,
                                const Histogram& histogram) {
  for (const char* quantile : {"0.5", "0.9", "0.99"}) {
    m_counters.Set(name + "," + Label("quantile", quantile) + "}",
                   Seconds(histogram.Quantile(std::stod(quantile))));
  }
}

std::string NodeMetrics::Render() {
  for (const auto& [name, histogram] : m_latencies) {
    RenderSummary(name, histogram);
  }
  m_counters.Set("log_lines_dropped", static_cast<double>(DroppedLogLines()));
  m_counters.Set("log_lines_suppressed",
                 static_cast<double>(SuppressedLogLines()));
  return m_counters.RenderPrometheus();
}

}  // namespace comfreyshift
