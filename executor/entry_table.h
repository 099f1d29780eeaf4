#ifndef EXECUTOR_ENTRY_TABLE_H_
#define EXECUTOR_ENTRY_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// Tracks the entries that an agent knows: until when each counts as alive, and
// when the next status for it is due.
class EntryTable {
 public:
  struct DueStatus {
    ProcessId m_entry;
    // See RunnerStatus.
    uint64_t m_sequence = 0;
  };

  // A connection alone does not show that its entry is alive. It ends the
  // liveness of earlier incarnations, because the new one knows nothing of
  // their runs.
  void OnConnected(const ProcessId& entry, MonoTime now);
  void OnDisconnected(const ProcessId& entry);
  void OnEntryHeartbeat(const ProcessId& entry,
                        const EntryHeartbeat& heartbeat,
                        MonoTime now);
  // Applies the sequence number and the heartbeat that a StartRun carries.
  // Returns false if the heartbeat has expired or a later incarnation of the
  // entry has connected.
  bool ApplyStartRun(const ProcessId& entry,
                     const StartRun& start,
                     MonoTime now);

  // Makes the next status to an entry due at once, to go out in one batch with
  // a report.
  void OnReport(const ProcessId& entry, MonoTime now);

  bool IsKnown(const ProcessId& entry) const {
    return m_entries.contains(entry);
  }
  // Returns how long the entry may send nothing before its connection is
  // closed.
  Microseconds IdleTimeout(const ProcessId& entry) const;
  // Whether the entry counts as alive, so that its runs may go on.
  bool IsAlive(const ProcessId& entry, MonoTime now) const;
  // Removes disconnected entries kReportRetention after their last heartbeat
  // has expired.
  void RemoveExpired(MonoTime now);

  // Returns the entries to which a status is to be sent now. `has_changed` says
  // whether the status has changed since the last call.
  std::vector<DueStatus> TakeDue(bool has_changed, MonoTime now);
  // Returns when the next heartbeat expires or the next status is due,
  // MonoTime::max() if never.
  MonoTime NextDeadline(MonoTime now) const;

 private:
  struct Entry {
    bool m_is_connected = false;
    // Whether a later incarnation of the entry has connected.
    bool m_is_replaced = false;
    uint64_t m_sequence = 0;
    // Minimum interval of statuses to this entry.
    Microseconds m_status_interval{0};
    bool m_is_status_due = true;
    MonoTime m_next_status_at;
    MonoTime m_status_repeat_at;
    // The entry's runs are stopped at this time.
    MonoTime m_alive_until;
  };

  // Extends the entry's liveness from `agent_clock`, the value of this agent's
  // clock that the entry returned: it was alive when it received that value.
  static void ExtendLiveness(Entry& entry, MonoTime agent_clock);

  std::map<ProcessId, Entry> m_entries;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_ENTRY_TABLE_H_
