#ifndef BENCH_PLACEMENT_BENCH_POLICIES_H_
#define BENCH_PLACEMENT_BENCH_POLICIES_H_

#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "bench/placement_bench_workload.h"
#include "placement/placement.h"

namespace comfreyshift::bench {

inline constexpr uint32_t kNoQueueLimit = 1U << 30;

// What the baselines that count know of one target.
struct TargetView {
  uint32_t m_outstanding = 0;
  LoadReport m_load;
  uint32_t m_outstanding_at_report = 0;
  double m_mean_run_us = 300e3;

  // Own tasks, and those of others in the last report.
  double Tasks() const;
};

// What travels with a start.
struct StartTerms {
  // Order in the agent's queue.
  MonoTime m_due{};
  // The agent refuses the start when all slots are taken and this many tasks
  // wait.
  uint32_t m_max_queue = kNoQueueLimit;
};

// The baselines. All choose at once and let tasks queue at the agent, first
// come first served.
struct RandomPolicy {
  std::mt19937_64 m_random;
};
struct RoundRobinPolicy {
  uint32_t m_next = 0;
};
// The less loaded of two random targets, by tasks for each slot.
struct TwoChoicesPolicy {
  std::mt19937_64 m_random;
  std::vector<TargetView> m_targets = std::vector<TargetView>(kTargets);
};
// Least mean run time x (1 + tasks over the slots / slots) + link delay.
struct LeastExpectedPolicy {
  Microseconds m_link_delay{0};
  std::vector<TargetView> m_targets = std::vector<TargetView>(kTargets);
};
// Two reservations for each task, at random targets; the agent asks for a task
// when a slot is free.
struct ReservationPolicy {
  std::mt19937_64 m_random;
};
// The real placement code.
struct PlacerPolicy {
  Placer m_placer;
};

using Policy = std::variant<RandomPolicy,
                            RoundRobinPolicy,
                            TwoChoicesPolicy,
                            LeastExpectedPolicy,
                            ReservationPolicy,
                            PlacerPolicy>;

inline const std::vector<std::string> kPolicyNames = {
    "random",         "round_robin", "two_choices",
    "least_expected", "reservation", "placer"};

Policy MakePolicy(const std::string& name,
                  const Deployment& deployment,
                  uint64_t seed);

std::optional<uint32_t> Choose(Policy& policy,
                               MonoTime now,
                               const PlacementRequest& request);

// Due time of a job's next task at its owner.
MonoTime Due(const Policy& policy, MonoTime arrival, uint32_t tasks_left);

StartTerms TermsOf(const Policy& policy,
                   MonoTime now,
                   uint32_t target,
                   MonoTime due);

void OnSent(Policy& policy, MonoTime now, uint32_t target);
void OnDone(Policy& policy,
            MonoTime now,
            uint32_t target,
            Microseconds run_time,
            bool ok,
            Milliseconds declared);
void OnNotStarted(Policy& policy, MonoTime now, uint32_t target);
void OnLoad(Policy& policy,
            MonoTime now,
            uint32_t target,
            const LoadReport& load);

}  // namespace comfreyshift::bench

#endif  // BENCH_PLACEMENT_BENCH_POLICIES_H_
