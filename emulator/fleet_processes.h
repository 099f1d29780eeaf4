#ifndef EMULATOR_FLEET_PROCESSES_H_
#define EMULATOR_FLEET_PROCESSES_H_

// The processes of a FleetEmulation. Only its own sources include this header.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "emulator/fleet_emulation.h"
#include "emulator/runner_emulation.h"
#include "executor/executor.h"
#include "scheduler/scheduler.h"

namespace comfreyshift {

// The name by which entries know an agent, and the agent's index by its name.
std::string AgentName(size_t index);
size_t AgentIndex(const std::string& name);

// An entry, which can be killed, frozen and restarted.
struct FleetEmulation::Entry {
  // Number of the incarnation; tells messages to an earlier one apart.
  uint64_t m_process_incarnation = 1;
  std::unique_ptr<JobScheduler> m_scheduler;
  MonoTime m_frozen_until;
  MonoTime m_tick_at = MonoTime::max();
  // Until when it is busy with messages that have arrived.
  MonoTime m_busy_until;
  // Last message of each agent on its connection; none if not connected.
  std::map<size_t, MonoTime> m_heard;
  // Jobs in progress.
  std::map<JobHandle, size_t> m_jobs;
  ProcessId m_id;
};

// An agent, which can be killed, frozen and restarted, and its runner.
struct FleetEmulation::Agent {
  // Number of the incarnation; tells messages to an earlier one apart.
  uint64_t m_process_incarnation = 1;
  std::unique_ptr<RunExecutor> m_executor;
  std::unique_ptr<RunnerEmulation> m_runner;
  MonoTime m_frozen_until;
  MonoTime m_tick_at = MonoTime::max();
  bool m_is_draining = false;
  uint64_t m_heartbeats = 0;
  // Last message of each entry on its connection.
  std::map<size_t, MonoTime> m_heard;
  // Polls that wait for an end.
  struct Waiting {
    uint64_t m_process_incarnation;
    PollRequest m_request;
  };
  std::vector<Waiting> m_polls;
  // When WatchRunner is called next.
  MonoTime m_watch_at = MonoTime::max();
  ProcessId m_id;
};

}  // namespace comfreyshift

#endif  // EMULATOR_FLEET_PROCESSES_H_
