#ifndef EXECUTOR_RUN_TABLE_H_
#define EXECUTOR_RUN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// The runs that an agent has taken and not finished, what room they hold on
// its runner, and which of them are to be started or stopped next.
class RunTable {
 public:
  enum class State : uint8_t {
    // Waits for room.
    kWaiting,
    // Ordered, without an answer yet.
    kStarting,
    kRunning,
    // Must be stopped, or is being stopped.
    kStopping,
    // The runner has acknowledged the stop; the next list shows the end.
    kStopped,
  };

  struct Run {
    ProcessId m_entry;
    // As the entry asked for it. The payload is moved to the order to start,
    // and m_queue_until becomes earlier once nobody claims the run.
    StartRun m_start;
    State m_state = State::kWaiting;
    // Time of the order to start.
    MonoTime m_started_at;
    // Lists read by looks sent before this time do not show the state.
    MonoTime m_state_since;
    MonoTime m_next_stop_at;
    bool m_is_reported = false;

    void SetState(State state, MonoTime now);
    // Has the run stopped if it may be at work.
    void RequestStop(MonoTime now);
    bool HoldsReservation() const { return m_state != State::kWaiting; }
  };

  // Iterators stay valid until their own run is erased.
  using Iterator = std::map<RunKey, Run>::iterator;

  // Adds a waiting run. Returns false beside it if it was there already; then
  // it is left as it is.
  std::pair<Iterator, bool> Add(const ProcessId& entry,
                                const StartRun& start,
                                MonoTime now);
  void Erase(Iterator found) { m_runs.erase(found); }
  Iterator Find(const RunKey& key) { return m_runs.find(key); }
  Iterator begin() { return m_runs.begin(); }
  Iterator end() { return m_runs.end(); }
  bool Contains(const RunKey& key) const { return m_runs.contains(key); }
  bool is_empty() const { return m_runs.empty(); }

  // What is left of `capacity` after all runs, those that wait included.
  Resources CapacityAfterAllRuns(Resources capacity) const;
  // What is left of `capacity` after the runs that hold room.
  Resources UnreservedCapacity(Resources capacity) const;
  // The number of runs that hold room.
  size_t CountReservations() const;
  // The most urgent first.
  std::vector<Iterator> WaitingByPriority();
  // Whether another run of the same task may be at work here.
  bool HasOtherRun(Iterator found) const;
  // Whether a run holds room that has not been reported as ended.
  bool NeedsLease() const;
  // Returns the runs for which a stop is to be ordered now; the next order for
  // each is due at `next_stop_at`.
  std::vector<RunKey> TakeDueStops(MonoTime now, MonoTime next_stop_at);
  // When a run is abandoned, has waited for too long or is to be stopped again,
  // far in the future if never.
  MonoTime NextDeadline(MonoTime now) const;

 private:
  std::map<RunKey, Run> m_runs;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUN_TABLE_H_
