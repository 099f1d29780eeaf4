#include "cli/load.h"

#include <glib-unix.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// Time beyond a job's own timeout until its answer is taken for lost.
constexpr Milliseconds kAnswerGrace{5000};
constexpr Milliseconds kProgressInterval{500};

// Wakes the main loop at a point in time to the microsecond; GLib's own timers
// wait whole milliseconds, which would count as latency.
class PreciseTimer {
 public:
  PreciseTimer(GSourceFunc callback, gpointer data)
      : m_descriptor(
            timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)),
        m_source(g_unix_fd_source_new(m_descriptor, G_IO_IN)),
        m_callback(callback),
        m_data(data) {
    g_source_set_callback(m_source, G_SOURCE_FUNC(&PreciseTimer::OnReadable),
                          this, nullptr);
    g_source_attach(m_source, g_main_context_get_thread_default());
  }
  ~PreciseTimer() {
    g_source_destroy(m_source);
    g_source_unref(m_source);
    close(m_descriptor);
  }
  PreciseTimer(const PreciseTimer&) = delete;
  PreciseTimer& operator=(const PreciseTimer&) = delete;

  void Set(MonoTime time) {
    const auto since_boot = time.time_since_epoch();
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(since_boot);
    itimerspec spec{};
    spec.it_value.tv_sec = seconds.count();
    spec.it_value.tv_nsec =
        std::chrono::nanoseconds(since_boot - seconds).count();
    timerfd_settime(m_descriptor, TFD_TIMER_ABSTIME, &spec, nullptr);
  }

 private:
  static gboolean OnReadable(gint descriptor, GIOCondition, gpointer data) {
    uint64_t expirations = 0;
    if (read(descriptor, &expirations, sizeof(expirations)) > 0) {
      auto* self = static_cast<PreciseTimer*>(data);
      self->m_callback(self->m_data);
    }
    return G_SOURCE_CONTINUE;
  }

  int m_descriptor;
  GSource* m_source;
  GSourceFunc m_callback;
  gpointer m_data;
};

std::string JobBody(const LoadOptions& options) {
  const Json task = {{"request", options.m_request},
                     {"payload", options.m_payload},
                     {"declared_run_ms", options.m_declared_run.count()}};
  const Json body = {{"tasks", Json::array_t(options.m_tasks_per_job, task)},
                     {"timeout_ms", options.m_timeout.count()}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// One run of a load. Calls in progress share it.
class LoadRun : public std::enable_shared_from_this<LoadRun> {
 public:
  LoadRun(HttpClient& client,
          const LoadOptions& options,
          const Terminal& terminal)
      : m_client(client),
        m_options(options),
        m_body(JobBody(options)),
        m_schedule(options.m_gaps, options.m_rate, options.m_length),
        m_progress(terminal),
        m_timer(&LoadRun::OnTimer, this),
        m_random(std::random_device()()) {}

  LoadResult Run() {
    m_start = BootClock::now();
    m_next_progress = m_start;
    m_next = m_schedule.Next();
    SendDueJobs();
    while (m_next || m_in_progress > 0) {
      g_main_context_iteration(g_main_context_get_thread_default(), TRUE);
      ShowProgress();
    }
    m_report.m_elapsed = BootClock::now() - m_start;
    return std::move(m_report);
  }

 private:
  static gboolean OnTimer(gpointer data) {
    static_cast<LoadRun*>(data)->SendDueJobs();
    return G_SOURCE_CONTINUE;
  }

  void SendDueJobs() {
    while (m_next && m_start + *m_next <= BootClock::now()) {
      SendJob(m_start + *m_next);
      m_next = m_schedule.Next();
    }
    if (m_next) {
      m_timer.Set(m_start + *m_next);
    }
  }

  void SendJob(MonoTime scheduled) {
    HttpCall call;
    call.m_path = "/v1/jobs";
    call.m_headers = m_options.m_headers;
    const uint64_t high = m_random();
    call.m_headers["Idempotency-Key"] =
        SubmissionKey::Make(WallNow(), high, m_random()).ToString();
    call.m_body = m_body;
    call.m_deadline = scheduled + m_options.m_timeout + kAnswerGrace;
    ++m_report.m_jobs;
    ++m_in_progress;
    m_report.m_send_delay.Record(BootClock::now() - scheduled);
    m_client.Send(std::move(call), [self = shared_from_this(),
                                    scheduled](const HttpCallResult& result) {
      self->Count(ReadCallerAnswer(result), scheduled);
    });
  }

  void Count(const CallerAnswer& answer, MonoTime scheduled) {
    --m_in_progress;
    const std::string outcome(ToString(answer.m_outcome));
    ++m_report.m_outcomes[outcome];
    if (answer.m_outcome != JobOutcome::kComplete) {
      ++m_report.m_reasons[outcome + " " + answer.m_reason];
      return;
    }
    m_report.m_latency.Record(BootClock::now() - scheduled);
    if (answer.m_answers.size() != m_options.m_tasks_per_job) {
      ++m_report.m_wrong_answers;
    }
  }

  void ShowProgress() {
    const MonoTime now = BootClock::now();
    if (now >= m_next_progress) {
      m_next_progress = now + kProgressInterval;
      m_progress.Update(std::to_string(m_report.m_jobs) + " jobs sent, " +
                        std::to_string(m_in_progress) + " in progress");
    }
  }

  HttpClient& m_client;
  const LoadOptions& m_options;
  std::string m_body;
  LoadSchedule m_schedule;
  ProgressLine m_progress;
  PreciseTimer m_timer;
  std::mt19937_64 m_random;
  std::optional<Microseconds> m_next;
  MonoTime m_start;
  MonoTime m_next_progress;
  uint64_t m_in_progress = 0;
  LoadResult m_report;
};

constexpr std::array<std::pair<const char*, double>, 5> kQuantiles = {
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}, {"max", 1.0}}};

