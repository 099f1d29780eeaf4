#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

#include "core/core.h"

namespace comfreyshift {

enum class MemberRole : uint8_t { kEntry, kAgent };

// One process of the system, as announced in its joins and listed in the
// partition table.
struct Member {
  ProcessId m_id;
  MemberRole m_role = MemberRole::kAgent;
  Address m_datagram_address;
  Address m_rpc_address;
  std::string m_zone;
  std::string m_rack;
  std::string m_worker;
  // Name of the target that the agent serves; empty for an entry.
  std::string m_target;

  bool operator==(const Member&) const = default;
};

// The load that a member reports in its acks, in tasks.
struct MemberLoad {
  uint16_t m_running = 0;
  uint16_t m_queued = 0;
  uint16_t m_slots = 0;

  bool operator==(const MemberLoad&) const = default;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_MEMBER_H_
