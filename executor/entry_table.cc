#include "executor/entry_table.h"

#include <algorithm>

#include "executor/report_cache.h"

namespace comfreyshift {

namespace {

// Minimum interval of statuses to one entry. A status is repeated after
// kStatusRepeatInterval, which also shows the entry that this agent is alive.
constexpr Milliseconds kMinStatusInterval{2};
constexpr Milliseconds kStatusRepeatInterval{150};

}  // namespace

void EntryTable::OnConnected(const ProcessId& entry, MonoTime now) {
  Entry& known = m_entries[entry];
  for (auto& [id, other] : m_entries) {
    if (id.m_name != entry.m_name) {
      continue;
    }
    if (id.m_incarnation < entry.m_incarnation) {
      other.m_is_replaced = true;
      other.m_alive_until = now;
    }
    known.m_is_replaced |= id.m_incarnation > entry.m_incarnation;
  }
  known.m_is_connected = true;
  known.m_sequence = 0;
  known.m_is_status_due = true;
  known.m_next_status_at = now;
}

void EntryTable::OnDisconnected(const ProcessId& entry) {
  const auto found = m_entries.find(entry);
  if (found != m_entries.end()) {
    found->second.m_is_connected = false;
  }
}

void EntryTable::ExtendLiveness(Entry& entry, MonoTime agent_clock) {
  entry.m_alive_until =
      std::max(entry.m_alive_until, agent_clock + kEntryHeartbeatTimeout);
}

void EntryTable::OnEntryHeartbeat(const ProcessId& entry,
                                  const EntryHeartbeat& heartbeat,
                                  MonoTime now) {
  const auto found = m_entries.find(entry);
  if (found == m_entries.end() || found->second.m_is_replaced ||
      heartbeat.m_agent_clock > now) {
    return;
  }
  Entry& known = found->second;
  if (heartbeat.m_status_interval < known.m_status_interval) {
    known.m_is_status_due = true;
    known.m_next_status_at = std::min(known.m_next_status_at, now);
  }
  known.m_status_interval = heartbeat.m_status_interval;
  ExtendLiveness(known, heartbeat.m_agent_clock);
}

bool EntryTable::ApplyStartRun(const ProcessId& entry,
                               const StartRun& start,
                               MonoTime now) {
  const auto found = m_entries.find(entry);
  if (found == m_entries.end()) {
    return false;
  }
  found->second.m_sequence = start.m_sequence;
  const bool is_entry_alive =
      !found->second.m_is_replaced && start.m_agent_clock <= now &&
      now < start.m_agent_clock + kEntryHeartbeatTimeout;
  if (is_entry_alive) {
    ExtendLiveness(found->second, start.m_agent_clock);
  }
  return is_entry_alive;
}

void EntryTable::OnReport(const ProcessId& entry, MonoTime now) {
  const auto found = m_entries.find(entry);
  if (found != m_entries.end()) {
    found->second.m_is_status_due = true;
    found->second.m_next_status_at =
        std::min(found->second.m_next_status_at, now);
  }
}

Microseconds EntryTable::IdleTimeout(const ProcessId& entry) const {
  const auto found = m_entries.find(entry);
  return IdleConnectionTimeout(found == m_entries.end()
                                   ? Microseconds(0)
                                   : found->second.m_status_interval);
}

bool EntryTable::IsAlive(const ProcessId& entry, MonoTime now) const {
  const auto found = m_entries.find(entry);
  return found != m_entries.end() && now < found->second.m_alive_until;
}

void EntryTable::RemoveExpired(MonoTime now) {
  std::erase_if(m_entries, [now](const auto& item) {
    return !item.second.m_is_connected &&
           item.second.m_alive_until + kReportRetention <= now;
  });
}

std::vector<EntryTable::DueStatus> EntryTable::TakeDue(bool has_changed,
                                                       MonoTime now) {
  std::vector<DueStatus> due;
  for (auto& [id, entry] : m_entries) {
    entry.m_is_status_due |= has_changed;
    const MonoTime at = entry.m_is_status_due ? entry.m_next_status_at
                                              : entry.m_status_repeat_at;
    if (!entry.m_is_connected || now < at) {
      continue;
    }
    entry.m_is_status_due = false;
    entry.m_next_status_at =
        now +
        std::max<Microseconds>(kMinStatusInterval, entry.m_status_interval);
    entry.m_status_repeat_at =
        now +
        std::max<Microseconds>(kStatusRepeatInterval, entry.m_status_interval);
    due.push_back({id, entry.m_sequence});
  }
  return due;
}

MonoTime EntryTable::NextDeadline(MonoTime now) const {
  MonoTime next = MonoTime::max();
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_alive_until > now) {
      next = std::min(next, entry.m_alive_until);
    }
    if (entry.m_is_connected) {
      next = std::min(next, entry.m_is_status_due ? entry.m_next_status_at
                                                  : entry.m_status_repeat_at);
    }
  }
  return next;
}

}  // namespace comfreyshift
