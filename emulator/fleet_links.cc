#include "emulator/fleet_emulation.h"

#include <algorithm>
#include <utility>

#include "emulator/fleet_processes.h"

// The connections between entries and agents, and the messages on them.

namespace comfreyshift {

namespace {

// An entry tries again to connect to an agent after this time.
constexpr Milliseconds kReconnectPause{100};

}  // namespace

// Connects again and again until the agent answers, as an entry does.
void FleetEmulation::Connect(size_t entry_index, size_t agent_index) {
  const uint64_t incarnation = m_entries[entry_index]->m_process_incarnation;
  if (m_entries[entry_index]->m_scheduler == nullptr) {
    return;
  }
  TryConnect(entry_index, agent_index);
  Post(m_now + kReconnectPause,
       [this, entry_index, agent_index, incarnation]() {
         if (m_entries[entry_index]->m_process_incarnation == incarnation) {
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
      m_now >= entry.m_scheduler->SilenceDeadline(AgentName(agent_index),
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
  const uint64_t incarnation = m_entries[entry]->m_process_incarnation;
  Post(ArrivalAt(entry, agent),
       [this, entry, incarnation, agent, sent_at = m_now,
        message = std::move(message)]() {
         DeliverToAgent(entry, incarnation, agent, sent_at, message);
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
         ++m_messages;
         const MonoTime at = ProcessedAt(entry);
         if (at == m_now) {
           DeliverToEntry(agent, connection, entry, message);
           return;
         }
         Post(at, [this, agent, connection, entry, message]() {
           DeliverToEntry(agent, connection, entry, message);
         });
       });
}

MonoTime FleetEmulation::ProcessedAt(size_t entry) {
  if (m_options.m_entry_message_times.empty()) {
    return m_now;
  }
  MonoTime& busy_until = m_entries[entry]->m_busy_until;
  busy_until =
      std::max(busy_until, m_now) + m_options.m_entry_message_times[entry];
  return busy_until;
}

void FleetEmulation::DeliverToAgent(size_t entry_index,
                                    uint64_t entry_life,
                                    size_t agent_index,
                                    MonoTime sent_at,
                                    const LinkMessage& message) {
  Agent& agent = *m_agents[agent_index];
  if (agent.m_executor == nullptr ||
      m_entries[entry_index]->m_process_incarnation != entry_life) {
    return;
  }
  if (agent.m_frozen_until > m_now) {
    Post(agent.m_frozen_until, [this, entry_index, entry_life, agent_index,
                                sent_at, message]() {
      DeliverToAgent(entry_index, entry_life, agent_index, sent_at, message);
    });
    return;
  }
  ++m_messages;
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
  } else if (const auto* heartbeat = std::get_if<EntryHeartbeat>(&message)) {
    agent.m_executor->OnEntryHeartbeat(entry, *heartbeat, m_now);
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

}  // namespace comfreyshift
