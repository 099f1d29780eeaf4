#ifndef LINK_MESSAGES_H_
#define LINK_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// Entry to agent, first on each connection.
struct Hello {
  ProcessId m_entry;
};

// Agent to entry, the answer to Hello.
struct Welcome {
  ProcessId m_agent;
};

// Entry to agent: the entry still holds its jobs. Returns the newest clock
// value the entry has received, so the agent knows a time at which the entry
// was certainly alive, however long this message was under way.
struct Claim {
  MonoTime m_agent_clock;
  // The entry wants statuses at most this often; entries with many agents could
  // not read them otherwise.
  Microseconds m_status_interval{0};
};

// Entry to agent: start a run. Sending it again for the same run is harmless.
// It claims the entry's runs like Claim, and is refused once that claim has run
// out: an order held up in a network or a frozen process must not start what
// its entry has given up.
struct StartRun {
  RunKey m_run;
  // See Claim.
  MonoTime m_agent_clock;
  // Rises with each StartRun on a connection; see RunnerStatus.
  uint64_t m_sequence = 0;
  std::string m_service;
  std::string m_payload;
  Resources m_demand;
  // What the run is expected to take on a runner of usual speed.
  Microseconds m_expected{0};
  // Runs that wait for room start in this order, lowest first.
  int64_t m_urgency = 0;
  // Lengths on the wire, deadlines on the receiver's clock: the run is stopped
  // at m_abandon_at, and is reported as not started if it still waits for room
  // at m_queue_until.
  MonoTime m_abandon_at;
  MonoTime m_queue_until;
};

// Entry to agent: the run is no longer wanted. It is reported once it has
// certainly ended.
struct StopRun {
  RunKey m_run;
};

// Agent to entry: the state of its runner.
struct RunnerStatus {
  // The agent's own clock at sending.
  MonoTime m_agent_clock;
  // The last StartRun of this connection that m_free accounts for.
  uint64_t m_sequence = 0;
  bool m_is_accepting = false;
  std::string m_service;
  std::string m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  // Less than nothing while runs wait for room.
  Resources m_free;
  // Run time here, as a multiple of the expected one.
  double m_slowness = 1.0;
  int64_t m_runner_born_ms = 0;
};

// Agent to entry: a run has ended, for good.
struct RunReport {
  RunKey m_run;
  RunOutcome m_outcome = RunOutcome::kNotStarted;
  // Whether any work of the run has been done.
  bool m_has_run = false;
  Microseconds m_run_time{0};
};

// Entry to agent: read something from the store for an entry that the store
// turns away. What is read is not known to the link.
struct RelayRead {
  // Unique on the connection.
  uint64_t m_id = 0;
  std::string m_request;
  // A length on the wire.
  MonoTime m_give_up_at;
};

// Agent to entry: what the store answered.
struct RelayAnswer {
  uint64_t m_id = 0;
  // False if the store did not answer the agent either.
  bool m_is_answered = false;
  int32_t m_status = 0;
  std::string m_body;
};

using LinkMessage = std::variant<Hello,
                                 Welcome,
                                 Claim,
                                 StartRun,
                                 StopRun,
                                 RunnerStatus,
                                 RunReport,
                                 RelayRead,
                                 RelayAnswer>;

}  // namespace comfreyshift

#endif  // LINK_MESSAGES_H_