double ToMs(Microseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

Json HistogramToJson(const Histogram& histogram) {
  Json json = {{"count", histogram.count()},
               {"mean_ms", ToMs(histogram.Mean())}};
  for (const auto& [name, quantile] : kQuantiles) {
    json[std::string(name) + "_ms"] = ToMs(histogram.Quantile(quantile));
  }
  return json;
}

std::string HistogramToText(const std::string& title,
                            const Histogram& histogram) {
  std::string text = title;
  for (const auto& [name, quantile] : kQuantiles) {
    char part[64];
    std::snprintf(part, sizeof(part), "  %s %.2f ms", name,
                  ToMs(histogram.Quantile(quantile)));
    text += part;
  }
  return text + "\n";
}

double Rate(uint64_t count, Microseconds elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

uint64_t CompleteJobs(const LoadResult& report) {
  const auto found = report.m_outcomes.find("complete");
  return found == report.m_outcomes.end() ? 0 : found->second;
}

}  // namespace

LoadResult RunLoad(HttpClient& client,
                   const LoadOptions& options,
                   const Terminal& terminal) {
  return std::make_shared<LoadRun>(client, options, terminal)->Run();
}

std::string LoadResultToText(const LoadOptions& options,
                             const LoadResult& report) {
  char line[160];
  const double offered = Rate(report.m_jobs, options.m_length);
  const double complete = Rate(CompleteJobs(report), report.m_elapsed);
  std::snprintf(line, sizeof(line),
                "%llu jobs of %u tasks in %.1f s: %.1f jobs/s offered, %.1f "
                "jobs/s and %.1f tasks/s complete\n",
                static_cast<unsigned long long>(report.m_jobs),
                options.m_tasks_per_job, ToMs(report.m_elapsed) / 1000, offered,
                complete, complete * options.m_tasks_per_job);
  std::string text = line;
  for (const auto& [outcome, count] : report.m_outcomes) {
    text += outcome + ": " + std::to_string(count) + "\n";
  }
  for (const auto& [reason, count] : report.m_reasons) {
    text += "  " + reason + ": " + std::to_string(count) + "\n";
  }
  if (report.m_wrong_answers > 0) {
    text += "answers with a wrong number of tasks: " +
            std::to_string(report.m_wrong_answers) + "\n";
  }
  text += HistogramToText("latency from the scheduled time:", report.m_latency);
  return text + HistogramToText("delay of sending:", report.m_send_delay);
}

std::string LoadResultToJson(const LoadOptions& options,
                             const LoadResult& report) {
  const Json json = {
      {"jobs", report.m_jobs},
      {"tasks_per_job", options.m_tasks_per_job},
      {"elapsed_ms", ToMs(report.m_elapsed)},
      {"offered_jobs_per_second", Rate(report.m_jobs, options.m_length)},
      {"complete_jobs_per_second",
       Rate(CompleteJobs(report), report.m_elapsed)},
      {"outcomes", report.m_outcomes},
      {"reasons", report.m_reasons},
      {"wrong_answers", report.m_wrong_answers},
      {"latency", HistogramToJson(report.m_latency)},
      {"send_delay", HistogramToJson(report.m_send_delay)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace comfreyshift
