// Virtual-time bench of placement: owners with late information, the baselines
// and an omniscient bound, side by side. Prints one JSON object per line.
//
// usage: placement_bench [--seeds N] [--seconds N] [--scenario NAME]
//                        [--deployment NAME] [--policy NAME]
//                        [--bound no] [--part placement|admission|cost]

#include <algorithm>
#include <array>
#include <cmath>
#include <future>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/placement_bench_admission.h"
#include "bench/placement_bench_central.h"
#include "bench/placement_bench_policies.h"
#include "bench/placement_bench_sim.h"

namespace comfreyshift::bench {
namespace {

using Json = nlohmann::ordered_json;

constexpr uint64_t kFirstSeed = 20261204;
constexpr size_t kThreads = 3;

struct Options {
  uint64_t m_seeds = 3;
  std::chrono::seconds m_length{400};
  std::string m_scenario;
  std::string m_deployment;
  std::string m_policy;
  bool m_bound = true;
  // What to run: "placement", "admission", "cost", or all when empty.
  std::string m_part;
};

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = {
      {"load30", 0.30, Disturbance::kNone},
      {"load60", 0.60, Disturbance::kNone},
      {"load80", 0.80, Disturbance::kNone},
      {"load95", 0.95, Disturbance::kNone},
      {"burst60", 0.60, Disturbance::kBurst},
      {"straggler60", 0.60, Disturbance::kStraggler},
      {"failing60", 0.60, Disturbance::kFailing},
      {"zone60", 0.60, Disturbance::kZoneOut},
      {"zone80", 0.80, Disturbance::kZoneOut},
  };
  return scenarios;
}

const std::map<std::string, CentralPolicy>& CentralOrders() {
  static const std::map<std::string, CentralPolicy> orders = {
      {"omniscient_srpt",
       {CentralOrder::kShortestRemaining, CentralKnowledge::kTrue}},
      {"omniscient_fcfs", {CentralOrder::kFirstCome, CentralKnowledge::kTrue}},
      // Not part of the bound: it shows what unknown run times alone cost.
      {"central_declared",
       {CentralOrder::kShortestRemaining, CentralKnowledge::kDeclared}},
      {"omniscient_slowdown",
       {CentralOrder::kSlowdown, CentralKnowledge::kTrue}},
  };
  return orders;
}

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(at),
                   values.end());
  return values[at];
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double Rounded(double value) {
  return std::round(value * 1e4) / 1e4;
}

double Share(double part, double whole) {
  return whole > 0 ? Rounded(part / whole) : 0;
}

// The seeds of one scenario, deployment and policy, pooled.
struct Pool {
  Outcome m_sum;
  Microseconds m_allowed_work{0};
};

void Add(Pool& pool, const Outcome& one, Microseconds allowed) {
  Outcome& sum = pool.m_sum;
  sum.m_task_ratios.insert(sum.m_task_ratios.end(), one.m_task_ratios.begin(),
                           one.m_task_ratios.end());
  sum.m_job_ratios.insert(sum.m_job_ratios.end(), one.m_job_ratios.begin(),
                          one.m_job_ratios.end());
  sum.m_job_sizes.insert(sum.m_job_sizes.end(), one.m_job_sizes.begin(),
                         one.m_job_sizes.end());
  sum.m_tasks_done += one.m_tasks_done;
  sum.m_messages += one.m_messages;
  sum.m_wasted += one.m_wasted;
  sum.m_failed_jobs += one.m_failed_jobs;
  sum.m_work_done += one.m_work_done;
  sum.m_starts_while_failing += one.m_starts_while_failing;
  sum.m_starts_at_failing += one.m_starts_at_failing;
  sum.m_return_queue = std::max(sum.m_return_queue, one.m_return_queue);
  pool.m_allowed_work += allowed;
}

struct Bound {
  double m_p50 = 0;
  double m_p99 = 0;
};

// Median job ratio for jobs of up to 8, 64 and 440 tasks.
Json MediansBySize(const Outcome& outcome) {
  std::array<std::vector<double>, 3> classes;
  for (size_t i = 0; i < outcome.m_job_ratios.size(); ++i) {
    const uint32_t size = outcome.m_job_sizes[i];
    classes[size <= 8 ? 0 : (size <= 64 ? 1 : 2)].push_back(
        outcome.m_job_ratios[i]);
  }
  Json medians = Json::array();
  for (auto& values : classes) {
    medians.push_back(Rounded(Quantile(values, 0.5)));
  }
  return medians;
}

Json Report(Pool& pool, const Scenario& scenario) {
  Outcome& sum = pool.m_sum;
  const auto tasks = static_cast<double>(sum.m_tasks_done);
  Json line;
  line["jobs"] = sum.m_job_ratios.size();
  line["job_p50_by_size"] = MediansBySize(sum);
  line["tasks"] = sum.m_tasks_done;
  line["job_mean"] = Rounded(Mean(sum.m_job_ratios));
  line["job_p50"] = Rounded(Quantile(sum.m_job_ratios, 0.5));
  line["job_p99"] = Rounded(Quantile(sum.m_job_ratios, 0.99));
  line["task_mean"] = Rounded(Mean(sum.m_task_ratios));
  line["task_p50"] = Rounded(Quantile(sum.m_task_ratios, 0.5));
  line["task_p99"] = Rounded(Quantile(sum.m_task_ratios, 0.99));
  line["messages_per_task"] = Share(static_cast<double>(sum.m_messages), tasks);
  line["wasted_per_task"] = Share(static_cast<double>(sum.m_wasted), tasks);
  if (scenario.m_disturbance == Disturbance::kFailing) {
    line["failed_jobs"] = sum.m_failed_jobs;
    line["failing_share"] =
        Share(static_cast<double>(sum.m_starts_at_failing),
              static_cast<double>(sum.m_starts_while_failing));
  }
  if (scenario.m_disturbance == Disturbance::kZoneOut) {
    line["work_of_open_capacity"] =
        Share(static_cast<double>(sum.m_work_done.count()),
              static_cast<double>(pool.m_allowed_work.count()));
    line["return_queue_max"] = sum.m_return_queue;
  }
  return line;
}

