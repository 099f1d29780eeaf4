#ifndef BENCH_PLACEMENT_BENCH_WORKLOAD_H_
#define BENCH_PLACEMENT_BENCH_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace comfreyshift::bench {

inline constexpr uint32_t kTargets = 11;
inline constexpr uint32_t kSlots = 8;
inline constexpr uint32_t kZones = 4;
inline constexpr uint32_t kWorkersPerRack = 3;

// Link delays and target speeds of one deployment. The 11 workers fill 4 racks
// of 3, one rack in each zone.
struct Deployment {
  std::string m_name;
  Microseconds m_zone_delay{0};
  Microseconds m_client_delay{0};
  // Speed of each target; 1 is the fastest, 0.25 the slowest.
  std::vector<double> m_speeds;
};

const std::vector<Deployment>& Deployments();

enum class Disturbance : uint8_t {
  kNone,
  kBurst,      // Arrivals at twice the capacity for 10 s.
  kStraggler,  // The fastest target becomes 8 times slower.
  kFailing,    // One target fails everything within 5 ms.
  kZoneOut,    // One zone is closed and opened again.
};

struct Scenario {
  std::string m_name;
  double m_load = 0.8;
  Disturbance m_disturbance = Disturbance::kNone;
};

// Start and end of what disturbs a run, as points on the bench clock.
inline constexpr MonoTime kStart{};
inline constexpr MonoTime kDisturbedFrom = kStart + std::chrono::seconds(200);
inline constexpr MonoTime kBurstUntil =
    kDisturbedFrom + std::chrono::seconds(10);
inline constexpr MonoTime kDisturbedUntil =
    kDisturbedFrom + std::chrono::seconds(100);

// Estimates are learned before this point; jobs that arrive earlier are not
// measured.
inline constexpr MonoTime kMeasuredFrom = kStart + std::chrono::seconds(100);

struct Task {
  uint32_t m_job = 0;
  // Run time at speed 1.
  Microseconds m_work{0};
  // Declared run time: the true one times a log-normal factor, sigma 1.
  Milliseconds m_declared{0};
};

struct Job {
  MonoTime m_arrival;
  uint32_t m_owner = 0;
  uint32_t m_first_task = 0;
  uint32_t m_tasks = 0;
  // Least response time on empty targets: the longer of the longest task at
  // speed 1 and the whole work over the whole capacity, and the link delays.
  Microseconds m_ideal{0};
};

struct Workload {
  std::vector<Job> m_jobs;
  std::vector<Task> m_tasks;
};

// Sum of slots times speed.
double Capacity(const Deployment& deployment);

// Delay on the links of one task: client, entry, owner, target and back.
Microseconds PathDelay(const Deployment& deployment);

// Run time of one task on one target: work / speed, off by up to 10% in a way
// that is fixed for the pair of task and target.
Microseconds RunTime(const Deployment& deployment,
                     const Workload& workload,
                     uint32_t task,
                     uint32_t target);

// Run time of a task that starts at `now`, with the scenario's disturbance.
Microseconds RunTimeAt(const Deployment& deployment,
                       const Scenario& scenario,
                       const Workload& workload,
                       uint32_t task,
                       uint32_t target,
                       MonoTime now);

// True while `disturbance` is part of the scenario and lasts.
bool Disturbed(const Scenario& scenario, Disturbance disturbance, MonoTime now);

inline uint32_t RackOf(uint32_t worker) {
  return worker / kWorkersPerRack;
}

// True when an owner may place its tasks on `target`.
inline bool MayPlace(uint32_t owner, uint32_t target) {
  return RackOf(owner) != RackOf(target);
}

Workload MakeWorkload(const Deployment& deployment,
                      const Scenario& scenario,
                      MonoTime until,
                      uint64_t seed);

// What one run measured.
struct Outcome {
  std::vector<double> m_task_ratios;
  std::vector<double> m_job_ratios;
  // Tasks of the job of each ratio.
  std::vector<uint32_t> m_job_sizes;
  uint64_t m_tasks_done = 0;
  uint64_t m_messages = 0;
  uint64_t m_wasted = 0;
  uint64_t m_failed_jobs = 0;
  // Work at speed 1 finished while a zone leaves and returns.
  Microseconds m_work_done{0};
  // Starts from 5 s after the target began to fail until it was repaired.
  uint64_t m_starts_while_failing = 0;
  uint64_t m_starts_at_failing = 0;
  // Longest queue at a returning target in the first 10 s.
  uint32_t m_return_queue = 0;
};

// Share of a window's work that open capacity allows: a fluid served at the
// open capacity, with all work that waits carried over.
Microseconds AllowedWork(const Deployment& deployment,
                         const Workload& workload,
                         MonoTime from,
                         MonoTime until);

// The zone that is taken out, and how the fluid and the bench see it.
inline constexpr uint32_t kClosedZone = 1;
inline constexpr uint32_t kFailingTarget = 4;
inline constexpr double kStragglerFactor = 8;
inline constexpr Microseconds kFailTime = Milliseconds(5);
inline constexpr MonoTime kZoneWindowUntil =
    kDisturbedUntil + std::chrono::seconds(60);

}  // namespace comfreyshift::bench

#endif  // BENCH_PLACEMENT_BENCH_WORKLOAD_H_
