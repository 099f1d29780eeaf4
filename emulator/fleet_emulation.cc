#include "emulator/fleet_emulation.h"

#include <algorithm>
#include <set>
#include <utility>

#include "emulator/fleet_processes.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kHeartbeatInterval{1500};
constexpr Milliseconds kRestartDelay{300};
constexpr Milliseconds kResendDelay{1300};
// So that no time of the emulation is near zero.
constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr uint64_t kFirstRunNumber = 1'000'000;

}  // namespace

FleetEmulation::FleetEmulation(const FleetOptions& options,
                               const LoadPattern& pattern)
    : m_options(options),
      m_pattern(pattern),
      m_random(options.m_seed),
      m_start(kStart),
      m_now(kStart) {
  for (size_t i = 0; i < options.m_runner_cpus.size(); ++i) {
    auto agent = std::make_unique<Agent>();
    const Resources capacity{options.m_runner_cpus[i] * 1000, 1 << 20, 0};
    agent->m_runner = std::make_unique<RunnerEmulation>(
        RunnerIncarnation{"runner-" + std::to_string(i), 1}, capacity,
        options.m_runner_slowness[i], m_behaviours);
    agent->m_runner->SetRack(RackOf(i), options.m_remote_factor);
    m_agents.push_back(std::move(agent));
  }
  for (size_t i = 0; i < options.m_entries; ++i) {
    m_entries.push_back(std::make_unique<Entry>());
  }
  for (size_t i = 0; i < m_agents.size(); ++i) {
    StartAgent(i);
  }
  for (size_t i = 0; i < m_entries.size(); ++i) {
    StartEntry(i);
  }
}

FleetEmulation::~FleetEmulation() = default;

std::string FleetEmulation::RackOf(size_t agent) const {
  const size_t size = m_options.m_runners_per_rack;
  return size == 0 ? "" : "rack-" + std::to_string(agent / size);
}

void FleetEmulation::Post(MonoTime at, std::function<void()> action) {
  m_events.push({std::max(at, m_now), m_next_sequence++, std::move(action)});
}

void FleetEmulation::At(Microseconds at, std::function<void()> action) {
  Post(m_start + at, std::move(action));
}

void FleetEmulation::RunUntil(Microseconds until) {
  const MonoTime end = m_start + until;
  while (!m_events.empty() && m_events.top().m_at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_action();
  }
  m_now = end;
}

void FleetEmulation::AddLoad() {
  for (Arrival& arrival : DrawArrivals(m_pattern, m_entries.size(), m_random)) {
    AddJob(std::move(arrival));
  }
}

void FleetEmulation::AddJob(Arrival arrival) {
  const size_t job = m_jobs.size();
  for (uint32_t index = 0; index < arrival.m_tasks.size(); ++index) {
    m_behaviours[{arrival.m_request.m_id, 0, index}] = arrival.m_tasks[index];
  }
  const MonoTime at = m_start + arrival.m_at;
  const size_t entry = arrival.m_entry;
  JobRecord record;
  record.m_arrival = std::move(arrival);
  record.m_sent_at = at;
  m_jobs.push_back(std::move(record));
  Post(at, [this, job, entry]() { Submit(job, entry); });
}

void FleetEmulation::Submit(size_t job, size_t entry_index) {
  Entry& entry = *m_entries[entry_index];
  JobRecord& record = m_jobs[job];
  const MonoTime give_up_at = record.m_sent_at + m_pattern.m_client_patience;
  if (m_now >= give_up_at) {
    record.m_result = ClientResult::kLost;
    record.m_answered_at = m_now;
    return;
  }
  if (entry.m_scheduler == nullptr || entry.m_frozen_until > m_now) {
    const size_t next = (entry_index + 1) % m_entries.size();
    Post(m_now + kResendDelay, [this, job, next]() { Submit(job, next); });
    return;
  }
  const JobKind& kind = m_pattern.m_kinds[record.m_arrival.m_kind];
  QueueConfig queue;
  queue.m_name = kind.m_name;
  queue.m_service = "service";
  queue.m_priority = kind.m_priority;
  queue.m_max_attempts = kind.m_max_attempts;
  queue.m_stretch = m_pattern.m_stretch;
  queue.m_target_latency = m_pattern.m_target_latency;
  JobRequest request = record.m_arrival.m_request;
  request.m_give_up_at = give_up_at;
  const JobHandle handle =
      entry.m_scheduler->Submit(std::move(request), queue, m_now);
  entry.m_jobs[handle] = job;
  WakeEntry(entry_index);
}

