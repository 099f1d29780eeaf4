#ifndef PLACEMENT_PLACER_H_
#define PLACEMENT_PLACER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "placement/run_time_estimator.h"
#include "placement/target_health.h"

namespace comfreyshift {

// Index of a target in the list last passed to Placer::SetTargets.
using TargetIndex = uint32_t;

// Load of one target as last reported by its agent, in tasks.
struct LoadReport {
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  uint32_t m_slots = 0;
  // How many of m_queued belong to the owner that receives the reply. Only set
  // in the reply to a start.
  std::optional<uint32_t> m_queued_of_owner;
};

// Properties of a target that placement decisions use.
struct PlacementTarget {
  std::string m_name;
  ProcessId m_agent;
  std::string m_zone;
  uint32_t m_slots = 1;
  uint32_t m_accelerators = 0;
  uint64_t m_memory_mb = 0;
  // One-way delay to the agent; 0 when unknown.
  Microseconds m_link_delay{0};
};

// Properties of a task that placement decisions use.
struct PlacementRequest {
  // One flag for each target: false when rules, a closed zone or the rule about
  // the owner's own rack exclude it. All are allowed when null. Must outlive
  // the call.
  const std::vector<bool>* m_allowed = nullptr;
  std::string m_client;
  std::string m_request;
  // Run time that the caller declared, often far from the actual one; 0 when
  // not declared.
  Milliseconds m_declared_run_time{0};
  uint64_t m_memory_mb = 0;
  bool m_needs_accelerator = false;
  // Tasks of the job that are not sent yet, including this one; at least 1.
  uint32_t m_tasks_left = 1;
};

// Returns whether the target has the memory and the accelerator that the task
// needs. Ignores m_allowed and the load.
bool CanRun(const PlacementTarget& target, const PlacementRequest& request);

// Returns the due time by which the owner and the agent's StartQueue order
// tasks. Jobs with few unfinished tasks go first, and a job that waits moves
// ahead of newer ones over time.
MonoTime StartDueTime(MonoTime submitted, uint32_t tasks_unfinished);

// Chooses targets for the tasks of one owner. Its load information comes from
// replies to the owner and from members' acks, and is always slightly outdated.
class Placer {
 public:
  explicit Placer(uint64_t seed);

  // Replaces the targets. A target whose agent process is unchanged keeps its
  // counts and estimates.
  void SetTargets(MonoTime now, std::vector<PlacementTarget> targets);

  // Returns the target for one task, or nothing when the task must wait at the
  // owner for now. Does not count the task as sent; call OnSent for that.
  std::optional<TargetIndex> Choose(MonoTime now,
                                    const PlacementRequest& request);

  // Returns the expected run time on a target of mean speed. The declared run
  // time is used as far as earlier declarations predicted the actual run time.
  // Used to order the tasks of a job.
  RunTime ExpectedRun(Milliseconds declared) const {
    return m_estimator.ExpectedRun(declared);
  }

  // Counts a task as sent to `target`.
  void OnSent(MonoTime now, TargetIndex target);

  // Records the end of a sent task. `run_time` is the time that it spent at the
  // target, `ok` whether the target reported success, and `declared` the
  // declared run time, 0 when not declared.
  void OnDone(MonoTime now,
              TargetIndex target,
              Microseconds run_time,
              bool ok,
              Milliseconds declared = Milliseconds(0));

  // Records that a sent task was refused before its start. The target gets no
  // work for a backoff time that doubles with consecutive refusals.
  void OnNotStarted(MonoTime now, TargetIndex target);

  // Applies a load report of `target`.
  void OnLoad(MonoTime now, TargetIndex target, const LoadReport& load);

  // Whether `target` gets no work because it failed too often.
  bool ejected(MonoTime now, TargetIndex target) const {
    return m_states[target].m_health.ejected(now);
  }

  // Memory in bytes for each target besides its PlacementTarget.
  static constexpr size_t StateBytes() { return sizeof(State); }

  const std::vector<PlacementTarget>& targets() const { return m_targets; }

  // Tasks sent to `target` that have not ended.
  uint32_t outstanding(TargetIndex target) const {
    return m_states[target].m_outstanding;
  }

 private:
  // Load, speed and health of one target.
  struct State {
    uint32_t m_slots = 1;
    uint32_t m_outstanding = 0;
    // Tasks of other owners, from the last load report.
    uint32_t m_other_owners_tasks = 0;
    // Upper bound on own tasks in the target's queue: those in the last reply
    // and all sent since.
    uint32_t m_own_queued = 0;
    // Own tasks sent so recently that a load report may not include them yet,
    // valid until m_in_flight_until.
    uint32_t m_in_flight = 0;
    // Refused starts since the last finished task.
    uint32_t m_consecutive_refusals = 0;
    MonoTime m_in_flight_until;
    MonoTime m_backoff_until;
    Microseconds m_link_delay{0};
    TargetSlowdown m_factor;
    TargetHealth m_health;
  };

  // Intermediate result of Choose.
  struct Choice {
    std::optional<TargetIndex> m_best;
    // Eligible targets considered so far, with or without free capacity.
    uint32_t m_eligible = 0;
    // Expected run time of the task at factor 1.
    RunTime m_run{0};
    RunTime m_end = RunTime::max();
    float m_min_factor = std::numeric_limits<float>::infinity();
    // Sum of slots divided by factor over all eligible targets considered.
    float m_total_speed = 0;
  };

  bool IsEligible(TargetIndex index, const PlacementRequest& request) const;
  RunTime ExpectedEnd(const State& state,
                      const PlacementRequest& request,
                      RunTime run) const;
  bool HasCapacity(MonoTime now,
                   const State& state,
                   const PlacementRequest& request) const;
  void ConsiderTarget(MonoTime now,
                      TargetIndex index,
                      const PlacementRequest& request,
                      Choice& choice) const;
  void ConsiderTargets(MonoTime now,
                       const PlacementRequest& request,
                       Choice& choice);
  std::optional<TargetIndex> ChooseEjected(
      const PlacementRequest& request) const;
  bool MayEject(MonoTime now) const;
  static void RemoveOutstanding(State& state);

  std::vector<PlacementTarget> m_targets;
  std::vector<State> m_states;
  RunTimeEstimator m_estimator;
  // Moving average over about the last 64 results of all targets, 1 for each
  // failure.
  float m_failure_rate = 0;
  std::mt19937_64 m_random;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_PLACER_H_
