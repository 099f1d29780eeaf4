#include "bench/placement_bench_workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace comfreyshift::bench {
namespace {

constexpr double kMaxJobTasks = 440;
constexpr double kShortestTaskUs = 50e3;
constexpr double kLongestCommonTaskUs = 1e6;
constexpr double kTailShare = 0.01;
constexpr double kTailShortestUs = 2e6;
constexpr double kTailLongestUs = 6e6;
constexpr double kBurstLoad = 2.0;

using Random = std::mt19937_64;

double LogUniform(Random& random, double low, double high) {
  std::uniform_real_distribution<double> exponent(std::log(low),
                                                  std::log(high));
  return std::exp(exponent(random));
}

Microseconds DrawWork(Random& random) {
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random) < kTailShare) {
    const double share = uniform(random);
    return Microseconds(static_cast<int64_t>(
        kTailShortestUs + share * (kTailLongestUs - kTailShortestUs)));
  }
  return Microseconds(static_cast<int64_t>(
      LogUniform(random, kShortestTaskUs, kLongestCommonTaskUs)));
}

// Mean work of a job in microseconds.
double MeanJobWork() {
  const double mean_tasks =
      (kMaxJobTasks + 1 - 1) / std::log(kMaxJobTasks + 1) - 0.5;
  const double common = (kLongestCommonTaskUs - kShortestTaskUs) /
                        std::log(kLongestCommonTaskUs / kShortestTaskUs);
  const double tail = (kTailShortestUs + kTailLongestUs) / 2;
  return mean_tasks * (common * (1 - kTailShare) + tail * kTailShare);
}

double LoadAt(const Scenario& scenario, MonoTime now) {
  const bool burst = scenario.m_disturbance == Disturbance::kBurst &&
                     now >= kDisturbedFrom && now < kBurstUntil;
  return burst ? kBurstLoad : scenario.m_load;
}

void AddTasks(Workload& workload, Random& random, uint32_t count) {
  std::lognormal_distribution<double> error(0, 1);
  const auto job = static_cast<uint32_t>(workload.m_jobs.size());
  for (uint32_t i = 0; i < count; ++i) {
    Task task;
    task.m_job = job;
    task.m_work = DrawWork(random);
    task.m_declared = Milliseconds(static_cast<int64_t>(
        static_cast<double>(task.m_work.count()) / 1e3 * error(random)));
    workload.m_tasks.push_back(task);
  }
}

Microseconds IdealOf(const Deployment& deployment,
                     const Workload& workload,
                     uint32_t first) {
  Microseconds longest{0};
  Microseconds sum{0};
  for (size_t i = first; i < workload.m_tasks.size(); ++i) {
    longest = std::max(longest, workload.m_tasks[i].m_work);
    sum += workload.m_tasks[i].m_work;
  }
  const Microseconds spread(static_cast<int64_t>(
      static_cast<double>(sum.count()) / Capacity(deployment)));
  return std::max(longest, spread) + PathDelay(deployment);
}

}  // namespace

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> deployments = {
      {"los-arroyos",
       Microseconds(1500),
       Microseconds(3000),
       {1, 0.5, 0.25, 0.9, 0.4, 0.7, 1, 0.3, 0.6, 0.8, 0.5}},
      {"sfax",
       Microseconds(1000),
       Microseconds(1000),
       {0.5, 1, 0.6, 0.25, 1, 0.5, 0.8, 0.4, 0.9, 0.3, 0.7}},
  };
  return deployments;
}

double Capacity(const Deployment& deployment) {
  double sum = 0;
  for (const double speed : deployment.m_speeds) {
    sum += speed * kSlots;
  }
  return sum;
}

Microseconds PathDelay(const Deployment& deployment) {
  return 2 * (deployment.m_client_delay + 2 * deployment.m_zone_delay);
}