class Bench {
 public:
  explicit Bench(Options options) : m_options(std::move(options)) {}

  void Run() {
    if (Selected(m_options.m_part, "cost")) {
      RunCosts(kFirstSeed);
    }
    if (Selected(m_options.m_part, "admission")) {
      RunAdmission(kFirstSeed);
    }
    if (Selected(m_options.m_part, "placement")) {
      RunPlacement();
    }
  }

 private:
  void RunPlacement() {
    for (const Deployment& deployment : Deployments()) {
      for (const Scenario& scenario : Scenarios()) {
        if (Selected(m_options.m_deployment, deployment.m_name) &&
            Selected(m_options.m_scenario, scenario.m_name)) {
          RunScenario(deployment, scenario);
        }
      }
    }
  }

  static bool Selected(const std::string& option, const std::string& name) {
    return option.empty() || option == name;
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, order] : CentralOrders()) {
      if (!m_options.m_bound) {
        break;
      }
      names.push_back(name);
    }
    for (const std::string& name : kPolicyNames) {
      if (Selected(m_options.m_policy, name)) {
        names.push_back(name);
      }
    }
    return names;
  }

  Pool RunSeeds(const Deployment& deployment,
                const Scenario& scenario,
                const std::string& name) const {
    Pool pool;
    const MonoTime until = kStart + m_options.m_length;
    for (uint64_t i = 0; i < m_options.m_seeds; ++i) {
      const Workload workload =
          MakeWorkload(deployment, scenario, until, kFirstSeed + i);
      const auto order = CentralOrders().find(name);
      const Outcome one =
          order != CentralOrders().end()
              ? RunCentral(deployment, scenario, workload, order->second)
              : RunOwners(deployment, scenario, workload, name, kFirstSeed + i);
      Add(pool, one,
          AllowedWork(deployment, workload, kDisturbedFrom, kZoneWindowUntil));
    }
    return pool;
  }

  void RunScenario(const Deployment& deployment, const Scenario& scenario) {
    const std::vector<std::string> names = Names();
    std::vector<Pool> pools(names.size());
    for (size_t first = 0; first < names.size(); first += kThreads) {
      const size_t last = std::min(first + kThreads, names.size());
      std::vector<std::future<Pool>> running;
      for (size_t i = first; i < last; ++i) {
        running.push_back(std::async(std::launch::async, [&, i] {
          return RunSeeds(deployment, scenario, names[i]);
        }));
      }
      for (size_t i = first; i < last; ++i) {
        pools[i] = running[i - first].get();
      }
    }
    Print(deployment, scenario, names, pools);
  }

  // The bound is the best of the central orders, for each measure by itself.
  static void Print(const Deployment& deployment,
                    const Scenario& scenario,
                    const std::vector<std::string>& names,
                    std::vector<Pool>& pools) {
    std::vector<Json> lines;
    Bound bound{1e9, 1e9};
    for (size_t i = 0; i < names.size(); ++i) {
      lines.push_back(Report(pools[i], scenario));
      if (names[i].starts_with("omniscient")) {
        bound.m_p50 = std::min<double>(bound.m_p50, lines[i]["job_p50"]);
        bound.m_p99 = std::min<double>(bound.m_p99, lines[i]["job_p99"]);
      }
    }
    for (size_t i = 0; i < names.size(); ++i) {
      Json line = {{"bench", "placement"},
                   {"deployment", deployment.m_name},
                   {"scenario", scenario.m_name},
                   {"policy", names[i]}};
      line.update(lines[i]);
      line["job_p50_to_bound"] = Share(lines[i]["job_p50"], bound.m_p50);
      line["job_p99_to_bound"] = Share(lines[i]["job_p99"], bound.m_p99);
      std::cout << line.dump() << std::endl;
    }
  }

  Options m_options;
};

std::optional<Options> ParseOptions(int argc, char** argv) {
  Options options;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const std::string value = argv[i + 1];
    if (name == "--seeds") {
      options.m_seeds = std::stoull(value);
    } else if (name == "--seconds") {
      options.m_length = std::chrono::seconds(std::stoll(value));
    } else if (name == "--scenario") {
      options.m_scenario = value;
    } else if (name == "--deployment") {
      options.m_deployment = value;
    } else if (name == "--policy") {
      options.m_policy = value;
    } else if (name == "--part") {
      options.m_part = value;
    } else if (name == "--bound") {
      options.m_bound = value != "no";
    } else {
      return std::nullopt;
    }
  }
  return argc % 2 == 1 ? std::optional(options) : std::nullopt;
}

}  // namespace
}  // namespace comfreyshift::bench

int main(int argc, char** argv) {
  const auto options = comfreyshift::bench::ParseOptions(argc, argv);
  if (!options) {
    std::cerr << "usage: placement_bench [--seeds N] [--seconds N] "
                 "[--scenario NAME] [--deployment NAME] [--policy NAME] "
                 "[--bound no] [--part placement|admission|cost]\n";
    return 2;
  }
  comfreyshift::bench::Bench(*options).Run();
  return 0;
}
