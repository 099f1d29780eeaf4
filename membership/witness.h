#ifndef MEMBERSHIP_WITNESS_H_
#define MEMBERSHIP_WITNESS_H_

#include <cstdint>
#include <vector>

#include "core/core.h"
#include "membership/datagram.h"
#include "membership/member.h"

namespace comfreyshift {

// The witnesses that one table names, as the table stores those of earlier
// tables that may still be in use.
struct WitnessSet {
  Revision m_table_revision = 0;
  std::vector<ProcessId> m_members;

  bool operator==(const WitnessSet&) const = default;
};

// Returns the witnesses among `members`: every agent up to kMaxWitnesses, and
// otherwise kMaxWitnesses by rendezvous hash, spread evenly over availability
// zones and then over racks. The last of an even number is left out. The result
// depends only on the set of members, and is sorted.
std::vector<ProcessId> SelectWitnesses(const std::vector<Member>& members);

// Returns the hash that binds witness ages to the witnesses in `keys`, which
// must be sorted, and to the unit of the ages. It is never 0.
uint64_t HashWitnesses(const std::vector<ProcessKey>& keys,
                       Microseconds age_unit);

}  // namespace comfreyshift

#endif  // MEMBERSHIP_WITNESS_H_
