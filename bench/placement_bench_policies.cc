#include "bench/placement_bench_policies.h"

#include <algorithm>
#include <type_traits>

namespace comfreyshift::bench {
namespace {

// Weight of one run in the mean of the least expected completion baseline.
constexpr double kMeanWeight = 1.0 / 32;

uint32_t RandomAllowed(std::mt19937_64& random,
                       const std::vector<bool>& allowed) {
  uint32_t target = 0;
  do {
    target = static_cast<uint32_t>(random() % kTargets);
  } while (!allowed[target]);
  return target;
}

uint32_t ChooseBaseline(RandomPolicy& policy,
                        const std::vector<bool>& allowed) {
  return RandomAllowed(policy.m_random, allowed);
}

uint32_t ChooseBaseline(ReservationPolicy& policy,
                        const std::vector<bool>& allowed) {
  return RandomAllowed(policy.m_random, allowed);
}

uint32_t ChooseBaseline(RoundRobinPolicy& policy,
                        const std::vector<bool>& allowed) {
  do {
    policy.m_next = (policy.m_next + 1) % kTargets;
  } while (!allowed[policy.m_next]);
  return policy.m_next;
}

uint32_t ChooseBaseline(TwoChoicesPolicy& policy,
                        const std::vector<bool>& allowed) {
  const uint32_t first = RandomAllowed(policy.m_random, allowed);
  const uint32_t second = RandomAllowed(policy.m_random, allowed);
  return policy.m_targets[second].Tasks() < policy.m_targets[first].Tasks()
             ? second
             : first;
}

uint32_t ChooseBaseline(LeastExpectedPolicy& policy,
                        const std::vector<bool>& allowed) {
  uint32_t best = kTargets;
  double best_us = 0;
  for (uint32_t target = 0; target < kTargets; ++target) {
    const TargetView& view = policy.m_targets[target];
    const double over = std::max(0.0, view.Tasks() + 1 - kSlots);
    const double us = view.m_mean_run_us * (1 + over / kSlots) +
                      static_cast<double>(policy.m_link_delay.count());
    if (allowed[target] && (best == kTargets || us < best_us)) {
      best = target;
      best_us = us;
    }
  }
  return best;
}

// The view that a baseline keeps of a target, or nothing.
TargetView* ViewOf(Policy& policy, uint32_t target) {
  return std::visit(
      [&](auto& chosen) -> TargetView* {
        if constexpr (requires { chosen.m_targets; }) {
          return &chosen.m_targets[target];
        } else {
          return nullptr;
        }
      },
      policy);
}

}  // namespace

double TargetView::Tasks() const {
  const int64_t others =
      int64_t{m_load.m_running} + m_load.m_queued - m_outstanding_at_report;
  return m_outstanding + static_cast<double>(std::max<int64_t>(others, 0));
}

Policy MakePolicy(const std::string& name,
                  const Deployment& deployment,
                  uint64_t seed) {
  if (name == "random") {
    return RandomPolicy{std::mt19937_64(seed)};
  }
  if (name == "round_robin") {
    return RoundRobinPolicy{static_cast<uint32_t>(seed % kTargets)};
  }
  if (name == "two_choices") {
    return TwoChoicesPolicy{std::mt19937_64(seed)};
  }
  if (name == "least_expected") {
    return LeastExpectedPolicy{deployment.m_zone_delay};
  }
  if (name == "reservation") {
    return ReservationPolicy{std::mt19937_64(seed)};
  }
  Placer placer(seed);
  std::vector<PlacementTarget> targets;
  for (uint32_t i = 0; i < kTargets; ++i) {
    PlacementTarget target;
    target.m_name = "target-" + std::to_string(i);
    target.m_agent = ProcessId{"agent-" + std::to_string(i), 1};
    target.m_zone = "zone-" + std::to_string(RackOf(i));
    target.m_slots = kSlots;
    target.m_link_delay = deployment.m_zone_delay;
    targets.push_back(target);
  }
  placer.SetTargets(kStart, targets);
  return PlacerPolicy{std::move(placer)};
}

std::optional<uint32_t> Choose(Policy& policy,
                               MonoTime now,
                               const PlacementRequest& request) {
  return std::visit(
      [&](auto& chosen) -> std::optional<uint32_t> {
        if constexpr (requires { chosen.m_placer; }) {
          return chosen.m_placer.Choose(now, request);
        } else {
          return ChooseBaseline(chosen, *request.m_allowed);
        }
      },
      policy);
}

MonoTime Due(const Policy& policy, MonoTime arrival, uint32_t tasks_left) {
  return std::holds_alternative<PlacerPolicy>(policy)
             ? StartDueTime(arrival, tasks_left)
             : arrival;
}

StartTerms TermsOf(const Policy& policy,
                   MonoTime now,
                   uint32_t /*target*/,
                   MonoTime due) {
  const bool first_come = !std::holds_alternative<PlacerPolicy>(policy);
  return {first_come ? now : due, kNoQueueLimit};
}

void OnSent(Policy& policy, MonoTime now, uint32_t target) {
  if (auto* chosen = std::get_if<PlacerPolicy>(&policy)) {
    chosen->m_placer.OnSent(now, target);
  } else if (TargetView* view = ViewOf(policy, target)) {
    ++view->m_outstanding;
  }
}

void OnDone(Policy& policy,
            MonoTime now,
            uint32_t target,
            Microseconds run_time,
            bool ok,
            Milliseconds declared) {
  if (auto* chosen = std::get_if<PlacerPolicy>(&policy)) {
    chosen->m_placer.OnDone(now, target, run_time, ok, declared);
  } else if (TargetView* view = ViewOf(policy, target)) {
    --view->m_outstanding;
    view->m_mean_run_us +=
        kMeanWeight *
        (static_cast<double>(run_time.count()) - view->m_mean_run_us);
  }
}

void OnNotStarted(Policy& policy, MonoTime now, uint32_t target) {
  if (auto* chosen = std::get_if<PlacerPolicy>(&policy)) {
    chosen->m_placer.OnNotStarted(now, target);
  } else if (TargetView* view = ViewOf(policy, target)) {
    --view->m_outstanding;
  }
}

void OnLoad(Policy& policy,
            MonoTime now,
            uint32_t target,
            const LoadReport& load) {
  if (auto* chosen = std::get_if<PlacerPolicy>(&policy)) {
    chosen->m_placer.OnLoad(now, target, load);
  } else if (TargetView* view = ViewOf(policy, target)) {
    view->m_load = load;
    view->m_outstanding_at_report = view->m_outstanding;
  }
}

}  // namespace comfreyshift::bench