bool FleetEmulation::HasRoomFor(const JobRequest& request) const {
  int64_t missing = 0;
  for (const Step& step : request.m_steps) {
    missing = step.m_count;
    for (const auto& agent : m_agents) {
      if (agent->m_executor == nullptr ||
          !agent->m_executor->is_accepting(m_now)) {
        continue;
      }
      const int64_t available = agent->m_executor->FreeCapacity().m_cpu_millis;
      missing -= std::max<int64_t>(0, available) /
                 std::max<int64_t>(1, step.m_demand.m_cpu_millis);
    }
    if (missing > 0) {
      return false;
    }
  }
  return true;
}

void FleetEmulation::Finish(size_t job, const JobResult& result) {
  JobRecord& record = m_jobs[job];
  record.m_answered_at = m_now;
  if (std::holds_alternative<JobTasksDone>(result)) {
    record.m_result = ClientResult::kCompleted;
  } else if (std::holds_alternative<JobTasksFailed>(result)) {
    record.m_result = ClientResult::kFailed;
  } else if (std::holds_alternative<JobRejected>(result)) {
    record.m_result = ClientResult::kRefused;
    record.m_had_room = HasRoomFor(record.m_arrival.m_request);
  } else {
    record.m_result = ClientResult::kLost;
    const size_t next = m_random() % m_entries.size();
    ++record.m_lost_sendings;
    Post(m_now + kResendDelay, [this, job, next]() { Submit(job, next); });
  }
}

void FleetEmulation::StartEntry(size_t index) {
  Entry& entry = *m_entries[index];
  const auto age = std::chrono::duration_cast<Milliseconds>(m_now - m_start);
  const uint64_t wall = kFirstRunNumber + static_cast<uint64_t>(age.count());
  entry.m_id = {"entry-" + std::to_string(index), wall};
  entry.m_scheduler = std::make_unique<JobScheduler>(wall, index + 1, m_now);
  entry.m_scheduler->SetRemoteFactor(m_options.m_remote_factor);
  entry.m_scheduler->OnClosedZones(m_closed_zones);
  entry.m_heard.clear();
  for (size_t agent = 0; agent < m_agents.size(); ++agent) {
    Connect(index, agent);
  }
  WakeEntry(index);
}

void FleetEmulation::StartAgent(size_t index) {
  Agent& agent = *m_agents[index];
  const auto age = std::chrono::duration_cast<Milliseconds>(m_now - m_start);
  const uint64_t wall = kFirstRunNumber + static_cast<uint64_t>(age.count());
  agent.m_id = {AgentName(index), wall};
  agent.m_executor = std::make_unique<RunExecutor>(agent.m_id, wall);
  agent.m_heard.clear();
  agent.m_polls.clear();
  SendHeartbeat(index);
  WakeAgent(index);
}

void FleetEmulation::WakeEntry(size_t index) {
  Entry& entry = *m_entries[index];
  if (entry.m_tick_at <= m_now) {
    return;
  }
  entry.m_tick_at = m_now;
  Post(m_now, [this, index, incarnation = entry.m_process_incarnation]() {
    if (m_entries[index]->m_process_incarnation == incarnation) {
      TickEntry(index);
    }
  });
}

