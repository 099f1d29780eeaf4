#ifndef EXECUTOR_ENTRY_TABLE_H_
#define EXECUTOR_ENTRY_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// The entries that an agent knows: until when each claims its runs, and when
// the next status for it is due.
class EntryTable {
 public:
  struct DueStatus {
    ProcessId m_entry;
    // See RunnerStatus.
    uint64_t m_sequence = 0;
  };

  // A connection claims nothing by itself. It ends the claims of earlier
  // incarnations: the new one knows nothing of their runs.
  void OnConnected(const ProcessId& entry, MonoTime now);
  void OnDisconnected(const ProcessId& entry);
  void OnClaim(const ProcessId& entry, const Claim& claim, MonoTime now);
  // Takes the claim that an order carries. Returns false if it has run out.
  bool ApplyStartRun(const ProcessId& entry,
                     const StartRun& start,
                     MonoTime now);

  bool IsKnown(const ProcessId& entry) const {
    return m_entries.contains(entry);
  }
  // Whether the entry's runs may go on.
  bool IsAlive(const ProcessId& entry, MonoTime now) const;
  // Drops entries that have been away for long.
  void RemoveExpired(MonoTime now);

  // Returns the entries to which a status is sent now; `has_changed` says that
  // the status has changed since the last call.
  std::vector<DueStatus> TakeDue(bool has_changed, MonoTime now);
  // When a claim runs out or a status is due, far in the future if never.
  MonoTime NextDeadline(MonoTime now) const;

 private:
  struct Entry {
    bool m_is_connected = false;
    uint64_t m_sequence = 0;
    // Statuses to this entry are at least this far apart.
    Microseconds m_status_interval{0};
    bool m_is_status_due = true;
    MonoTime m_next_status_at;
    MonoTime m_status_repeat_at;
    // The entry's runs are stopped then.
    MonoTime m_alive_until;
  };

  // The entry was certainly alive when it had this clock of ours.
  static void ExtendLiveness(Entry& entry, MonoTime agent_clock);

  std::map<ProcessId, Entry> m_entries;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_ENTRY_TABLE_H_
