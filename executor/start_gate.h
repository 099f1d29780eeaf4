#ifndef EXECUTOR_START_GATE_H_
#define EXECUTOR_START_GATE_H_

#include "core/core.h"

namespace comfreyshift {

// Holds back starts after a connection to the runner has ended. A start names
// the runner's id, which a restarted runner keeps, so that it may reach another
// incarnation than the known one. The gate opens when a list shows which
// incarnation answers, if that list was requested after the connection ended.
class StartGate {
 public:
  // A connection that the agent did not close has ended, or was refused.
  void OnConnectionLost(MonoTime now);
  bool is_open() const { return m_is_open; }

  // Whether a check, a poll that shows the incarnation, is to be sent now.
  bool IsCheckDue(MonoTime now) const { return now >= m_next_check_at; }
  // Returns when the next check is due, MonoTime::max() if none is.
  MonoTime NextCheckAt() const { return m_next_check_at; }
  void OnCheckSent(MonoTime now);
  // The check returned lists.
  void OnCheckAnswered(MonoTime now);
  // The check returned no lists, and is repeated while the gate is closed.
  void OnCheckFailed(MonoTime now);
  // Another poll, which was sent at `sent_at`, returned lists.
  void OnLists(MonoTime sent_at);

 private:
  void ScheduleCheck(MonoTime now);

  bool m_is_open = true;
  bool m_is_checking = false;
  MonoTime m_lost_at;
  MonoTime m_check_sent_at;
  MonoTime m_next_check_at = MonoTime::max();
};

}  // namespace comfreyshift

#endif  // EXECUTOR_START_GATE_H_
