#ifndef FLEET_STORE_RELAY_H_
#define FLEET_STORE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/core.h"
#include "link/link.h"

namespace comfreyshift {

// The unmodified response of the store: HTTP status and body.
struct StoreResponse {
  int m_status = 0;
  std::string m_body;
  // The agent that passed it on, empty if the store itself has responded.
  std::string m_agent;
};

// Called exactly once, with nullopt if the store did not respond.
using StoreResponseFunction = std::function<void(std::optional<StoreResponse>)>;

// Sends the read `request` to the store on behalf of an entry. The read fails
// if there is no response by `give_up_at`.
using StoreReadFunction =
    std::function<void(const std::string& request,
                       MonoTime give_up_at,
                       StoreResponseFunction on_response)>;

// Sends the read `request` to the store through several agents at the same
// time. Returns their number. `on_response` is called once for each of them,
// never from within this function, with nullopt if there is no response by
// `give_up_at`.
using StoreRelayFunction =
    std::function<size_t(const std::string& request,
                         MonoTime give_up_at,
                         const StoreResponseFunction& on_response)>;

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
  // Whether the last read through `agent` that has ended got no response.
  bool HasFailed(const std::string& agent) const {
    return m_failed_agents.contains(agent);
  }
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
  std::set<std::string> m_failed_agents;
};

}  // namespace comfreyshift

#endif  // FLEET_STORE_RELAY_H_
