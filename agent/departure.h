#ifndef AGENT_DEPARTURE_H_
#define AGENT_DEPARTURE_H_

#include <functional>
#include <memory>
#include <set>

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "node/node.h"

namespace comfreyshift {

// A planned stop of an agent: takes no new work, lets its tasks end, hands its
// records over to other members, asks an entry to take it out of the table, and
// waits until its callers know where to go. Calls in progress share it.
class Departure : public std::enable_shared_from_this<Departure> {
 public:
  // The references must outlive the departure and all its calls. `on_left` runs
  // once: when the process may end, or at `deadline`.
  Departure(ProcessNode& node,
            Owner& owner,
            Starter& starter,
            MonoTime deadline,
            std::function<void()> on_left);

  void Begin(MonoTime now);

  // Goes on to the next step when the present one is over. `has_callers` tells
  // whether RPCs still wait for a reply of this process.
  void Tick(MonoTime now, bool has_callers);
  MonoTime NextDeadline() const { return m_next_tick; }

 private:
  enum class Phase : uint8_t {
    kDraining,
    kHandingOver,
    kLeaving,
    kLeft,
    kDone
  };

  void HandOver(MonoTime now);
  void OnAdopted(const ProcessId& by, bool accepted);
  void RequestLeave(MonoTime now);
  bool IsListed() const;
  void Finish();

  ProcessNode& m_node;
  Owner& m_owner;
  Starter& m_starter;
  MonoTime m_deadline;
  std::function<void()> m_on_left;
  Phase m_phase = Phase::kDraining;
  MonoTime m_next_tick;
  // Of the handover in progress: the table it was planned under, its commands
  // without an answer, and whether all answers so far were good.
  Revision m_planned_under = 0;
  size_t m_open_commands = 0;
  bool m_all_adopted = true;
  std::set<ProcessId> m_refused;
  MonoTime m_ask_again_at;
  MonoTime m_plan_again_at;
  MonoTime m_end_at;
};

}  // namespace comfreyshift

#endif  // AGENT_DEPARTURE_H_
