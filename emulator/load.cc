#include "emulator/load.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace comfreyshift {

namespace {

// Spread of sizes between jobs, and between the tasks of one job.
constexpr double kJobSpread = 0.4;
constexpr double kTaskSpread = 0.15;
constexpr double kCpuSpread = 0.2;
// Largest run time, as a multiple of the mean.
constexpr double kMaxWork = 4.0;
// A job's worth grows with its work up to this multiple of the mean.
constexpr double kMaxWorthFactor = 4.0;
constexpr double kFixedWorthShare = 0.3;

double DrawLogNormal(double mean, double spread, std::mt19937_64& random) {
  std::lognormal_distribution<double> draw(
      std::log(mean) - spread * spread / 2.0, spread);
  return draw(random);
}

bool Concerns(const LoadPhase& phase, const JobKind& kind, Microseconds at) {
  return (phase.m_kind.empty() || phase.m_kind == kind.m_name) &&
         at >= phase.m_from && at < phase.m_until;
}

double RateFactor(const LoadPattern& pattern,
                  const JobKind& kind,
                  Microseconds at) {
  const double angle = 2.0 * std::numbers::pi *
                       static_cast<double>(at.count()) /
                       static_cast<double>(pattern.m_swing_period.count());
  double factor = 1.0 + pattern.m_swing * std::sin(angle);
  for (const LoadPhase& phase : pattern.m_phases) {
    if (Concerns(phase, kind, at)) {
      factor *= phase.m_rate_factor;
    }
  }
  return factor;
}

// Draws whether a job of the kind wants one rack, and sets it.
void DrawRack(const LoadPattern& pattern,
              const JobKind& kind,
              Microseconds at,
              Arrival& arrival,
              std::mt19937_64& random) {
  for (const LoadPhase& phase : pattern.m_phases) {
    if (!Concerns(phase, kind, at) || phase.m_rack_share == 0.0 ||
        std::uniform_real_distribution<double>(0.0, 1.0)(random) >=
            phase.m_rack_share) {
      continue;
    }
    for (Step& step : arrival.m_request.m_steps) {
      step.m_data_rack = phase.m_data_rack;
    }
    for (TaskBehaviour& task : arrival.m_tasks) {
      task.m_data_rack = phase.m_data_rack;
    }
  }
}

std::string JobId(uint64_t number) {
  std::string id(16, '0');
  for (size_t i = id.size(); i-- > 0; number >>= 4) {
    id[i] = "0123456789abcdef"[number & 0xF];
  }
  return id;
}

Arrival DrawJob(const LoadPattern& pattern,
                const JobKind& kind,
                std::mt19937_64& random) {
  Arrival arrival;
  const double tasks = DrawLogNormal(kind.m_mean_tasks, kJobSpread, random);
  const auto count = static_cast<uint32_t>(std::clamp(
      std::round(tasks), 1.0, static_cast<double>(kind.m_max_tasks)));
  const auto mean_work = static_cast<double>(kind.m_mean_work.count());
  const double work = std::min(kMaxWork * mean_work,
                               DrawLogNormal(mean_work, kJobSpread, random));
  Step step;
  step.m_count = count;
  step.m_demand.m_cpu_millis = static_cast<int64_t>(
      DrawLogNormal(kind.m_mean_cpu_millis, kCpuSpread, random));
  step.m_demand.m_memory_mb = 64;
  step.m_estimated_run_time = Milliseconds(std::max<int64_t>(
      1, std::llround(
             DrawLogNormal(work / 1000.0, pattern.m_estimate_spread, random))));
  const bool is_in_tail = pattern.m_tail_share > 0.0 &&
                          std::uniform_real_distribution<double>(
                              0.0, 1.0)(random) < pattern.m_tail_share;
  const double actual_work = work * (is_in_tail ? pattern.m_tail_factor : 1.0);
  double total = 0.0;
  for (uint32_t index = 0; index < count; ++index) {
    TaskBehaviour task;
    task.m_demand = step.m_demand;
    task.m_work = Microseconds(
        std::llround(DrawLogNormal(actual_work, kTaskSpread, random)));
    arrival.m_longest = std::max(arrival.m_longest, task.m_work);
    total += static_cast<double>(task.m_work.count()) *
             static_cast<double>(step.m_demand.m_cpu_millis);
    arrival.m_tasks.push_back(task);
  }
  const double mean_total =
      kind.m_mean_tasks * mean_work * kind.m_mean_cpu_millis;
  arrival.m_worth =
      kind.m_worth *
      std::min(kMaxWorthFactor, kFixedWorthShare + (1.0 - kFixedWorthShare) *
                                                       total / mean_total);
  arrival.m_request.m_queue = kind.m_name;
  arrival.m_request.m_payload = "work";
  arrival.m_request.m_steps = {step};
  return arrival;
}

}  // namespace

