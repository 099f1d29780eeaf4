#ifndef FLEET_STORE_RELAY_H_
#define FLEET_STORE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "link/link.h"

namespace comfreyshift {

// The unmodified response of the store: HTTP status and body.
struct StoreResponse {
  int m_status = 0;
  std::string m_body;
};

// Called exactly once, with nullopt if the store did not respond.
using StoreResponseFunction = std::function<void(std::optional<StoreResponse>)>;

// Relays the read `request` to the store: in an entry through an agent, in an
// agent on behalf of an entry. The read fails if there is no response by
// `give_up_at`.
using StoreReadFunction =
    std::function<void(const std::string& request,
                       MonoTime give_up_at,
                       StoreResponseFunction on_response)>;

// The store reads that an entry has sent to agents and that are in flight.
class StoreRelay {
 public:
  // Adds a read and returns the message to send to `agent`.
  RelayRead CreateRead(const std::string& agent,
                       const std::string& request,
                       MonoTime give_up_at,
                       StoreResponseFunction on_response);
  // Completes a read. Responses to reads that have already ended are ignored.
  void OnRelayAnswer(RelayAnswer response);
  // Fails the reads sent to `agent`, whose connection has been closed.
  void OnAgentLost(const std::string& agent);
  // Fails the reads whose deadline has passed.
  void Expire(MonoTime now);
  // When Expire must be called next, or MonoTime::max() if there are no reads.
  MonoTime NextDeadline() const;

 private:
  struct PendingRead {
    std::string m_agent;
    MonoTime m_give_up_at;
    StoreResponseFunction m_on_response;
  };

  template <class Predicate>
  void FailIf(Predicate is_failed);

  uint64_t m_next_id = 1;
  std::map<uint64_t, PendingRead> m_pending_reads;
};

}  // namespace comfreyshift

#endif  // FLEET_STORE_RELAY_H_