void FleetEmulation::TickEntry(size_t index) {
  Entry& entry = *m_entries[index];
  entry.m_tick_at = MonoTime::max();
  if (entry.m_scheduler == nullptr) {
    return;
  }
  const uint64_t incarnation = entry.m_process_incarnation;
  const auto tick_at = [&](MonoTime at) {
    entry.m_tick_at = std::max(at, m_now + Milliseconds(1));
    Post(entry.m_tick_at, [this, index, incarnation, at = entry.m_tick_at]() {
      if (m_entries[index]->m_process_incarnation == incarnation &&
          m_entries[index]->m_tick_at == at) {
        TickEntry(index);
      }
    });
  };
  if (entry.m_frozen_until > m_now) {
    tick_at(entry.m_frozen_until);
    return;
  }
  for (SchedulerAction& action : entry.m_scheduler->Tick(m_now)) {
    if (auto* send = std::get_if<SendToAgent>(&action)) {
      const size_t agent = AgentIndex(send->m_agent);
      SendToAgentLater(index, agent, std::move(send->m_message));
      continue;
    }
    if (std::holds_alternative<RunLost>(action)) {
      continue;
    }
    const auto& answer = std::get<SendJobResult>(action);
    const auto found = entry.m_jobs.find(answer.m_job);
    if (found != entry.m_jobs.end()) {
      const size_t job = found->second;
      entry.m_jobs.erase(found);
      Finish(job, answer.m_outcome);
    }
  }
  tick_at(entry.m_scheduler->NextDeadline(m_now));
}

void FleetEmulation::WakeAgent(size_t index) {
  Agent& agent = *m_agents[index];
  if (agent.m_tick_at <= m_now) {
    return;
  }
  agent.m_tick_at = m_now;
  Post(m_now, [this, index, incarnation = agent.m_process_incarnation]() {
    if (m_agents[index]->m_process_incarnation == incarnation) {
      TickAgent(index);
    }
  });
}

void FleetEmulation::TickAgent(size_t index) {
  Agent& agent = *m_agents[index];
  agent.m_tick_at = MonoTime::max();
  if (agent.m_executor == nullptr) {
    return;
  }
  const uint64_t incarnation = agent.m_process_incarnation;
  const auto tick_at = [&](MonoTime at) {
    agent.m_tick_at = std::max(at, m_now + Milliseconds(1));
    Post(agent.m_tick_at, [this, index, incarnation, at = agent.m_tick_at]() {
      if (m_agents[index]->m_process_incarnation == incarnation &&
          m_agents[index]->m_tick_at == at) {
        TickAgent(index);
      }
    });
  };
  if (agent.m_frozen_until > m_now) {
    tick_at(agent.m_frozen_until);
    return;
  }
  for (ExecutorAction& action : agent.m_executor->Tick(m_now)) {
    if (auto* send = std::get_if<SendToEntry>(&action)) {
      for (size_t entry = 0; entry < m_entries.size(); ++entry) {
        if (m_entries[entry]->m_id == send->m_entry) {
          SendToEntryLater(index, entry, send->m_message);
        }
      }
    } else if (const auto* start = std::get_if<StartRequest>(&action)) {
      SendRequest(index, *start);
    } else if (const auto* stop = std::get_if<StopRequest>(&action)) {
      SendRequest(index, *stop);
    } else {
      SendRequest(index, std::get<PollRequest>(action));
    }
  }
  tick_at(agent.m_executor->NextDeadline(m_now));
}

void FleetEmulation::SendHeartbeat(size_t index) {
  Agent& agent = *m_agents[index];
  const uint64_t incarnation = agent.m_process_incarnation;
  if (agent.m_executor == nullptr) {
    return;
  }
  RunnerHeartbeat heartbeat;
  heartbeat.m_process_incarnation = agent.m_runner->incarnation();
  heartbeat.m_service = "service";
  heartbeat.m_zone = "zone-" + std::to_string(index % 4);
  heartbeat.m_labels = {RackOf(index)};
  heartbeat.m_capacity = agent.m_runner->capacity();
  heartbeat.m_is_draining = agent.m_is_draining;
  heartbeat.m_sequence = ++agent.m_heartbeats;
  if (agent.m_frozen_until <= m_now) {
    agent.m_executor->OnHeartbeat(heartbeat, m_now);
    WakeAgent(index);
  }
  Post(m_now + kHeartbeatInterval, [this, index, incarnation]() {
    if (m_agents[index]->m_process_incarnation == incarnation) {
      SendHeartbeat(index);
    }
  });
}

