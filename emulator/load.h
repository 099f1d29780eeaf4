#ifndef EMULATOR_LOAD_H_
#define EMULATOR_LOAD_H_

#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "emulator/runner_emulation.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// One kind of job in a load pattern. Sizes follow lognormal distributions with
// the given means and spreads (sigma of the logarithm).
struct JobKind {
  std::string m_name;
  int32_t m_priority = 0;
  uint32_t m_max_attempts = 3;
  double m_jobs_per_second = 1.0;
  double m_mean_tasks = 1.0;
  uint32_t m_max_tasks = 1;
  double m_mean_cpu_millis = 1000.0;
  Microseconds m_mean_work{100'000};
  // Of a mean job.
  double m_worth = 1.0;
};

// A time in which jobs come more often, or the fleet is smaller.
struct LoadPhase {
  Microseconds m_from{0};
  Microseconds m_until{0};
  double m_rate_factor = 1.0;
  // The kind concerned; empty for all.
  std::string m_kind;
  // This share of the jobs has its data on this rack.
  double m_rack_share = 0.0;
  std::string m_data_rack = {};
};

struct LoadPattern {
  std::vector<JobKind> m_kinds;
  std::vector<LoadPhase> m_phases;
  Microseconds m_length{20'000'000};
  double m_stretch = 1.6;
  Milliseconds m_target_latency{60};
  // Errors of clients' estimates, sigma of the logarithm.
  double m_estimate_spread = 0.4;
  // This share of the jobs runs for so many times as long as estimated.
  double m_tail_share = 0.0;
  double m_tail_factor = 7.0;
  // The rate swings around its mean by this share, as a sine of the period.
  double m_swing = 0.0;
  Microseconds m_swing_period{13'000'000};
  // Share of the jobs that each entry gets, in any unit; empty for equal
  // shares.
  std::vector<double> m_entry_weights;
  Milliseconds m_client_patience{2500};
};

// One arrival of a load pattern.
struct Arrival {
  Microseconds m_at{0};
  size_t m_kind = 0;
  size_t m_entry = 0;
  JobRequest m_request;
  // By index of the task.
  std::vector<TaskBehaviour> m_tasks;
  Microseconds m_longest{0};
  double m_worth = 0.0;
};

// Draws the arrivals of a pattern, in order of time.
std::vector<Arrival> DrawArrivals(const LoadPattern& pattern,
                                  size_t entries,
                                  std::mt19937_64& random);

// The three kinds of job of today's deployments, whose tasks take about a
// tenth of a runner.
LoadPattern TodaysLoad(double rate_factor);

// The load of UnevenFleet: 741 jobs a second at the usual rate, of which 3% run
// for seven times as long as estimated, and a rate that swings by 0.55. Its
// entries get unequal shares.
LoadPattern UnevenLoad();

// Adds times of two to three seconds in which jobs come 2 to 2.8 times as
// often.
void AddBursts(LoadPattern& pattern);

// The load of LargeFleet: nine times as many jobs as today, whose tasks take
// about a sixth of a runner.
LoadPattern LargeLoad();

}  // namespace comfreyshift

#endif  // EMULATOR_LOAD_H_
