#include "placement/placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace comfreyshift {
namespace {

// Each unfinished task of a job delays its due time by this. 500 ms gave a 1%
// worse median at 80% load.
constexpr Microseconds kDueDelayPerTask = std::chrono::seconds(2);

// Limit on own tasks in a target's queue. One task keeps the slot busy from the
// end of a task until the next start arrives; the second covers two tasks that
// end at once.
constexpr uint32_t kMaxOwnQueued = 2;

// Jobs with at most this many unsent tasks overtake the queued tasks of larger
// jobs at the agent. They may queue more tasks, and their expected wait counts
// only the owner's own queued tasks. Limits of 440 tasks and of 8 queued tasks
// were worse, at p99 and at the median.
constexpr uint32_t kMaxSmallJobTasks = 64;
constexpr uint32_t kMaxOwnQueuedOfSmallJob = 4;

// A target is too slow for a task when its run time exceeds kMaxSlowdown times
// that of the fastest target plus kBacklogShare of the time that the job's
// unsent tasks would take on all targets together.
constexpr float kMaxSlowdown = 1.5F;
constexpr float kBacklogShare = 0.5F;

// A load report includes a start only when the start arrived before the report
// was made. This is the processing time of both processes, in addition to the
// round trip.
constexpr Microseconds kReportProcessingTime = Milliseconds(1);

// With more than twice as many targets, Choose considers a random sample of
// this size.
constexpr TargetIndex kSampleSize = 32;

// With fewer eligible targets in the sample, Choose considers all targets.
constexpr uint32_t kMinEligibleInSample = 4;

// At most one in this many targets is ejected. When more of them fail, the
// targets are probably not the cause.
constexpr uint32_t kTargetsPerEjected = 3;

// No target is ejected while the failure rate over all targets is this or
// higher.
constexpr float kMaxFailureRateForEjection = 0.5F;
constexpr float kFailureRateWeight = 1.0F / 64;

// Backoff of a target after a refused start, doubled for each consecutive
// refusal. The longest backoff is shorter than the time until owners learn that
// a zone was closed.
constexpr Microseconds kInitialBackoff = Milliseconds(50);
constexpr uint32_t kMaxBackoffDoublings = 5;

}  // namespace

bool CanRun(const PlacementTarget& target, const PlacementRequest& request) {
  return target.m_memory_mb >= request.m_memory_mb &&
         (!request.m_needs_accelerator || target.m_accelerators > 0);
}

MonoTime StartDueTime(MonoTime submitted, uint32_t tasks_unfinished) {
  return submitted + tasks_unfinished * kDueDelayPerTask;
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
    m_states[i].m_slots = std::max(m_targets[i].m_slots, 1U);
    m_states[i].m_link_delay = m_targets[i].m_link_delay;
  }
}

RunTime Placer::ExpectedEnd(const State& state,
                            const PlacementRequest& request,
                            RunTime run) const {
  const uint32_t tasks = state.m_other_owners_tasks + state.m_outstanding;
  float ahead =
      tasks < state.m_slots ? 0 : static_cast<float>(tasks + 1 - state.m_slots);
  if (request.m_tasks_left <= kMaxSmallJobTasks) {
    ahead = std::min(ahead, 1.0F + static_cast<float>(state.m_own_queued));
  }
  const RunTime wait =
      m_estimator.mean_run() * ahead / static_cast<float>(state.m_slots);
  return state.m_link_delay + state.m_factor.m_factor * (run + wait);
}

bool Placer::HasCapacity(MonoTime now,
                         const State& state,
                         const PlacementRequest& request) const {
  if (now < state.m_backoff_until) {
    return false;
  }
  const uint32_t limit =
      state.m_health.Limit(now, std::numeric_limits<uint32_t>::max());
  if (state.m_outstanding >= limit) {
    return false;
  }
  if (state.m_other_owners_tasks + state.m_outstanding < state.m_slots) {
    return true;
  }
  const uint32_t queued = request.m_tasks_left <= kMaxSmallJobTasks
                              ? kMaxOwnQueuedOfSmallJob
                              : kMaxOwnQueued;
  return state.m_own_queued < queued;
}

// Updates `choice` with one target.
void Placer::ConsiderTarget(MonoTime now,
                            TargetIndex index,
                            const PlacementRequest& request,
                            Choice& choice) const {
  const State& state = m_states[index];
  if (!IsEligible(index, request) || state.m_health.ejected(now)) {
    return;
  }
  const float factor = state.m_factor.m_factor;
  ++choice.m_eligible;
  choice.m_min_factor = std::min(choice.m_min_factor, factor);
  choice.m_total_speed += static_cast<float>(state.m_slots) / factor;
  if (!HasCapacity(now, state, request)) {
    return;
  }
  const RunTime end = ExpectedEnd(state, request, choice.m_run);
  if (end < choice.m_end) {
    choice.m_end = end;
    choice.m_best = index;
  }
}

bool Placer::IsEligible(TargetIndex index,
                        const PlacementRequest& request) const {
  if (request.m_allowed != nullptr && !(*request.m_allowed)[index]) {
    return false;
  }
  // Most tasks have no requirements; m_targets is not accessed for them.
  const bool needs = request.m_memory_mb > 0 || request.m_needs_accelerator;
  return !needs || CanRun(m_targets[index], request);
}

