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

// The runs that an agent has accepted and not finished, the capacity reserved
// for them on its runner, and which of them to start or stop next.
class RunTable {
 public:
  enum class State : uint8_t {
    // Waits for capacity.
    kWaiting,
    // The start was requested; there is no response yet.
    kStarting,
    kRunning,
    // A stop is to be requested, or was requested and not yet acknowledged.
    kStopping,
    // The runner has acknowledged the stop; the next list shows the end.
    kStopped,
  };

  struct Run {
    ProcessId m_entry;
    // The entry's message. The payload is dropped once the run has started, and
    // m_queue_until becomes earlier when the entry no longer counts as alive.
    StartRun m_start;
    State m_state = State::kWaiting;
    // When the newest request to start it was sent, how many were sent before,
    // and how many wait for a response.
    MonoTime m_started_at;
    uint32_t m_start_retries = 0;
    uint32_t m_starts_in_flight = 0;
    // When the next request to start it is due, MonoTime::max() for never.
    MonoTime m_retry_at = MonoTime::max();
    // No request to start it is sent after this time.
    MonoTime m_retry_until;
    // Fencing token of the start request.
    uint64_t m_fencing_token = 0;
    // Lists of polls sent before this time may not show the state yet.
    MonoTime m_state_since;
    MonoTime m_next_stop_at;
    // When the runner must have acknowledged the stop: its entry may start the
    // task elsewhere some time later. MonoTime::max() while the entry waits for
    // the report.
    MonoTime m_stop_due_at = MonoTime::max();
    bool m_is_reported = false;
    // Run time from which its progress counts as evidence of a slow runner
    // again.
    Microseconds m_next_progress_sample{0};

    void SetState(State state, MonoTime now);
    // Marks the run to be stopped, unless it is still waiting.
    void RequestStop(MonoTime now);
    // Like RequestStop, for a run whose entry does not wait for its report. The
    // runner must acknowledge the stop by `due_at`.
    void Abandon(MonoTime due_at, MonoTime now);
    bool HoldsReservation() const { return m_state != State::kWaiting; }
  };

  // Iterators stay valid until their own run is erased.
  using Iterator = std::map<RunKey, Run>::iterator;

  // Adds a waiting run. If the run is in the table already, it is left
  // unchanged and the second value is false.
  std::pair<Iterator, bool> Add(const ProcessId& entry,
                                const StartRun& start,
                                MonoTime now);
  void Erase(Iterator found) { m_runs.erase(found); }
  Iterator Find(const RunKey& key) { return m_runs.find(key); }
  Iterator begin() { return m_runs.begin(); }
  Iterator end() { return m_runs.end(); }
  bool Contains(const RunKey& key) const { return m_runs.contains(key); }
  bool is_empty() const { return m_runs.empty(); }
  size_t size() const { return m_runs.size(); }
  // Returns the number of runs whose start has been requested and not answered.
  size_t CountStarting() const;

  // Returns what is left of `capacity` after all runs, including those that
  // wait.
  Resources CapacityAfterAllRuns(Resources capacity) const;
  // Returns what is left of `capacity` after the reservations.
  Resources UnreservedCapacity(Resources capacity) const;
  // Returns the number of runs with a reservation.
  size_t CountReservations() const;
  // Returns the waiting runs, the most urgent first.
  std::vector<Iterator> WaitingByPriority();
  // Whether another run of the same task may be running here.
  bool HasOtherRun(Iterator found) const;
  // Whether a run has a reservation and has not been reported as ended.
  bool NeedsLease() const;
  // Whether the runner should have acknowledged a stop by now and has not.
  bool IsStopOverdue(MonoTime now) const;
  // Returns the runs for which a stop is to be requested now; the next request
  // for each is due at `next_stop_at`.
  std::vector<RunKey> TakeDueStops(MonoTime now, MonoTime next_stop_at);
  // Returns when the next run is abandoned, has waited for too long or is to be
  // stopped again, MonoTime::max() if never.
  MonoTime NextDeadline(MonoTime now) const;

 private:
  std::map<RunKey, Run> m_runs;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUN_TABLE_H_
