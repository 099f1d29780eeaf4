#include "placement/placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace comfreyshift {
namespace {

// A job's due time moves back by this for each unfinished task. 500 ms gave a
// median that was 1% worse at 80% load.
constexpr Microseconds kDuePerTask = std::chrono::seconds(2);

// Own tasks that may wait in a target's queue. One task bridges the time from
// an end to the arrival of the next start; the second covers two ends at once.
constexpr uint32_t kQueuedAhead = 2;

// Jobs with at most this many unsent tasks pass the queued tasks of larger jobs
// at the agent. They may queue more of their own, and count only these as
// ahead. Limits of 440 and 8 were worse, at p99 and at the median.
constexpr uint32_t kFewTasks = 64;
constexpr uint32_t kFewTasksQueuedAhead = 4;

// A target is too slow for a task when it takes this many times the run time at
// the fastest target, and longer than this share of the job's unsent tasks
// keeps all targets busy.
constexpr float kSlowFactor = 1.5F;
constexpr float kBacklogShare = 0.5F;

// A load report shows a start that arrived before it; beyond the round trip,
// this allows for the time that the two processes take.
constexpr Microseconds kReportDelay = Milliseconds(1);

// With more targets than this, Choose looks at a random sample of this size.
constexpr TargetIndex kMaxExamined = 32;

// With fewer allowed targets in the sample, Choose goes over all targets.
constexpr uint32_t kEnoughExamined = 4;

// At most this share of the targets is ejected: with more failing, the cause
// is likely not the targets.
constexpr uint32_t kEjectOneIn = 3;

// Above this share of failures over all targets none is ejected.
constexpr float kCommonFailures = 0.5F;
constexpr float kCommonFailuresWeight = 1.0F / 64;

// Refused starts make a target wait this long, doubled for each refusal in a
// row. The limit is below the time that a closed zone takes to become known.
constexpr Microseconds kFirstAvoidance = Milliseconds(50);
constexpr uint32_t kMaxAvoidDoublings = 5;

}  // namespace

bool CanRun(const PlacementTarget& target, const PlacementRequest& request) {
  return target.m_memory_mb >= request.m_memory_mb &&
         (!request.m_needs_accelerator || target.m_accelerators > 0);
}

MonoTime StartDue(MonoTime submitted, uint32_t tasks_unfinished) {
  return submitted + tasks_unfinished * kDuePerTask;
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
  const uint32_t tasks = state.m_others + state.m_outstanding;
  float ahead =
      tasks < state.m_slots ? 0 : static_cast<float>(tasks + 1 - state.m_slots);
  if (request.m_tasks_left <= kFewTasks) {
    ahead = std::min(ahead, 1.0F + static_cast<float>(state.m_own_queued));
  }
  const RunTime wait =
      m_model.mean_run() * ahead / static_cast<float>(state.m_slots);
  return state.m_link_delay + state.m_factor.m_factor * (run + wait);
}

bool Placer::HasRoom(MonoTime now,
                     const State& state,
                     const PlacementRequest& request) const {
  if (now < state.m_avoid_until) {
    return false;
  }
  const uint32_t limit =
      state.m_health.Limit(now, std::numeric_limits<uint32_t>::max());
  if (state.m_outstanding >= limit) {
    return false;
  }
  if (state.m_others + state.m_outstanding < state.m_slots) {
    return true;
  }
  const uint32_t queued =
      request.m_tasks_left <= kFewTasks ? kFewTasksQueuedAhead : kQueuedAhead;
  return state.m_own_queued < queued;
}

// Adds one target to the choice.
void Placer::Examine(MonoTime now,
                     TargetIndex index,
                     const PlacementRequest& request,
                     Choice& choice) const {
  const State& state = m_states[index];
  if (!Fits(index, request) || state.m_health.ejected(now)) {
    return;
  }
  const float factor = state.m_factor.m_factor;
  ++choice.m_examined;
  choice.m_least_factor = std::min(choice.m_least_factor, factor);
  choice.m_rate += static_cast<float>(state.m_slots) / factor;
  if (!HasRoom(now, state, request)) {
    return;
  }
  const RunTime end = ExpectedEnd(state, request, choice.m_run);
  if (end < choice.m_end) {
    choice.m_end = end;
    choice.m_best = index;
  }
}

