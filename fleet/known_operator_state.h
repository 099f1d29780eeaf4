#ifndef FLEET_KNOWN_OPERATOR_STATE_H_
#define FLEET_KNOWN_OPERATOR_STATE_H_

#include <optional>

#include "core/core.h"
#include "link/link.h"

namespace comfreyshift {

// The newest operator state that a process has, from the store or from another
// process, and when the store last confirmed this process's own copy.
class KnownOperatorState {
 public:
  // Takes over `state` unless a newer one is known. Returns whether it did.
  bool Replace(const OperatorState& state) {
    if (state.m_revision < m_state.m_revision) {
      return false;
    }
    m_state = state;
    return true;
  }

  // The store has answered a read of the operator's items.
  void Confirm(MonoTime now) { m_confirmed_at = now; }

  const OperatorState& state() const { return m_state; }

  // Returns what decisions made at `now` are based on.
  OperatorKnowledge At(MonoTime now) const {
    OperatorKnowledge knowledge{m_state.m_revision, std::nullopt};
    if (m_confirmed_at) {
      knowledge.m_age = now - *m_confirmed_at;
    }
    return knowledge;
  }

 private:
  OperatorState m_state;
  std::optional<MonoTime> m_confirmed_at;
};

}  // namespace comfreyshift

#endif  // FLEET_KNOWN_OPERATOR_STATE_H_
