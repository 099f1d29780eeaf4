#ifndef PLACEMENT_PLACER_H_
#define PLACEMENT_PLACER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "placement/run_model.h"
#include "placement/target_health.h"

namespace comfreyshift {

// Index of a target in the list last given to Placer::SetTargets.
using TargetIndex = uint32_t;

// Load of one target, as the agent beside it last reported it.
struct LoadReport {
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  uint32_t m_slots = 0;
  // Of m_queued, the tasks of the owner that the reply goes to. Known only on
  // the reply to a start.
  std::optional<uint32_t> m_queued_of_owner;
};

// What a placement decision knows of a target.
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

// What a placement decision knows of a task.
struct PlacementRequest {
  // Targets that rules, open zones and the owner's own rack leave open, one
  // flag for each target. Must outlive the call.
  const std::vector<bool>* m_allowed = nullptr;
  std::string m_client;
  std::string m_request;
  // What the caller declared; often far off. 0 when not declared.
  Milliseconds m_declared_run_time{0};
  uint64_t m_memory_mb = 0;
  bool m_needs_accelerator = false;
  // Tasks of the job that are not sent yet, with this one; at least 1.
  uint32_t m_tasks_left = 1;
};

// Returns whether the target has the memory and the accelerator that the task
// needs.
bool CanRun(const PlacementTarget& target, const PlacementRequest& request);

// Returns the due time that orders a task at its owner and in its agent's
// StartQueue: jobs with few unfinished tasks go first, and a waiting job
// gains on newer ones.
MonoTime StartDue(MonoTime submitted, uint32_t tasks_unfinished);

// Chooses targets for the tasks of one owner, on the late information that the
// owner's own replies and the members' acks bring.
class Placer {
 public:
  explicit Placer(uint64_t seed);

  // Replaces the targets. Estimates of targets whose agent stays are kept.
  void SetTargets(MonoTime now, std::vector<PlacementTarget> targets);

  // Returns the target for one task, or nothing when the task must wait at the
  // owner for now. The task counts as sent only after OnSent.
  std::optional<TargetIndex> Choose(MonoTime now,
                                    const PlacementRequest& request);

  // Run time of a task on a target of mean speed: from the declared run time as
  // far as declarations were informative. Orders the tasks of a job.
  RunTime ExpectedRun(Milliseconds declared) const {
    return m_model.ExpectedRun(declared);
  }

  // Counts a task as sent to `target`.
  void OnSent(MonoTime now, TargetIndex target);

  // Ends a sent task. `run_time` is the time at the target, `ok` tells whether
  // the target answered with success, and `declared` is the declared run time;
  // 0 when not declared.
  void OnDone(MonoTime now,
              TargetIndex target,
              Microseconds run_time,
              bool ok,
              Milliseconds declared = Milliseconds(0));

  // Ends a sent task that was refused before its start.
  void OnNotStarted(MonoTime now, TargetIndex target);

  // Takes a load report of `target`.
  void OnLoad(MonoTime now, TargetIndex target, const LoadReport& load);

  // True while `target` gets no work because it failed too often.
  bool ejected(MonoTime now, TargetIndex target) const {
    return m_states[target].m_health.ejected(now);
  }

  // Bytes that the placer holds for each target beside PlacementTarget.
  static constexpr size_t StateBytes() { return sizeof(State); }

  const std::vector<PlacementTarget>& targets() const { return m_targets; }

  // Tasks sent to `target` that have not ended.
  uint32_t outstanding(TargetIndex target) const {
    return m_states[target].m_outstanding;
  }

 private:
  // What is known of one target's load and speed.
  struct State {
    uint32_t m_slots = 1;
    uint32_t m_outstanding = 0;
    // From the last load report: tasks of other owners.
    uint32_t m_others = 0;
    // Own tasks in the target's queue: from the last reply, and all sent since.
    uint32_t m_own_queued = 0;
    // Own tasks sent so lately that a load report cannot show them yet.
    uint32_t m_in_flight = 0;
    // Refused starts in a row.
    uint32_t m_refusals = 0;
    MonoTime m_in_flight_until;
    MonoTime m_avoid_until;
    Microseconds m_link_delay{0};
    RunFactor m_factor;
    TargetHealth m_health;
  };

  // What Choose found so far.
  struct Choice {
    std::optional<TargetIndex> m_best;
    uint32_t m_examined = 0;
    // Expected run time of the task at factor 1.
    RunTime m_run{0};
    RunTime m_end = RunTime::max();
    float m_least_factor = std::numeric_limits<float>::infinity();
    // Slots over factor, of all targets examined.
    float m_rate = 0;
  };

  bool Fits(TargetIndex index, const PlacementRequest& request) const;
  RunTime ExpectedEnd(const State& state,
                      const PlacementRequest& request,
                      RunTime run) const;
  bool HasRoom(MonoTime now,
               const State& state,
               const PlacementRequest& request) const;
  void Examine(MonoTime now,
               TargetIndex index,
               const PlacementRequest& request,
               Choice& choice) const;
  void ExamineTargets(MonoTime now,
                      const PlacementRequest& request,
                      Choice& choice);
  std::optional<TargetIndex> ChooseEjected(
      const PlacementRequest& request) const;
  bool MayEject(MonoTime now) const;
  static void End(State& state);

  std::vector<PlacementTarget> m_targets;
  std::vector<State> m_states;
  RunModel m_model;
  // Mean of failures over about the last 64 answers of all targets.
  float m_failures = 0;
  std::mt19937_64 m_random;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_PLACER_H_
