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

// An answer of the store: the status and the body as they came.
struct StoreAnswer {
  int m_status = 0;
  std::string m_body;
};

// Called once; nothing if the store did not answer.
using StoreAnswerFunction = std::function<void(std::optional<StoreAnswer>)>;

// Reads from the store on behalf of somebody: sends `request` and gives up at
// `give_up_at`.
using StoreReadFunction = std::function<void(const std::string& request,
                                             MonoTime give_up_at,
                                             StoreAnswerFunction on_answer)>;

// The reads that an entry has asked agents for and that are not answered yet.
class StoreRelay {
 public:
  // Returns the message to send to `agent`.
  RelayRead Ask(const std::string& agent,
                const std::string& request,
                MonoTime give_up_at,
                StoreAnswerFunction on_answer);
  // Answers that nobody waits for any more are dropped.
  void OnAnswer(RelayAnswer answer);
  // The connection to an agent is gone, and with it the answers.
  void OnAgentLost(const std::string& agent);
  // Ends the reads that are overdue.
  void Expire(MonoTime now);
  // When Expire must be called next; far in the future without reads.
  MonoTime NextDeadline() const;

 private:
  struct Waiting {
    std::string m_agent;
    MonoTime m_give_up_at;
    StoreAnswerFunction m_on_answer;
  };

  template <class Predicate>
  void FailIf(Predicate is_failed);

  uint64_t m_next_id = 1;
  std::map<uint64_t, Waiting> m_waiting;
};

}  // namespace comfreyshift

#endif  // FLEET_STORE_RELAY_H_
