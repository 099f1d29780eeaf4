#include "emulator/fleet_emulation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyshift {

namespace {

constexpr Milliseconds kHeartbeatInterval{1500};
constexpr Milliseconds kReconnectPause{100};
constexpr Milliseconds kRestartDelay{300};
constexpr Milliseconds kResendDelay{1300};
// Late orders are carried out after this time at least, and twice that at most.
constexpr Microseconds kMinLateDelay{2'000'000};
// So that no time of the emulation is near zero.
constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr uint64_t kFirstRunNumber = 1'000'000;

std::string AgentName(size_t index) {
  return "agent-" + std::to_string(index);
}

}  // namespace

// A process that can be killed, frozen and restarted. `m_life` tells messages
// to an earlier life apart.
struct FleetEmulation::Entry {
  uint64_t m_life = 1;
  std::unique_ptr<JobScheduler> m_scheduler;
  MonoTime m_frozen_until;
  MonoTime m_tick_at = MonoTime::max();
  // Last message of each agent on its connection; none if not connected.
  std::map<size_t, MonoTime> m_heard;
  // Jobs in progress.
  std::map<JobHandle, size_t> m_jobs;
  ProcessId m_id;
};

struct FleetEmulation::Agent {
  uint64_t m_life = 1;
  std::unique_ptr<RunExecutor> m_executor;
  std::unique_ptr<RunnerEmulation> m_runner;
  MonoTime m_frozen_until;
  MonoTime m_tick_at = MonoTime::max();
  bool m_is_draining = false;
  uint64_t m_heartbeats = 0;
  std::map<size_t, MonoTime> m_heard;
  // Looks that wait for an end.
  struct Waiting {
    uint64_t m_life;
    OrderLook m_order;
  };
  std::vector<Waiting> m_looks;
  MonoTime m_watch_at = MonoTime::max();
  ProcessId m_id;
};

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
        RunnerLife{"runner-" + std::to_string(i), 1}, capacity,
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
  m_events.push({std::max(at, m_now), m_next_order++, std::move(action)});
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

