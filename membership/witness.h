#ifndef MEMBERSHIP_WITNESS_H_
#define MEMBERSHIP_WITNESS_H_

#include <cstdint>
#include <vector>

#include "core/core.h"
#include "membership/datagram.h"
#include "membership/member.h"

namespace comfreyshift {

// The witnesses of one table. A table stores the sets of earlier tables that
// may still be in use.
struct WitnessSet {
  Revision m_table_revision = 0;
  std::vector<ProcessId> m_members;

  bool operator==(const WitnessSet&) const = default;
};

// Selects the witnesses among `members`: all agents when there are at most
// kMaxWitnesses, otherwise kMaxWitnesses agents chosen by rendezvous hash,
// spread evenly over availability zones and then over racks. One agent is left
// out when the number would be even. The result depends only on the set of
// members, and is sorted.
std::vector<ProcessId> SelectWitnesses(const std::vector<Member>& members);

// Returns a hash of the witnesses in `keys`, which must be sorted, and of the
// unit of their ages. Processes exchange witness ages only when their hashes
// are equal. It is never 0.
uint64_t HashWitnesses(const std::vector<ProcessKey>& keys,
                       Microseconds age_unit);

}  // namespace comfreyshift

#endif  // MEMBERSHIP_WITNESS_H_
