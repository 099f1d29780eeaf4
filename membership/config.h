#ifndef MEMBERSHIP_CONFIG_H_
#define MEMBERSHIP_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/core.h"

namespace comfreyshift {

struct MembershipConfig {
  // Key of the datagrams' HMAC-SHA256 tags, the same in the whole fleet.
  std::string m_fleet_key;
  // F: how long a proof of freshness lasts; at most 60 s. The same in the whole
  // fleet, or witness ages are not exchanged.
  Milliseconds m_proof_lifetime{5000};
  Milliseconds m_ping_period{200};
  // A ping without an ack is followed by indirect probes after this time.
  Milliseconds m_ack_timeout{200};
  // The probe as a whole fails this much later.
  Milliseconds m_indirect_timeout{400};
  uint32_t m_indirect_probes = 3;
  // A suspicion lasts this many ping periods for each doubling of the number of
  // members.
  double m_suspicion_factor = 1.0;
  // Shortest suspicion; with the probe it lets a process of a small fleet pause
  // for 2 s.
  Milliseconds m_least_suspicion{1400};
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_CONFIG_H_