std::vector<Arrival> DrawArrivals(const LoadPattern& pattern,
                                  size_t entries,
                                  std::mt19937_64& random) {
  std::vector<Arrival> arrivals;
  std::uniform_int_distribution<size_t> draw_entry(0, entries - 1);
  std::discrete_distribution<size_t> draw_uneven_entry(
      pattern.m_entry_weights.begin(), pattern.m_entry_weights.end());
  for (size_t index = 0; index < pattern.m_kinds.size(); ++index) {
    const JobKind& kind = pattern.m_kinds[index];
    Microseconds at{0};
    while (true) {
      const double rate =
          kind.m_jobs_per_second * RateFactor(pattern, kind, at);
      std::exponential_distribution<double> draw_gap(rate / 1e6);
      at += Microseconds(1 + std::llround(draw_gap(random)));
      if (at >= pattern.m_length) {
        break;
      }
      Arrival arrival = DrawJob(pattern, kind, random);
      DrawRack(pattern, kind, at, arrival, random);
      arrival.m_at = at;
      arrival.m_kind = index;
      arrival.m_entry = pattern.m_entry_weights.empty()
                            ? draw_entry(random)
                            : draw_uneven_entry(random);
      arrivals.push_back(std::move(arrival));
    }
  }
  std::ranges::sort(arrivals, {}, &Arrival::m_at);
  for (size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].m_request.m_id = JobId(i + 1);
  }
  return arrivals;
}

LoadPattern TodaysLoad(double rate_factor) {
  LoadPattern pattern;
  pattern.m_kinds = {
      {"short-wide", 0, 3, 34.4, 8.0, 32, 6200.0, Microseconds(60'000), 0.0291},
      {"long", 2, 4, 6.25, 4.0, 16, 6200.0, Microseconds(900'000), 0.16},
      {"small", 1, 2, 100.0, 2.0, 8, 6200.0, Microseconds(200'000), 0.01},
  };
  for (JobKind& kind : pattern.m_kinds) {
    kind.m_jobs_per_second *= rate_factor;
  }
  return pattern;
}

LoadPattern UnevenLoad() {
  LoadPattern pattern;
  pattern.m_kinds = {
      {"short-wide", 0, 3, 181, 8.0, 32, 3000.0, Microseconds(51'000), 0.0291},
      {"long", 2, 4, 33, 4.0, 16, 3000.0, Microseconds(760'000), 0.16},
      {"small", 1, 2, 527, 2.0, 8, 3000.0, Microseconds(170'000), 0.01},
  };
  pattern.m_tail_share = 0.03;
  pattern.m_swing = 0.55;
  // The first two entries are the small ones of UnevenFleet.
  pattern.m_entry_weights = {0.5, 0.6, 2.0, 1.6, 1.3, 1.2,
                             1.0, 1.0, 0.8, 0.7, 0.6};
  return pattern;
}

void AddBursts(LoadPattern& pattern) {
  struct Burst {
    Milliseconds m_from;
    Milliseconds m_length;
    double m_rate_factor;
  };
  constexpr Burst kBursts[] = {{Milliseconds(4000), Milliseconds(3000), 2.0},
                               {Milliseconds(14'000), Milliseconds(2000), 2.8},
                               {Milliseconds(21'000), Milliseconds(3500), 2.4}};
  for (const Burst& burst : kBursts) {
    pattern.m_phases.push_back(
        {burst.m_from, burst.m_from + burst.m_length, burst.m_rate_factor, ""});
  }
}

LoadPattern LargeLoad() {
  constexpr double kRateFactor = 9.0;
  constexpr double kCpuMillis = 10'000.0;
  LoadPattern pattern = TodaysLoad(kRateFactor);
  for (JobKind& kind : pattern.m_kinds) {
    kind.m_mean_cpu_millis = kCpuMillis;
  }
  return pattern;
}

}  // namespace comfreyshift
