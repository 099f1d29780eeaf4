#include "placement/placer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace comfreyshift {
namespace {

// Weight of one run in a mean is 1 / runs, and never below this.
constexpr float kLeastWeight = 1.0F / 32;

// A job waits this much longer for each task that it has left.
constexpr Microseconds kDuePerTask = Milliseconds(500);

// Own tasks that may wait in a target's queue. One task bridges the time from
// an end to the arrival of the next start; the second covers two ends at once.
constexpr uint32_t kQueuedAhead = 2;

// Jobs with at most this many tasks left pass the queued tasks of others.
constexpr uint32_t kFewTasks = 8;

// Run time that is assumed before the first run.
constexpr float kFirstRunUs = 300e3F;

}  // namespace

MonoTime StartDue(MonoTime submitted, uint32_t tasks_left) {
  return submitted + tasks_left * kDuePerTask;
}

Placer::Placer(uint64_t seed) : m_random(seed) {}

void Placer::SetTargets(MonoTime /*now*/,
                        std::vector<PlacementTarget> targets) {
  std::map<ProcessId, State> known;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    known[m_targets[i].m_agent] = m_states[i];
  }
  m_targets = std::move(targets);
  m_states.assign(m_targets.size(), State());
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const auto found = known.find(m_targets[i].m_agent);
    if (found != known.end()) {
      m_states[i] = found->second;
    }
  }
}

float Placer::RunOf(const State& state) const {
  if (state.m_runs > 0) {
    return state.m_run_us;
  }
  return m_runs > 0 ? std::exp(m_log_run) : kFirstRunUs;
}

float Placer::ExpectedEnd(TargetIndex target,
                          const PlacementRequest& request) const {
  const State& state = m_states[target];
  const auto slots = static_cast<float>(m_targets[target].m_slots);
  const float run = RunOf(state);
  const auto tasks = static_cast<float>(state.m_others + state.m_outstanding);
  float ahead = std::max(0.0F, tasks + 1 - slots);
  if (request.m_tasks_left <= kFewTasks) {
    ahead = std::min(ahead, 1.0F);
  }
  const auto link = static_cast<float>(m_targets[target].m_link_delay.count());
  return link + run * (1 + ahead / slots);
}

bool Placer::HasRoom(TargetIndex target,
                     const PlacementRequest& request) const {
  const State& state = m_states[target];
  const uint32_t slots = m_targets[target].m_slots;
  if (state.m_others + state.m_outstanding < slots) {
    return true;
  }
  const uint32_t extra = request.m_tasks_left <= kFewTasks ? kFewTasks : 0;
  return state.m_own_queued < kQueuedAhead + extra;
}

std::optional<TargetIndex> Placer::Choose(MonoTime /*now*/,
                                          const PlacementRequest& request) {
  std::optional<TargetIndex> best;
  float best_end = 0;
  float least_run = 0;
  float rate = 0;
  const auto count = static_cast<TargetIndex>(m_targets.size());
  for (TargetIndex i = 0; i < count; ++i) {
    if (request.m_allowed != nullptr && !(*request.m_allowed)[i]) {
      continue;
    }
    const float run = RunOf(m_states[i]);
    least_run = least_run == 0 ? run : std::min(least_run, run);
    rate += static_cast<float>(m_targets[i].m_slots) / run;
    if (!HasRoom(i, request)) {
      continue;
    }
    const float end = ExpectedEnd(i, request);
    if (!best || end < best_end) {
      best = i;
      best_end = end;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  // A slow target is worth its run time only while the tasks left keep the
  // faster ones busy for longer.
  const float hold =
      least_run * 1.25F + 2 * static_cast<float>(request.m_tasks_left) / rate;
  if (RunOf(m_states[*best]) > hold) {
    return std::nullopt;
  }
  return best;
}

void Placer::OnSent(MonoTime /*now*/, TargetIndex target) {
  ++m_states[target].m_outstanding;
  ++m_states[target].m_own_queued;
}

void Placer::Learn(State& state, Microseconds run_time) {
  const auto us = static_cast<float>(std::max<int64_t>(run_time.count(), 1));
  const float log_run = std::log(us);
  ++state.m_runs;
  ++m_runs;
  state.m_log_run +=
      std::max(kLeastWeight, 1.0F / static_cast<float>(state.m_runs)) *
      (log_run - state.m_log_run);
  m_log_run += std::max(kLeastWeight, 1.0F / static_cast<float>(m_runs)) *
               (log_run - m_log_run);
  state.m_run_us = std::exp(state.m_log_run);
}

void Placer::OnDone(MonoTime now,
                    TargetIndex target,
                    Microseconds run_time,
                    bool /*ok*/) {
  Learn(m_states[target], run_time);
  OnNotStarted(now, target);
}

void Placer::OnNotStarted(MonoTime /*now*/, TargetIndex target) {
  State& state = m_states[target];
  state.m_outstanding -= state.m_outstanding > 0 ? 1 : 0;
  state.m_own_queued = std::min(state.m_own_queued, state.m_outstanding);
}

void Placer::OnLoad(MonoTime /*now*/,
                    TargetIndex target,
                    const LoadReport& load) {
  State& state = m_states[target];
  const uint32_t tasks = load.m_running + load.m_queued;
  state.m_others =
      tasks > state.m_outstanding ? tasks - state.m_outstanding : 0;
  if (load.m_queued_of_owner) {
    state.m_own_queued = *load.m_queued_of_owner;
  } else if (load.m_queued == 0) {
    state.m_own_queued = 0;
  }
}

}  // namespace comfreyshift
