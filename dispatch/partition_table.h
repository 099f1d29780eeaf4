#ifndef DISPATCH_PARTITION_TABLE_H_
#define DISPATCH_PARTITION_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "membership/membership.h"

namespace comfreyshift {

inline constexpr uint32_t kDefaultPartitionCount = 8192;

// Upper bound of the time that a takeover or a handover takes without an
// outage.
inline constexpr std::chrono::seconds kTakeoverTime{30};

// Ownership of one partition of the submission keys.
struct Partition {
  // Empty while the table has no agent.
  std::optional<ProcessId> m_owner;
  Epoch m_epoch = 0;
  // When the owner changed last, by the proposer's clock.
  WallTime m_moved_at;
  // All tasks of keys first sent since this time were placed outside the
  // owner's rack, or a live earlier owner has copies of their records.
  // WallTime() if this holds for all keys.
  WallTime m_rack_avoided_since;
  // A key that was first sent before this time and has no record may have run.
  WallTime m_unknown_before;
  // Rack of the previous owner, and since when the placements of that owner
  // avoided this rack. A takeover uses them to decide which records the loss of
  // a member after the move may have removed.
  std::string m_previous_rack;
  WallTime m_previous_rack_avoided_since;
  // True if the previous owner was alive when the partition moved.
  bool m_moved_from_live_owner = false;

  bool operator==(const Partition&) const = default;
};

// A member that left the table within the retention window.
struct DepartedMember {
  ProcessId m_id;
  std::string m_rack;
  WallTime m_departed_at;
  // True if it handed over its records before it left.
  bool m_clean = false;

  bool operator==(const DepartedMember&) const = default;
};

// The value of the store key `/comfreyshift/table`: all members, and the owner
// and epoch of each partition.
struct PartitionTable {
  // Sorted by id.
  std::vector<Member> m_members;
  std::vector<Partition> m_partitions;
  std::vector<DepartedMember> m_departed;
  // Witness sets of earlier tables that some process may still use; see
  // Membership::UnretiredSets().
  std::vector<WitnessSet> m_earlier_witnesses;

  // Returns the member with this name and incarnation, or nothing.
  const Member* Find(const ProcessId& id) const;

  // Returns when the agent left after it had handed over its records, or
  // nothing if it did not.
  std::optional<WallTime> CleanDepartureTime(const ProcessId& id) const;

  // True if a task that was sent to `agent` and has no record was certainly not
  // started there: the agent left cleanly, and no member that may have adopted
  // its records was lost.
  bool MissingRecordProvesNotStarted(const ProcessId& agent) const;

  // Returns the time, by the proposer's clock, of the latest change that moved
  // a partition or removed an agent.
  WallTime LatestChange() const;

  // Returns the time of the latest departure without a handover, or WallTime()
  // if m_departed has none.
  WallTime LatestLoss() const;

  bool operator==(const PartitionTable&) const = default;
};

// Returns the time before which a key without a record may have run if the
// records of an owner in rack `owner_rack` are lost together with those of the
// unclean departures in `departed`. The owner's placements avoided its rack
// since `rack_avoided_since`, so that departures in that rack matter only for
// older keys.
WallTime UnknownBefore(const std::vector<DepartedMember>& departed,
                       const std::string& owner_rack,
                       WallTime rack_avoided_since);

struct TableError {
  std::string m_message;
};

// A proposed change of the members of a table.
struct TableChange {
  std::vector<Member> m_joining;
  std::vector<ProcessId> m_dead;
  std::vector<ProcessId> m_leaving_cleanly;
};

// Returns the table after `change`. Partitions of removed members move to the
// agents with the fewest partitions, a joining agent receives an even share,
// and each moved partition gets the next epoch. `now` is the proposer's wall
// clock and `retention` how long start records are kept. The result depends on
// the arguments only, so that concurrent proposers make the same table.
PartitionTable ApplyChange(const PartitionTable& table,
                           const TableChange& change,
                           WallTime now,
                           Milliseconds retention);

// Returns a table with no members and `partition_count` partitions.
PartitionTable MakeEmptyTable(uint32_t partition_count);

// Converts a table to and from the JSON text kept in the store. The text is
// below 1 MB, the store's limit for one value, for 2,400 members and 8,192
// partitions. Decoding fails on malformed or contradictory input.
std::string EncodeTable(const PartitionTable& table);
Result<PartitionTable, TableError> DecodeTable(std::string_view text);

}  // namespace comfreyshift

#endif  // DISPATCH_PARTITION_TABLE_H_