// Considers all targets, or a random sample when there are many.
void Placer::ConsiderTargets(MonoTime now,
                             const PlacementRequest& request,
                             Choice& choice) {
  const auto count = static_cast<TargetIndex>(m_targets.size());
  if (count == 0) {
    return;
  }
  auto index = static_cast<TargetIndex>(m_random() % count);
  if (count <= 2 * kSampleSize) {
    for (TargetIndex step = 0; step < count; ++step) {
      ConsiderTarget(now, (index + step) % count, request, choice);
    }
    return;
  }
  for (TargetIndex step = 0; step < kSampleSize; ++step) {
    index = static_cast<TargetIndex>(m_random() % count);
    ConsiderTarget(now, index, request, choice);
  }
  // A sample can miss all allowed targets when rules allow only few. When it
  // contains enough of them and all are full, the others are likely full too.
  if (choice.m_eligible >= kMinEligibleInSample) {
    return;
  }
  for (TargetIndex step = 0; step < count && !choice.m_best; ++step) {
    ConsiderTarget(now, (index + step) % count, request, choice);
  }
}

// Fallback for when every eligible target is ejected: using an idle one is
// better than not running the task.
std::optional<TargetIndex> Placer::ChooseEjected(
    const PlacementRequest& request) const {
  for (TargetIndex i = 0; i < m_targets.size(); ++i) {
    if (IsEligible(i, request) && m_states[i].m_outstanding == 0) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<TargetIndex> Placer::Choose(MonoTime now,
                                          const PlacementRequest& request) {
  Choice choice;
  choice.m_run = m_estimator.ExpectedRun(request.m_declared_run_time);
  ConsiderTargets(now, request, choice);
  if (choice.m_eligible == 0) {
    return ChooseEjected(request);
  }
  if (!choice.m_best) {
    return std::nullopt;
  }
  const RunTime backlog = static_cast<float>(request.m_tasks_left) *
                          m_estimator.mean_run() / choice.m_total_speed;
  const RunTime longest = kMaxSlowdown * choice.m_run * choice.m_min_factor +
                          kBacklogShare * backlog;
  const State& best = m_states[*choice.m_best];
  if (choice.m_run * best.m_factor.m_factor > longest) {
    return std::nullopt;
  }
  return choice.m_best;
}

void Placer::OnSent(MonoTime now, TargetIndex target) {
  State& state = m_states[target];
  state.m_health.OnSent(now);
  ++state.m_outstanding;
  ++state.m_own_queued;
  if (now >= state.m_in_flight_until) {
    state.m_in_flight = 0;
  }
  ++state.m_in_flight;
  state.m_in_flight_until =
      now + 2 * state.m_link_delay + kReportProcessingTime;
}

void Placer::OnDone(MonoTime now,
                    TargetIndex target,
                    Microseconds run_time,
                    bool ok,
                    Milliseconds declared) {
  State& state = m_states[target];
  if (ok) {
    // Failures are not used to learn the speed, because they often end
    // immediately.
    m_estimator.Learn(state.m_factor, run_time, declared);
  }
  m_failure_rate += kFailureRateWeight * ((ok ? 0.0F : 1.0F) - m_failure_rate);
  if (state.m_health.OnResult(ok, state.m_slots) && MayEject(now)) {
    state.m_health.Eject(now);
  }
  state.m_consecutive_refusals = 0;
  RemoveOutstanding(state);
}

bool Placer::MayEject(MonoTime now) const {
  const auto ejected = std::count_if(
      m_states.begin(), m_states.end(),
      [now](const State& state) { return state.m_health.ejected(now); });
  return m_failure_rate < kMaxFailureRateForEjection &&
         kTargetsPerEjected * (static_cast<size_t>(ejected) + 1) <=
             m_states.size();
}

void Placer::OnNotStarted(MonoTime now, TargetIndex target) {
  State& state = m_states[target];
  const uint32_t doublings =
      std::min(state.m_consecutive_refusals, kMaxBackoffDoublings);
  state.m_backoff_until = now + kInitialBackoff * (1U << doublings);
  ++state.m_consecutive_refusals;
  RemoveOutstanding(state);
}

void Placer::RemoveOutstanding(State& state) {
  state.m_outstanding -= state.m_outstanding > 0 ? 1 : 0;
  state.m_own_queued = std::min(state.m_own_queued, state.m_outstanding);
}

void Placer::OnLoad(MonoTime now, TargetIndex target, const LoadReport& load) {
  State& state = m_states[target];
  const uint32_t in_flight =
      now < state.m_in_flight_until
          ? std::min(state.m_in_flight, state.m_outstanding)
          : 0;
  const uint32_t own = state.m_outstanding - in_flight;
  const uint32_t tasks = load.m_running + load.m_queued;
  state.m_other_owners_tasks = tasks > own ? tasks - own : 0;
  if (load.m_queued_of_owner) {
    state.m_own_queued = *load.m_queued_of_owner + in_flight;
  } else if (load.m_queued == 0) {
    state.m_own_queued = in_flight;
  }
}

}  // namespace comfreyshift
