#ifndef EMULATOR_RUNNER_EMULATION_H_
#define EMULATOR_RUNNER_EMULATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "executor/executor.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// What an emulated runner does with a task, looked up by its key.
struct TaskBehaviour {
  Resources m_demand;
  // Run time on a runner of usual speed.
  Microseconds m_work{0};
  // Every run of it fails.
  bool m_always_fails = false;
  // Where its data is; elsewhere it takes longer. Empty for anywhere.
  std::string m_data_rack = {};
};

// A runner as the platform's protocol describes it: it starts whatever it is
// told to, and keeps leases, fencing tokens, run numbers and lists of ends. It
// records each start that breaks a promise.
class RunnerEmulation {
 public:
  using Behaviours = std::map<TaskKey, TaskBehaviour>;

  RunnerEmulation(RunnerIncarnation incarnation,
                  Resources capacity,
                  double slowness,
                  const Behaviours& behaviours);

  StartResult Start(const StartRequest& request, MonoTime now);
  StopResult Stop(const StopRequest& request, MonoTime now);
  std::variant<RunLists, PollFailure> Poll(const PollRequest& request,
                                           MonoTime now);
  // Ends what is due by `now`.
  void Advance(MonoTime now);
  // When the next run ends, far in the future if none runs.
  MonoTime NextEnd() const;
  // Whether an end is listed that has not been acknowledged.
  bool has_news() const { return !m_ended.empty(); }
  // Everything it runs ends unseen, and it begins a new incarnation.
  void Restart(MonoTime now);

  // Tasks whose data is on another rack take `remote_factor` times as long.
  void SetRack(const std::string& rack, double remote_factor);
  void set_slowness(double slowness, MonoTime now);
  void set_fails_all(bool fails) { m_fails_all = fails; }
  void set_hangs(bool hangs, MonoTime now);

  // Keys of the tasks at work.
  std::vector<TaskKey> Working() const;
  Resources UsedRoom() const;
  // Ids of all jobs of which a task has started in any incarnation.
  const std::set<std::string>& StartedJobs() const { return m_started_jobs; }
  const Resources& capacity() const { return m_capacity; }
  const RunnerIncarnation& incarnation() const { return m_process_incarnation; }
  uint64_t starts() const { return m_starts; }
  double lost_core_seconds() const { return m_lost_core_seconds; }
  // Starts that brought it over its capacity.
  uint64_t overloads() const { return m_overloads; }

 private:
  struct Running {
    Resources m_demand;
    MonoTime m_started_at;
    // Work left at m_measured_at, at usual speed.
    Microseconds m_left{0};
    Microseconds m_work{0};
    MonoTime m_measured_at;
    bool m_fails = false;
  };
  using RunTable = std::map<RunKey, Running>;

  bool IsFenced(uint64_t token);
  bool IsAddressed(const RunnerIncarnation& target) const;
  void Renew(RunnerTime until, MonoTime now);
  RunnerTime Clock(MonoTime now) const;
  void Measure(MonoTime now);
  MonoTime EndOf(const Running& run) const;
  void End(const RunKey& key, RunOutcome outcome);

  RunnerIncarnation m_process_incarnation;
  Resources m_capacity;
  double m_slowness;
  const Behaviours& m_behaviours;
  std::string m_rack;
  double m_remote_factor = 1.0;
  bool m_fails_all = false;
  bool m_hangs = false;
  uint64_t m_token = 0;
  MonoTime m_born_at;
  RunnerTime m_lease_until{0};
  RunTable m_running;
  std::vector<EndedRun> m_ended;
  uint64_t m_last_end = 0;
  // Highest run number of each task that was stopped or has ended.
  std::map<TaskKey, uint64_t> m_closed_numbers;
  std::set<std::string> m_started_jobs;
  uint64_t m_starts = 0;
  uint64_t m_overloads = 0;
  double m_lost_core_seconds = 0.0;
};

}  // namespace comfreyshift

#endif  // EMULATOR_RUNNER_EMULATION_H_