void FleetEmulation::Finish(size_t job, const JobResult& result) {
  JobRecord& record = m_jobs[job];
  record.m_answered_at = m_now;
  if (std::holds_alternative<JobTasksDone>(result)) {
    record.m_result = ClientResult::kCompleted;
  } else if (std::holds_alternative<JobTasksFailed>(result)) {
    record.m_result = ClientResult::kFailed;
  } else if (std::holds_alternative<JobRefused>(result)) {
    record.m_result = ClientResult::kRefused;
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
  agent.m_looks.clear();
  SendHeartbeat(index);
  WakeAgent(index);
}

// Connects again and again until the agent answers, as an entry does.
void FleetEmulation::Connect(size_t entry_index, size_t agent_index) {
  const uint64_t life = m_entries[entry_index]->m_life;
  if (m_entries[entry_index]->m_scheduler == nullptr) {
    return;
  }
  TryConnect(entry_index, agent_index);
  Post(m_now + kReconnectPause, [this, entry_index, agent_index, life]() {
    if (m_entries[entry_index]->m_life == life) {
      Connect(entry_index, agent_index);
    }
  });
}

void FleetEmulation::TryConnect(size_t entry_index, size_t agent_index) {
  Entry& entry = *m_entries[entry_index];
  if (entry.m_scheduler == nullptr) {
    return;
  }
  Agent& agent = *m_agents[agent_index];
  const bool is_up = agent.m_executor != nullptr &&
                     !IsCut(entry_index, agent_index) &&
                     m_holds[{entry_index, agent_index}] <= m_now &&
                     agent.m_frozen_until <= m_now;
  const bool is_connected = entry.m_heard.contains(agent_index);
  if (is_connected &&
      m_now >= entry.m_scheduler->SilentAt(AgentName(agent_index),
                                           entry.m_heard[agent_index])) {
    entry.m_heard.erase(agent_index);
    entry.m_scheduler->OnAgentDisconnected(AgentName(agent_index), m_now);
  } else if (!is_connected && is_up && entry.m_frozen_until <= m_now) {
    entry.m_heard[agent_index] = m_now;
    agent.m_heard[entry_index] = m_now;
    ++m_connections[{entry_index, agent_index}];
    agent.m_executor->OnEntryConnected(entry.m_id, m_now);
    entry.m_scheduler->OnAgentConnected(AgentName(agent_index), agent.m_id,
                                        m_now);
    WakeAgent(agent_index);
    WakeEntry(entry_index);
  }
}

bool FleetEmulation::IsCut(size_t entry, size_t agent) const {
  const auto found = m_cuts.find({entry, agent});
  return found != m_cuts.end() && found->second > m_now;
}

MonoTime FleetEmulation::ArrivalAt(size_t entry, size_t agent) const {
  const auto held = m_holds.find({entry, agent});
  const MonoTime usual = m_now + m_options.m_link_delay;
  return held == m_holds.end() ? usual : std::max(held->second, usual);
}

void FleetEmulation::SendToAgentLater(size_t entry,
                                      size_t agent,
                                      LinkMessage message) {
  if (IsCut(entry, agent) || !m_entries[entry]->m_heard.contains(agent)) {
    return;
  }
  const uint64_t life = m_entries[entry]->m_life;
  Post(ArrivalAt(entry, agent), [this, entry, life, agent, sent_at = m_now,
                                 message = std::move(message)]() {
    DeliverToAgent(entry, life, agent, sent_at, message);
  });
}

void FleetEmulation::SendToEntryLater(size_t agent,
                                      size_t entry,
                                      LinkMessage message) {
  if (IsCut(entry, agent) || !m_entries[entry]->m_heard.contains(agent)) {
    return;
  }
  const uint64_t connection = m_connections[{entry, agent}];
  Post(ArrivalAt(entry, agent),
       [this, agent, connection, entry, message = std::move(message)]() {
         DeliverToEntry(agent, connection, entry, message);
       });
}

void FleetEmulation::DeliverToAgent(size_t entry_index,
                                    uint64_t entry_life,
                                    size_t agent_index,
                                    MonoTime sent_at,
                                    const LinkMessage& message) {
  Agent& agent = *m_agents[agent_index];
  if (agent.m_executor == nullptr ||
      m_entries[entry_index]->m_life != entry_life) {
    return;
  }
  if (agent.m_frozen_until > m_now) {
    Post(agent.m_frozen_until, [this, entry_index, entry_life, agent_index,
                                sent_at, message]() {
      DeliverToAgent(entry_index, entry_life, agent_index, sent_at, message);
    });
    return;
  }
  const ProcessId& entry = m_entries[entry_index]->m_id;
  agent.m_heard[entry_index] = m_now;
  if (const auto* start = std::get_if<StartRun>(&message)) {
    // Lengths on the wire.
    StartRun received = *start;
    received.m_abandon_at += m_now - sent_at;
    received.m_queue_until += m_now - sent_at;
    agent.m_executor->OnStartRun(entry, received, m_now);
  } else if (const auto* stop = std::get_if<StopRun>(&message)) {
    agent.m_executor->OnStopRun(entry, *stop, m_now);
  } else if (const auto* claim = std::get_if<Claim>(&message)) {
    agent.m_executor->OnClaim(entry, *claim, m_now);
  }
  WakeAgent(agent_index);
}

void FleetEmulation::DeliverToEntry(size_t agent_index,
                                    uint64_t connection,
                                    size_t entry_index,
                                    const LinkMessage& message) {
  Entry& entry = *m_entries[entry_index];
  if (entry.m_scheduler == nullptr || !entry.m_heard.contains(agent_index) ||
      m_connections[{entry_index, agent_index}] != connection) {
    return;
  }
  if (entry.m_frozen_until > m_now) {
    Post(entry.m_frozen_until,
         [this, agent_index, connection, entry_index, message]() {
           DeliverToEntry(agent_index, connection, entry_index, message);
         });
    return;
  }
  entry.m_heard[agent_index] = m_now;
  const std::string name = AgentName(agent_index);
  if (const auto* status = std::get_if<RunnerStatus>(&message)) {
    entry.m_scheduler->OnStatus(name, *status, m_now);
  } else if (const auto* report = std::get_if<RunReport>(&message)) {
    entry.m_scheduler->OnReport(name, *report, m_now);
  }
  WakeEntry(entry_index);
}

void FleetEmulation::WakeEntry(size_t index) {
  Entry& entry = *m_entries[index];
  if (entry.m_tick_at <= m_now) {
    return;
  }
  entry.m_tick_at = m_now;
  Post(m_now, [this, index, life = entry.m_life]() {
    if (m_entries[index]->m_life == life) {
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
  const uint64_t life = entry.m_life;
  const auto tick_at = [&](MonoTime at) {
    entry.m_tick_at = std::max(at, m_now + Milliseconds(1));
    Post(entry.m_tick_at, [this, index, life, at = entry.m_tick_at]() {
      if (m_entries[index]->m_life == life &&
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
      const size_t agent = std::stoul(send->m_agent.substr(6));
      SendToAgentLater(index, agent, std::move(send->m_message));
      continue;
    }
    const auto& answer = std::get<AnswerJob>(action);
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
  Post(m_now, [this, index, life = agent.m_life]() {
    if (m_agents[index]->m_life == life) {
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
  const uint64_t life = agent.m_life;
  const auto tick_at = [&](MonoTime at) {
    agent.m_tick_at = std::max(at, m_now + Milliseconds(1));
    Post(agent.m_tick_at, [this, index, life, at = agent.m_tick_at]() {
      if (m_agents[index]->m_life == life && m_agents[index]->m_tick_at == at) {
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
    } else if (const auto* start = std::get_if<OrderStart>(&action)) {
      Order(index, *start);
    } else if (const auto* stop = std::get_if<OrderStop>(&action)) {
      Order(index, *stop);
    } else {
      Order(index, std::get<OrderLook>(action));
    }
  }
  tick_at(agent.m_executor->NextDeadline(m_now));
}

void FleetEmulation::SendHeartbeat(size_t index) {
  Agent& agent = *m_agents[index];
  const uint64_t life = agent.m_life;
  if (agent.m_executor == nullptr) {
    return;
  }
  RunnerReport report;
  report.m_life = agent.m_runner->life();
  report.m_service = "service";
  report.m_zone = "zone-" + std::to_string(index % 4);
  report.m_labels = {RackOf(index)};
  report.m_capacity = agent.m_runner->capacity();
  report.m_is_draining = agent.m_is_draining;
  report.m_sequence = ++agent.m_heartbeats;
  if (agent.m_frozen_until <= m_now) {
    agent.m_executor->OnHeartbeat(report, m_now);
    WakeAgent(index);
  }
  Post(m_now + kHeartbeatInterval, [this, index, life]() {
    if (m_agents[index]->m_life == life) {
      SendHeartbeat(index);
    }
  });
}

bool FleetEmulation::IsOrderLost() {
  return m_now < m_order_loss_until && std::uniform_real_distribution<double>(
                                           0.0, 1.0)(m_random) < m_order_loss;
}

Microseconds FleetEmulation::LateDelay() {
  return kMinLateDelay +
         Microseconds(static_cast<int64_t>(
             m_random() % static_cast<uint64_t>(3 * kMinLateDelay.count())));
}

void FleetEmulation::Order(size_t index, const OrderStart& order) {
  const uint64_t life = m_agents[index]->m_life;
  const bool is_lost = IsOrderLost();
  const Microseconds delay = is_lost ? LateDelay() : m_options.m_order_delay;
  Post(m_now + delay, [this, index, life, order, is_lost]() {
    Agent& agent = *m_agents[index];
    const StartAnswer answer = agent.m_runner->Start(order, m_now);
    CheckDoubleRuns();
    WatchRunner(index);
    if (!is_lost && agent.m_life == life) {
      agent.m_executor->OnStartAnswer(order.m_life, order.m_run, answer, m_now);
      WakeAgent(index);
    }
  });
  if (is_lost) {
    Post(order.m_give_up_at, [this, index, life, order]() {
      if (m_agents[index]->m_life == life) {
        m_agents[index]->m_executor->OnStartAnswer(
            order.m_life, order.m_run, StartAnswer::kUnknown, m_now);
        WakeAgent(index);
      }
    });
  }
}

void FleetEmulation::Order(size_t index, const OrderStop& order) {
  const uint64_t life = m_agents[index]->m_life;
  const bool is_lost = IsOrderLost();
  const Microseconds delay = is_lost ? LateDelay() : m_options.m_order_delay;
  if (is_lost) {
    Post(order.m_give_up_at, [this, index, life, order]() {
      if (m_agents[index]->m_life == life) {
        m_agents[index]->m_executor->OnStopAnswer(order.m_life, order.m_run,
                                                  StopAnswer::kUnknown, m_now);
        WakeAgent(index);
      }
    });
  }
  Post(m_now + delay, [this, index, life, order, is_lost]() {
    Agent& agent = *m_agents[index];
    const StopAnswer answer = agent.m_runner->Stop(order, m_now);
    WatchRunner(index);
    if (!is_lost && agent.m_life == life) {
      agent.m_executor->OnStopAnswer(order.m_life, order.m_run, answer, m_now);
      WakeAgent(index);
    }
  });
}

void FleetEmulation::Order(size_t index, const OrderLook& order) {
  const uint64_t life = m_agents[index]->m_life;
  if (IsOrderLost()) {
    Post(order.m_give_up_at, [this, index, life, order]() {
      if (m_agents[index]->m_life == life) {
        m_agents[index]->m_executor->OnLookAnswer(
            order.m_life, LookFailure::kNoAnswer, m_now);
        WakeAgent(index);
      }
    });
    return;
  }
  Post(m_now + m_options.m_order_delay, [this, index, life, order]() {
    Agent& agent = *m_agents[index];
    // The call renews the lease when it arrives, whenever it is answered.
    agent.m_runner->Look(order, m_now);
    agent.m_looks.push_back({life, order});
    Post(order.m_answer_by, [this, index]() { WatchRunner(index); });
    WatchRunner(index);
  });
}

// Answers looks that have something to tell, and comes back at the next end.
void FleetEmulation::WatchRunner(size_t index) {
  Agent& agent = *m_agents[index];
  agent.m_runner->Advance(m_now);
  auto looks = std::exchange(agent.m_looks, {});
  for (Agent::Waiting& look : looks) {
    if (agent.m_runner->has_news() || look.m_order.m_answer_by <= m_now) {
      AnswerLook(index, look.m_life, look.m_order);
    } else {
      agent.m_looks.push_back(std::move(look));
    }
  }
  const MonoTime next = agent.m_runner->NextEnd();
  if (next != MonoTime::max() &&
      (next < agent.m_watch_at || agent.m_watch_at <= m_now)) {
    agent.m_watch_at = std::max(next, m_now + Microseconds(1));
    Post(agent.m_watch_at, [this, index]() { WatchRunner(index); });
  }
}

void FleetEmulation::AnswerLook(size_t index,
                                uint64_t life,
                                const OrderLook& order) {
  const auto answer = m_agents[index]->m_runner->Look(order, m_now);
  Post(m_now + m_options.m_order_delay, [this, index, life, order, answer]() {
    Agent& agent = *m_agents[index];
    if (agent.m_life != life) {
      return;
    }
    const MonoTime at = std::max(m_now, agent.m_frozen_until);
    if (at > m_now) {
      Post(at, [this, index, life, order, answer]() {
        if (m_agents[index]->m_life == life) {
          m_agents[index]->m_executor->OnLookAnswer(order.m_life, answer,
                                                    m_now);
          WakeAgent(index);
        }
      });
      return;
    }
    agent.m_executor->OnLookAnswer(order.m_life, answer, m_now);
    WakeAgent(index);
  });
}

void FleetEmulation::CheckDoubleRuns() {
  std::set<TaskKey> working;
  for (const auto& agent : m_agents) {
    agent->m_runner->Advance(m_now);
    for (const TaskKey& task : agent->m_runner->Working()) {
      if (!working.insert(task).second) {
        ++m_double_runs;
      }
    }
  }
}

void FleetEmulation::KillEntry(size_t index) {
  Entry& entry = *m_entries[index];
  ++entry.m_life;
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
  Post(m_now + kRestartDelay, [this, index, life = entry.m_life]() {
    if (m_entries[index]->m_life == life) {
      StartEntry(index);
    }
  });
}

void FleetEmulation::KillAgent(size_t index) {
  Agent& agent = *m_agents[index];
  ++agent.m_life;
  agent.m_executor.reset();
  agent.m_tick_at = MonoTime::max();
  agent.m_looks.clear();
  for (const auto& entry : m_entries) {
    if (entry->m_scheduler && entry->m_heard.erase(index) > 0) {
      entry->m_scheduler->OnAgentDisconnected(AgentName(index), m_now);
    }
  }
  Post(m_now + kRestartDelay, [this, index, life = agent.m_life]() {
    if (m_agents[index]->m_life == life) {
      StartAgent(index);
    }
  });
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

void FleetEmulation::LoseOrders(double share, Microseconds length) {
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
