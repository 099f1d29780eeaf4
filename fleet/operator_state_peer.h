#ifndef FLEET_OPERATOR_STATE_PEER_H_
#define FLEET_OPERATOR_STATE_PEER_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include "jobs/jobs.h"
#include "link/link.h"

namespace comfreyshift {

// What the process at the other end of a connection is known to have of the
// operator's state.
class OperatorStatePeer {
 public:
  // A peer that understands no OperatorState messages.
  OperatorStatePeer() = default;
  // A peer whose Hello or Welcome has arrived.
  explicit OperatorStatePeer(uint32_t link_version)
      : m_is_able(link_version >= kOperatorStateVersion) {}

  // The peer has sent the state of `revision`.
  void OnReceived(uint64_t revision) {
    m_revision = std::max(m_revision, revision);
  }

  // Returns whether the state of `revision` must be sent to the peer, and
  // counts it as sent.
  bool TakeDue(uint64_t revision) {
    if (!m_is_able || revision <= m_revision) {
      return false;
    }
    m_revision = revision;
    return true;
  }

 private:
  bool m_is_able = false;
  // The newest revision that it has.
  uint64_t m_revision = 0;
};

// Returns the zones separated by commas.
std::string JoinZones(const ClosedZones& zones);

// Logs newer state that `sender`, an "entry" or an "agent", has sent.
void LogOperatorStateReceived(const char* sender_role,
                              const std::string& sender,
                              const OperatorState& state);

}  // namespace comfreyshift

#endif  // FLEET_OPERATOR_STATE_PEER_H_