bool Placer::Fits(TargetIndex index, const PlacementRequest& request) const {
  if (request.m_allowed != nullptr && !(*request.m_allowed)[index]) {
    return false;
  }
  // Most tasks need nothing special; then m_targets is not read at all.
  const bool needs = request.m_memory_mb > 0 || request.m_needs_accelerator;
  return !needs || CanRun(m_targets[index], request);
}

// Examines all targets, or a sample of them when there are many.
void Placer::ExamineTargets(MonoTime now,
                            const PlacementRequest& request,
                            Choice& choice) {
  const auto count = static_cast<TargetIndex>(m_targets.size());
  if (count == 0) {
    return;
  }
  auto index = static_cast<TargetIndex>(m_random() % count);
  if (count <= 2 * kMaxExamined) {
    for (TargetIndex step = 0; step < count; ++step) {
      Examine(now, (index + step) % count, request, choice);
    }
    return;
  }
  for (TargetIndex step = 0; step < kMaxExamined; ++step) {
    index = static_cast<TargetIndex>(m_random() % count);
    Examine(now, index, request, choice);
  }
  // Rules that leave few targets open make the sample miss them. When the
  // sample found enough and all were full, the others are likely full too.
  if (choice.m_examined >= kEnoughExamined) {
    return;
  }
  for (TargetIndex step = 0; step < count && !choice.m_best; ++step) {
    Examine(now, (index + step) % count, request, choice);
  }
}

// When all allowed targets are ejected, one of them is still better than none.
std::optional<TargetIndex> Placer::ChooseEjected(
    const PlacementRequest& request) const {
  for (TargetIndex i = 0; i < m_targets.size(); ++i) {
    if (Fits(i, request) && m_states[i].m_outstanding == 0) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<TargetIndex> Placer::Choose(MonoTime now,
                                          const PlacementRequest& request) {
  Choice choice;
  choice.m_run = m_model.ExpectedRun(request.m_declared_run_time);
  ExamineTargets(now, request, choice);
  if (choice.m_examined == 0) {
    return ChooseEjected(request);
  }
  if (!choice.m_best) {
    return std::nullopt;
  }
  const RunTime backlog = static_cast<float>(request.m_tasks_left) *
                          m_model.mean_run() / choice.m_rate;
  const RunTime longest = kSlowFactor * choice.m_run * choice.m_least_factor +
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
  state.m_in_flight_until = now + 2 * state.m_link_delay + kReportDelay;
}

void Placer::OnDone(MonoTime now,
                    TargetIndex target,
                    Microseconds run_time,
                    bool ok,
                    Milliseconds declared) {
  State& state = m_states[target];
  if (ok) {
    // A failure tells nothing of the speed: it is often over at once.
    m_model.Learn(state.m_factor, run_time, declared);
  }
  m_failures += kCommonFailuresWeight * ((ok ? 0.0F : 1.0F) - m_failures);
  if (state.m_health.OnAnswer(ok, state.m_slots) && MayEject(now)) {
    state.m_health.Eject(now);
  }
  state.m_refusals = 0;
  End(state);
}

bool Placer::MayEject(MonoTime now) const {
  const auto ejected = std::count_if(
      m_states.begin(), m_states.end(),
      [now](const State& state) { return state.m_health.ejected(now); });
  return m_failures < kCommonFailures &&
         kEjectOneIn * (static_cast<size_t>(ejected) + 1) <= m_states.size();
}

void Placer::OnNotStarted(MonoTime now, TargetIndex target) {
  State& state = m_states[target];
  const uint32_t doublings = std::min(state.m_refusals, kMaxAvoidDoublings);
  state.m_avoid_until = now + kFirstAvoidance * (1U << doublings);
  ++state.m_refusals;
  End(state);
}

void Placer::End(State& state) {
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
  state.m_others = tasks > own ? tasks - own : 0;
  if (load.m_queued_of_owner) {
    state.m_own_queued = *load.m_queued_of_owner + in_flight;
  } else if (load.m_queued == 0) {
    state.m_own_queued = in_flight;
  }
}

}  // namespace comfreyshift
