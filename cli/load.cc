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

#include "json/json.h"

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
  return DumpJson(body);
}

// One run of a load. Calls in progress share it.
class LoadRun : public std::enable_shared_from_this<LoadRun> {
 public:
  LoadRun(const std::vector<std::shared_ptr<HttpClient>>& entries,
          const LoadOptions& options,
          const Terminal& terminal)
      : m_entries(entries),
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

  // One job with its key. Its sendings share it.
  struct Job {
    std::string m_key;
    MonoTime m_scheduled;
    WallTime m_first_sent;
    uint32_t m_sendings = 0;
    // Sendings without an answer, and whether one answer was counted.
    uint32_t m_open = 0;
    bool m_counted = false;
  };

  void SendJob(MonoTime scheduled) {
    auto job = std::make_shared<Job>();
    const uint64_t high = m_random();
    job->m_scheduled = scheduled;
    job->m_first_sent = WallNow();
    job->m_key =
        SubmissionKey::Make(job->m_first_sent, high, m_random()).ToString();
    ++m_report.m_jobs;
    ++m_in_progress;
    m_report.m_send_delay.Record(BootClock::now() - scheduled);
    std::bernoulli_distribution twice(m_options.m_duplicate_share);
    const int sendings = twice(m_random) ? 2 : 1;
    for (int i = 0; i < sendings; ++i) {
      Send(job);
    }
  }

  void Send(const std::shared_ptr<Job>& job) {
    HttpCall call;
    call.m_path = "/v1/jobs";
    call.m_headers = m_options.m_headers;
    call.m_headers["Idempotency-Key"] = job->m_key;
    call.m_body = m_body;
    call.m_deadline = BootClock::now() + m_options.m_timeout + kAnswerGrace;
    ++job->m_sendings;
    ++job->m_open;
    m_next_entry = (m_next_entry + 1) % m_entries.size();
    m_entries[m_next_entry]->Send(
        std::move(call),
        [self = shared_from_this(), job](const HttpCallResult& result) {
          self->OnAnswer(job, result);
        });
  }

  void OnAnswer(const std::shared_ptr<Job>& job, const HttpCallResult& result) {
    --job->m_open;
    const CallerAnswer answer = ReadCallerAnswer(result);
    WriteHistory(*job, answer, result);
    // Only these leave it open whether the job ran or will run.
    const bool is_open = !result || (answer.m_outcome == JobOutcome::kNotRun &&
                                     !answer.m_covers_submission);
    if (is_open && job->m_sendings <= m_options.m_resubmissions) {
      ResendLater(job);
      return;
    }
    if (is_open && job->m_open > 0) {
      return;
    }
    if (!std::exchange(job->m_counted, true)) {
      Count(answer, job->m_scheduled);
    }
  }

  // Waits a little, so that an entry that is gone is not asked in a busy loop.
  void ResendLater(const std::shared_ptr<Job>& job) {
    struct Resend {
      std::shared_ptr<LoadRun> m_run;
      std::shared_ptr<Job> m_job;
    };
    constexpr guint kPauseMs = 100;
    ++job->m_open;
    g_timeout_add(
        kPauseMs,
        [](gpointer data) -> gboolean {
          const std::unique_ptr<Resend> resend(static_cast<Resend*>(data));
          --resend->m_job->m_open;
          resend->m_run->Send(resend->m_job);
          return G_SOURCE_REMOVE;
        },
        new Resend{shared_from_this(), job});
  }

  void WriteHistory(const Job& job,
                    const CallerAnswer& answer,
                    const HttpCallResult& result) {
    if (m_options.m_history == nullptr) {
      return;
    }
    const Json line = {
        {"key", job.m_key},
        {"tasks", m_options.m_tasks_per_job},
        {"answered", result.has_value()},
        {"outcome", ToString(answer.m_outcome)},
        {"reason", answer.m_reason},
        {"covers_submission", answer.m_covers_submission},
        {"answers", answer.m_answers.size()},
        {"first_sent_ms", job.m_first_sent.time_since_epoch().count()},
        {"answered_ms", WallNow().time_since_epoch().count()}};
    *m_options.m_history << DumpJson(line) << '\n';
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

  const std::vector<std::shared_ptr<HttpClient>>& m_entries;
  size_t m_next_entry = 0;
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

LoadResult RunLoad(const std::vector<std::shared_ptr<HttpClient>>& entries,
                   const LoadOptions& options,
                   const Terminal& terminal) {
  return std::make_shared<LoadRun>(entries, options, terminal)->Run();
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
  return DumpJson(json) + "\n";
}

}  // namespace comfreyshift
