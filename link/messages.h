#ifndef LINK_MESSAGES_H_
#define LINK_MESSAGES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// Version of the messages on a link. Peers of version 0 close a connection on
// which a message of an unknown type arrives; later ones ignore it.
inline constexpr uint32_t kLinkVersion = 1;
// The first version that knows OperatorState.
inline constexpr uint32_t kOperatorStateVersion = 1;

// Entry to agent: the first message on each connection.
struct Hello {
  ProcessId m_entry;
  uint32_t m_version = kLinkVersion;
};

// Agent to entry: the reply to Hello.
struct Welcome {
  ProcessId m_agent;
  uint32_t m_version = kLinkVersion;
};

// Entry to agent: the entry is alive and still needs its runs. The agent stops
// the runs of an entry whose heartbeats cease (see kEntryHeartbeatTimeout).
struct EntryHeartbeat {
  // The newest agent clock value that the entry has received. The entry was
  // alive at that time on the agent's clock, however long this message was
  // delayed.
  MonoTime m_agent_clock;
  // Minimum time between two RunnerStatus messages to this entry. An entry with
  // many agents could not process them at a higher rate.
  Microseconds m_status_interval{0};
};

// What a process knows of the operator's state when it makes a decision.
struct OperatorKnowledge {
  // The revision of the newest state that it has; 0: none.
  uint64_t m_revision = 0;
  // Time since the store has last confirmed the copy of this process, directly
  // or through another process; empty before the first time.
  std::optional<Microseconds> m_age;

  bool operator==(const OperatorKnowledge&) const = default;
};

// Entry to agent: start a run. Idempotent for the same run. It also acts as a
// heartbeat of the entry, like EntryHeartbeat. The agent rejects it if that
// heartbeat has already timed out: a message delayed by the network or by a
// frozen process must not start a run that its entry has abandoned.
struct StartRun {
  RunKey m_run;
  // See EntryHeartbeat.
  MonoTime m_agent_clock;
  // Increases with each StartRun on a connection; see RunnerStatus.
  uint64_t m_sequence = 0;
  std::string m_service;
  SharedText m_payload;
  Resources m_demand;
  // Expected run time on a runner of typical speed.
  Microseconds m_expected{0};
  // Queued runs start in ascending order of this value.
  int64_t m_queue_priority = 0;
  // The run is stopped at m_abandon_at, and reported as not started if it is
  // still queued at m_queue_until. Both are sent as the remaining time and
  // become deadlines on the receiver's clock.
  MonoTime m_abandon_at;
  MonoTime m_queue_until;
  // What the entry knew when it sent this message. For logs and metrics only.
  OperatorKnowledge m_decided_on;
};

// Entry to agent: cancel a run. The agent sends a RunReport once the run has
// certainly ended.
struct StopRun {
  RunKey m_run;
};

// Agent to entry: the state of the agent's runner.
struct RunnerStatus {
  // The agent's clock at the time of sending.
  MonoTime m_agent_clock;
  // Sequence number of the last StartRun on this connection that m_free takes
  // into account.
  uint64_t m_sequence = 0;
  bool m_is_accepting = false;
  std::string m_service;
  std::string m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  // Negative while runs are queued for capacity.
  Resources m_free;
  // Ratio of actual to expected run time on this runner.
  double m_slowness = 1.0;
  // Unix time of the runner's start on its own clock; tells incarnations apart.
  int64_t m_runner_start_time_ms = 0;
};

// Agent to entry: a run has ended and will not start again.
struct RunReport {
  RunKey m_run;
  RunOutcome m_outcome = RunOutcome::kNotStarted;
  // Whether the run has done any of its work.
  bool m_has_run = false;
  Microseconds m_run_time{0};
};

// Entry to agent: read from the store on behalf of an entry whose requests the
// store rejects. The link does not interpret the request.
struct RelayRead {
  // Unique on the connection.
  uint64_t m_id = 0;
  std::string m_request;
  // Sent as the remaining time.
  MonoTime m_give_up_at;
};

// Agent to entry: the response of the store.
struct RelayAnswer {
  uint64_t m_id = 0;
  // False if the agent received no response either.
  bool m_is_answered = false;
  int32_t m_status = 0;
  std::string m_body;
};

// In both directions: what the operator has stored. Sent to a peer that has
// older state, on connect before any StartRun and after a change.
struct OperatorState {
  // The store's revision at which the operator's items were last seen to
  // change. The state of the higher revision is the newer one; 0: not known.
  uint64_t m_revision = 0;
  ClosedZones m_closed_zones;

  bool operator==(const OperatorState&) const = default;
};

// Returns how long nothing may arrive on a connection with this status interval
// before either side closes it.
constexpr Microseconds IdleConnectionTimeout(Microseconds status_interval) {
  constexpr Microseconds kMinTimeout{2'500'000};
  return std::max(kMinTimeout, status_interval * 5 / 2);
}

using LinkMessage = std::variant<Hello,
                                 Welcome,
                                 EntryHeartbeat,
                                 StartRun,
                                 StopRun,
                                 RunnerStatus,
                                 RunReport,
                                 RelayRead,
                                 RelayAnswer,
                                 OperatorState>;

}  // namespace comfreyshift

#endif  // LINK_MESSAGES_H_