Microseconds RunTime(const Deployment& deployment,
                     const Workload& workload,
                     uint32_t task,
                     uint32_t target) {
  // A multiplicative hash of the pair gives its fixed error.
  const uint64_t hash =
      (uint64_t{task} * kTargets + target + 1) * 0x9E3779B97F4A7C15ULL;
  const double error = static_cast<double>(hash >> 40) / (1 << 24);
  const double factor = 0.9 + 0.2 * error;
  return Microseconds(static_cast<int64_t>(
      static_cast<double>(workload.m_tasks[task].m_work.count()) * factor /
      deployment.m_speeds[target]));
}

bool Disturbed(const Scenario& scenario,
               Disturbance disturbance,
               MonoTime now) {
  return scenario.m_disturbance == disturbance && now >= kDisturbedFrom &&
         now < kDisturbedUntil;
}

Microseconds RunTimeAt(const Deployment& deployment,
                       const Scenario& scenario,
                       const Workload& workload,
                       uint32_t task,
                       uint32_t target,
                       MonoTime now) {
  const auto& speeds = deployment.m_speeds;
  const auto fastest = static_cast<uint32_t>(
      std::max_element(speeds.begin(), speeds.end()) - speeds.begin());
  const Microseconds run = RunTime(deployment, workload, task, target);
  const bool slow =
      target == fastest && Disturbed(scenario, Disturbance::kStraggler, now);
  return slow ? Microseconds(static_cast<int64_t>(
                    static_cast<double>(run.count()) * kStragglerFactor))
              : run;
}

Workload MakeWorkload(const Deployment& deployment,
                      const Scenario& scenario,
                      MonoTime until,
                      uint64_t seed) {
  Random random(seed);
  Workload workload;
  std::exponential_distribution<double> gap(1);
  const double mean_gap = MeanJobWork() / Capacity(deployment);
  MonoTime now = kStart;
  while (true) {
    const double load = LoadAt(scenario, now);
    now += Microseconds(static_cast<int64_t>(gap(random) * mean_gap / load));
    if (now >= until) {
      return workload;
    }
    Job job;
    job.m_arrival = now;
    job.m_owner = static_cast<uint32_t>(random() % kTargets);
    job.m_first_task = static_cast<uint32_t>(workload.m_tasks.size());
    job.m_tasks =
        static_cast<uint32_t>(LogUniform(random, 1, kMaxJobTasks + 1));
    AddTasks(workload, random, job.m_tasks);
    job.m_ideal = IdealOf(deployment, workload, job.m_first_task);
    workload.m_jobs.push_back(job);
  }
}

Microseconds AllowedWork(const Deployment& deployment,
                         const Workload& workload,
                         MonoTime from,
                         MonoTime until) {
  double open = 0;
  for (uint32_t target = 0; target < kTargets; ++target) {
    if (RackOf(target) != kClosedZone) {
      open += deployment.m_speeds[target] * kSlots;
    }
  }
  double backlog = 0;
  double served = 0;
  MonoTime last = kStart;
  const auto serve = [&](MonoTime now) {
    // The steps are split at the points where the capacity changes.
    while (last < now) {
      const bool closed = last >= kDisturbedFrom && last < kDisturbedUntil;
      MonoTime end = now;
      for (const MonoTime edge : {from, kDisturbedFrom, kDisturbedUntil}) {
        if (last < edge) {
          end = std::min(end, edge);
        }
      }
      const double rate = closed ? open : Capacity(deployment);
      const double work =
          std::min(backlog, rate * static_cast<double>((end - last).count()));
      backlog -= work;
      served += last >= from ? work : 0;
      last = end;
    }
  };
  for (const Job& job : workload.m_jobs) {
    if (job.m_arrival >= until) {
      break;
    }
    serve(job.m_arrival);
    for (uint32_t i = 0; i < job.m_tasks; ++i) {
      backlog += static_cast<double>(
          workload.m_tasks[job.m_first_task + i].m_work.count());
    }
  }
  serve(until);
  return Microseconds(static_cast<int64_t>(served));
}

}  // namespace comfreyshift::bench
