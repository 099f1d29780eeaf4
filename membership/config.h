#ifndef MEMBERSHIP_CONFIG_H_
#define MEMBERSHIP_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/core.h"

namespace comfreyshift {

struct MembershipConfig {
  // Key of the datagrams' HMAC-SHA256 tags. The same for the whole fleet.
  std::string m_fleet_key;
  // F: how long a proof of freshness lasts; at most 60 s. Must be the same for
  // the whole fleet, otherwise witness ages are not exchanged.
  Milliseconds m_proof_lifetime{5000};
  Milliseconds m_ping_period{200};
  // Time without an ack after which a ping is followed by indirect probes.
  Milliseconds m_ack_timeout{200};
  // Time for the indirect probes, after which the whole probe fails.
  Milliseconds m_indirect_timeout{400};
  // Number of members asked to ping on behalf of this process.
  uint32_t m_indirect_probes = 3;
  // Duration of a suspicion in ping periods, per doubling of the number of
  // members.
  double m_suspicion_factor = 1.0;
  // Minimum duration of a suspicion. Together with the probe it allows a
  // process in a small fleet to pause for 2 s.
  Milliseconds m_min_suspicion{1400};
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_CONFIG_H_