void FleetEmulation::KillEntry(size_t index) {
  Entry& entry = *m_entries[index];
  ++entry.m_process_incarnation;
  entry.m_scheduler.reset();
  entry.m_tick_at = MonoTime::max();
  for (size_t agent = 0; agent < m_agents.size(); ++agent) {
    if (m_agents[agent]->m_executor && m_agents[agent]->m_heard.erase(index)) {
      m_agents[agent]->m_executor->OnEntryDisconnected(entry.m_id, m_now);
      WakeAgent(agent);
    }
  }
  // Clients see their connections break and send their jobs again elsewhere.
  for (const auto& item : std::exchange(entry.m_jobs, {})) {
    const size_t job = item.second;
    const size_t next = (index + 1) % m_entries.size();
    ++m_jobs[job].m_lost_sendings;
    Post(m_now + kResendDelay, [this, job, next]() { Submit(job, next); });
  }
  Post(m_now + kRestartDelay,
       [this, index, incarnation = entry.m_process_incarnation]() {
         if (m_entries[index]->m_process_incarnation == incarnation) {
           StartEntry(index);
         }
       });
}

void FleetEmulation::KillAgent(size_t index) {
  Agent& agent = *m_agents[index];
  ++agent.m_process_incarnation;
  agent.m_executor.reset();
  agent.m_tick_at = MonoTime::max();
  agent.m_polls.clear();
  for (const auto& entry : m_entries) {
    if (entry->m_scheduler && entry->m_heard.erase(index) > 0) {
      entry->m_scheduler->OnAgentDisconnected(AgentName(index), m_now);
    }
  }
  Post(m_now + kRestartDelay,
       [this, index, incarnation = agent.m_process_incarnation]() {
         if (m_agents[index]->m_process_incarnation == incarnation) {
           StartAgent(index);
         }
       });
}

void FleetEmulation::KillAll() {
  for (size_t i = 0; i < m_entries.size(); ++i) {
    KillEntry(i);
  }
  for (size_t i = 0; i < m_agents.size(); ++i) {
    KillAgent(i);
  }
}

void FleetEmulation::FreezeEntry(size_t entry, Microseconds length) {
  m_entries[entry]->m_frozen_until = m_now + length;
}

void FleetEmulation::FreezeAgent(size_t agent, Microseconds length) {
  m_agents[agent]->m_frozen_until = m_now + length;
}

void FleetEmulation::CutLink(size_t entry, size_t agent, Microseconds length) {
  m_cuts[{entry, agent}] = m_now + length;
}

void FleetEmulation::HoldLink(size_t entry, size_t agent, Microseconds length) {
  MonoTime& until = m_holds[{entry, agent}];
  until = std::max(until, m_now + length);
  // The next connection waits in the same network.
  Post(until, [this, entry, agent]() { TryConnect(entry, agent); });
}

void FleetEmulation::CrashRunner(size_t index) {
  m_agents[index]->m_runner->Restart(m_now);
}

void FleetEmulation::LoseRequests(double share, Microseconds length) {
  m_order_loss = share;
  m_order_loss_until = m_now + length;
}

void FleetEmulation::DrainRunner(size_t index) {
  m_agents[index]->m_is_draining = true;
}

void FleetEmulation::CloseZone(const std::string& zone) {
  m_closed_zones.insert(zone);
  for (const auto& entry : m_entries) {
    if (entry->m_scheduler) {
      entry->m_scheduler->OnClosedZones(m_closed_zones);
    }
  }
}

RunnerEmulation& FleetEmulation::runner(size_t agent) {
  return *m_agents[agent]->m_runner;
}

uint64_t FleetEmulation::overloads() const {
  uint64_t sum = 0;
  for (const auto& agent : m_agents) {
    sum += agent->m_runner->overloads();
  }
  return sum;
}

uint64_t FleetEmulation::false_refusals() const {
  std::set<std::string> started;
  for (const auto& agent : m_agents) {
    for (const std::string& job : agent->m_runner->StartedJobs()) {
      started.insert(job);
    }
  }
  return static_cast<uint64_t>(
      std::ranges::count_if(m_jobs, [&](const JobRecord& record) {
        return record.m_result == ClientResult::kRefused &&
               record.m_lost_sendings == 0 &&
               started.contains(record.m_arrival.m_request.m_id);
      }));
}

}  // namespace comfreyshift
