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

// The longest time that a takeover or a handover takes without an outage.
inline constexpr std::chrono::seconds kTakeoverTime{30};

// One partition of the submissions.
struct Partition {
  // Nothing while no agent can own it.
  std::optional<ProcessId> m_owner;
  Epoch m_epoch = 0;
  // When the owner changed last.
  WallTime m_moved_at;
  // All tasks of keys first sent since then were placed outside the owner's
  // rack, or a live earlier owner has a copy of their records. The earliest
  // time when this holds for all keys.
  WallTime m_owner_since;
  // A key first sent before this time, and of which no record exists, may have
  // run.
  WallTime m_unknown_before;
  // Rack of the owner before this one, and since when that owner's placements
  // avoided this rack. A takeover rates later losses of members by them.
  std::string m_previous_rack;
  WallTime m_previous_since;
  // True when the owner before this one was alive when the partition moved.
  bool m_moved_alive = false;

  bool operator==(const Partition&) const = default;
};

// A member that left the table within the retention window.
struct DepartedMember {
  ProcessId m_id;
  std::string m_rack;
  WallTime m_departed_at;
  // True when it handed over its records before it left.
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

  // Returns when this agent left after it had handed its records over, or
  // nothing for any other one.
  std::optional<WallTime> LeftCleanlyAt(const ProcessId& id) const;

  // True when a task without a record that was sent there did not start.
  bool NeverStartedAt(const ProcessId& agent) const;

  // Returns the proposer's time of the latest change that moved a partition or
  // removed an agent.
  WallTime LatestChange() const;

  // Returns the latest departure without a handover; the epoch when none is
  // remembered.
  WallTime LatestLoss() const;

  bool operator==(const PartitionTable&) const = default;
};

// Returns the time before which a key without a record may have run, when the
// records of the unclean departures in `departed` are lost together with those
// in rack `owner_rack`, whose owner avoided it since `owner_since`.
WallTime UnknownBefore(const std::vector<DepartedMember>& departed,
                       const std::string& owner_rack,
                       WallTime owner_since);

struct TableError {
  std::string m_message;
};

// What is to change in a table.
struct TableChange {
  std::vector<Member> m_joining;
  std::vector<ProcessId> m_dead;
  std::vector<ProcessId> m_leaving_cleanly;
};

// Returns the table after `change`. Partitions of members that are gone move to
// the agents with the fewest, a joining agent takes its even share, and each
// moved partition gets the next epoch. `now` is the proposer's wall clock and
// `retention` how long start records are kept. The result is the same for the
// same arguments, so that proposers that race make the same table.
PartitionTable ApplyChange(const PartitionTable& table,
                           const TableChange& change,
                           WallTime now,
                           Milliseconds retention);

// Makes a table with no members and `partition_count` partitions.
PartitionTable MakeEmptyTable(uint32_t partition_count);

// The JSON form that the store holds: below 1 MB for 2,400 members and 8,192
// partitions. Decoding fails on any malformed or contradictory input.
std::string EncodeTable(const PartitionTable& table);
Result<PartitionTable, TableError> DecodeTable(std::string_view text);

}  // namespace comfreyshift

#endif  // DISPATCH_PARTITION_TABLE_H_
