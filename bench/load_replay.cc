// Plays a load pattern against the decision code under a virtual clock and
// prints what became of the jobs.
// usage: load_replay [--fleet today|grown|large|uneven] [--rate FACTOR]
// [--seconds N]
//                    [--seed N] [--scenario NAME]
// The scenario "shortage" is that of the fleet "uneven": bursts beyond the
// capacity, a fifth of the runners three times as slow, and 5% of the requests
// to runners unanswered. "slow-bursts" leaves out the last of these, "bursts"
// the last two.

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "emulator/emulator.h"

namespace comfreyshift {
namespace {

struct ReplayOptions {
  double m_rate = 1.0;
  int64_t m_seconds = 20;
  uint64_t m_seed = 1;
  std::string m_scenario = "calm";
  std::string m_fleet = "today";
};

using Scenario = std::function<void(FleetEmulation&, LoadPattern&)>;

void Print(const std::string& name, const LoadSummary& sum) {
  std::printf(
      "%-12s asked %6llu  in objective %6llu  late %5llu  refused %5llu  "
      "with room %5llu  failed %4llu  worth %.3f\n",
      name.c_str(), static_cast<unsigned long long>(sum.m_asked),
      static_cast<unsigned long long>(sum.m_in_objective),
      static_cast<unsigned long long>(sum.m_late),
      static_cast<unsigned long long>(sum.m_refused),
      static_cast<unsigned long long>(sum.m_refused_with_room),
      static_cast<unsigned long long>(sum.m_failed),
      sum.m_worth_asked > 0 ? sum.m_worth_earned / sum.m_worth_asked : 0.0);
}

// Changes the load before it is drawn.
void ShapeLoad(const std::string& scenario, LoadPattern& pattern) {
  const Microseconds third = pattern.m_length / 3;
  if (scenario == "burst") {
    pattern.m_phases.push_back({third, 2 * third, 1.8, ""});
  } else if (scenario == "burst-long") {
    pattern.m_phases.push_back({third, 2 * third, 2.5, "long"});
  } else if (scenario == "burst-small") {
    pattern.m_phases.push_back({third, 2 * third, 2.5, "small"});
  } else if (scenario == "bursts" || scenario == "slow-bursts" ||
             scenario == "shortage") {
    AddBursts(pattern);
  }
}

// A fifth of the runners is slow, and a share of the requests to runners stays
// unanswered.
void AddShortage(FleetEmulation& fleet,
                 double lost_share,
                 Microseconds length) {
  constexpr double kSlowFactor = 3.0;
  fleet.LoseRequests(lost_share, length);
  constexpr size_t kSlowInterval = 5;
  for (size_t i = 0; i < fleet.agent_count(); i += kSlowInterval) {
    fleet.runner(i).set_slowness(kSlowFactor, fleet.now());
  }
}

// Adds faults at a third of the time, until two thirds.
bool AddFaults(const std::string& scenario,
               Microseconds third,
               FleetEmulation& fleet) {
  const std::map<std::string, std::function<void()>> begin = {
      {"calm", []() {}},
      {"burst", []() {}},
      {"burst-long", []() {}},
      {"burst-small", []() {}},
      {"bursts", []() {}},
      {"fails",
       [&]() {
         fleet.runner(0).set_fails_all(true);
         fleet.runner(4).set_fails_all(true);
       }},
      {"hangs", [&]() { fleet.runner(0).set_hangs(true, fleet.now()); }},
      {"slow",
       [&]() {
         fleet.runner(0).set_slowness(6.5, fleet.now());
         fleet.runner(4).set_slowness(6.5, fleet.now());
       }},
      {"half",
       [&]() {
         for (size_t i = 0; i < 5; ++i) {
           fleet.DrainRunner(i);
         }
       }},
      {"late-orders", [&]() { fleet.LoseRequests(0.05, third); }},
      {"late-orders-fifth", [&]() { fleet.LoseRequests(0.2, third); }},
      {"late-orders-half", [&]() { fleet.LoseRequests(0.5, third); }},
      {"restart", [&]() { fleet.KillAll(); }},
  };
  if (scenario == "shortage" || scenario == "slow-bursts") {
    const double lost_share = scenario == "shortage" ? 0.05 : 0.0;
    fleet.At(Milliseconds(0), [&fleet, length = 3 * third, lost_share]() {
      AddShortage(fleet, lost_share, length);
    });
    return true;
  }
  const auto found = begin.find(scenario);
  if (found == begin.end()) {
    return false;
  }
  fleet.At(third, found->second);
  fleet.At(2 * third, [&fleet]() {
    fleet.runner(0).set_fails_all(false);
    fleet.runner(4).set_fails_all(false);
    fleet.runner(0).set_hangs(false, fleet.now());
  });
  return true;
}

// A deployment and the load that it takes.
struct Deployment {
  FleetOptions m_fleet;
  LoadPattern m_load;
};

std::optional<Deployment> FindDeployment(const std::string& name,
                                         uint64_t seed) {
  if (name == "today") {
    return Deployment{TodaysFleet(seed), TodaysLoad(1.0)};
  }
  if (name == "grown") {
    return Deployment{GrownFleet(seed), TodaysLoad(6.0)};
  }
  if (name == "uneven") {
    return Deployment{UnevenFleet(seed), UnevenLoad()};
  }
  if (name == "large") {
    return Deployment{LargeFleet(seed), LargeLoad()};
  }
  return std::nullopt;
}

int Replay(const ReplayOptions& options) {
  const auto deployment = FindDeployment(options.m_fleet, options.m_seed);
  if (!deployment) {
    std::fprintf(stderr, "unknown fleet %s\n", options.m_fleet.c_str());
    return 2;
  }
  LoadPattern pattern = deployment->m_load;
  for (JobKind& kind : pattern.m_kinds) {
    kind.m_jobs_per_second *= options.m_rate;
  }
  pattern.m_length = std::chrono::seconds(options.m_seconds);
  ShapeLoad(options.m_scenario, pattern);
  FleetEmulation fleet(deployment->m_fleet, pattern);
  const bool is_known =
      AddFaults(options.m_scenario, pattern.m_length / 3, fleet);
  if (!is_known) {
    std::fprintf(stderr, "unknown scenario %s\n", options.m_scenario.c_str());
    return 2;
  }
  // The fleet connects first.
  fleet.RunUntil(Milliseconds(10));
  fleet.AddLoad();
  // Use of the runners that are not leaving, while the trouble lasts.
  constexpr Milliseconds kSampleInterval{5};
  double used = 0.0;
  double capacity = 0.0;
  for (Microseconds at = pattern.m_length / 3; at < 2 * pattern.m_length / 3;
       at += kSampleInterval) {
    fleet.RunUntil(at);
    const size_t first = options.m_scenario == "half" ? 5 : 0;
    for (size_t i = first; i < fleet.agent_count(); ++i) {
      used += static_cast<double>(fleet.runner(i).UsedRoom().m_cpu_millis);
      capacity += static_cast<double>(fleet.runner(i).capacity().m_cpu_millis);
    }
  }
  std::printf("use of the runners %.3f\n", used / capacity);
  fleet.RunUntil(pattern.m_length + std::chrono::seconds(5));
  for (const JobKind& kind : pattern.m_kinds) {
    Print(kind.m_name, fleet.Summarize(kind.m_name));
  }
  for (size_t entry = 0; entry < pattern.m_entry_weights.size(); ++entry) {
    Print("entry-" + std::to_string(entry), fleet.SummarizeEntry(entry));
  }
  Print("all", fleet.Summarize());
  std::printf("messages %llu\n",
              static_cast<unsigned long long>(fleet.messages()));
  std::printf("double runs %llu, overloads %llu, false refusals %llu\n",
              static_cast<unsigned long long>(fleet.double_runs()),
              static_cast<unsigned long long>(fleet.overloads()),
              static_cast<unsigned long long>(fleet.false_refusals()));
  return 0;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  comfreyshift::ReplayOptions options;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    if (name == "--rate") {
      options.m_rate = std::strtod(argv[i + 1], nullptr);
    } else if (name == "--seconds") {
      options.m_seconds = std::strtoll(argv[i + 1], nullptr, 10);
    } else if (name == "--seed") {
      options.m_seed = std::strtoull(argv[i + 1], nullptr, 10);
    } else if (name == "--fleet") {
      options.m_fleet = argv[i + 1];
    } else if (name == "--scenario") {
      options.m_scenario = argv[i + 1];
    }
  }
  return comfreyshift::Replay(options);
}
