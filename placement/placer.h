#ifndef PLACEMENT_PLACER_H_
#define PLACEMENT_PLACER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// Index of a target in the list last given to Placer::SetTargets.
using TargetIndex = uint32_t;

// Load of one target, as the agent beside it last reported it.
struct LoadReport {
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  uint32_t m_slots = 0;
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
};

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

  // Counts a task as sent to `target`.
  void OnSent(MonoTime now, TargetIndex target);

  // Ends a sent task. `run_time` is the time at the target, and `ok` tells
  // whether the target answered with success.
  void OnDone(MonoTime now, TargetIndex target, Microseconds run_time, bool ok);

  // Ends a sent task that was refused before its start.
  void OnNotStarted(MonoTime now, TargetIndex target);

  // Takes a load report of `target`.
  void OnLoad(MonoTime now, TargetIndex target, const LoadReport& load);

  const std::vector<PlacementTarget>& targets() const { return m_targets; }

 private:
  std::vector<PlacementTarget> m_targets;
  std::vector<uint32_t> m_outstanding;
  std::mt19937_64 m_random;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_PLACER_H_
