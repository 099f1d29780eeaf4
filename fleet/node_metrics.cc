#include "fleet/node_metrics.h"

#include "logging/logging.h"

namespace comfreyshift {

namespace {

std::string FormatLabel(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

double Seconds(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void NodeMetrics::CountJob(const std::string& queue,
                           std::string_view result,
                           Microseconds total_time,
                           Microseconds queue_time) {
  m_counters.Add("jobs_total{" + FormatLabel("queue", queue) + "," +
                 FormatLabel("result", result) + "}");
  m_histograms["job_seconds{" + FormatLabel("result", result)].Record(
      total_time);
  if (queue_time > Microseconds(0)) {
    m_histograms["job_wait_seconds{" + FormatLabel("result", result)].Record(
        queue_time);
  }
}

void NodeMetrics::CountRejection(int32_t priority,
                                 std::string_view reason,
                                 std::string_view cause) {
  m_counters.Add("job_rejections_total{" +
                 FormatLabel("priority", std::to_string(priority)) + "," +
                 FormatLabel("reason", reason) + "," +
                 FormatLabel("cause", cause) + "}");
}

void NodeMetrics::CountRun(RunOutcome outcome, Microseconds run_time) {
  m_counters.Add("runs_total{" + FormatLabel("outcome", ToString(outcome)) +
                 "}");
  if (outcome == RunOutcome::kDone) {
    m_histograms["run_seconds{" + FormatLabel("outcome", "done")].Record(
        run_time);
  }
}

void NodeMetrics::SetOperatorKnowledge(const OperatorKnowledge& knowledge) {
  m_counters.Set("operator_revision",
                 static_cast<double>(knowledge.m_revision));
  if (knowledge.m_age) {
    m_counters.Set("operator_state_age_seconds", Seconds(*knowledge.m_age));
  }
}

void NodeMetrics::RecordStateAge(std::string_view at,
                                 std::optional<Microseconds> age) {
  if (age) {
    m_histograms["start_state_age_seconds{" + FormatLabel("at", at)].Record(
        *age);
  } else {
    m_counters.Add("starts_on_unconfirmed_state_total{" +
                   FormatLabel("at", at) + "}");
  }
}

void NodeMetrics::CountStoreCall(std::string_view kind,
                                 std::string_view result) {
  m_counters.Add("store_calls_total{" + FormatLabel("kind", kind) + "," +
                 FormatLabel("result", result) + "}");
}

void NodeMetrics::RenderSummary(const std::string& name,
                                const Histogram& histogram) {
  for (const char* quantile : {"0.5", "0.9", "0.99"}) {
    m_counters.Set(name + "," + FormatLabel("quantile", quantile) + "}",
                   Seconds(histogram.Quantile(std::stod(quantile))));
  }
}

std::string NodeMetrics::Render() {
  for (const auto& [name, histogram] : m_histograms) {
    RenderSummary(name, histogram);
  }
  m_counters.Set("log_lines_dropped", static_cast<double>(DroppedLogLines()));
  m_counters.Set("log_lines_suppressed",
                 static_cast<double>(SuppressedLogLines()));
  return m_counters.RenderPrometheus();
}

}  // namespace comfreyshift
