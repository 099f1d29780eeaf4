#include "net/client_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

constexpr uint64_t kBytesPerMegabyte = uint64_t{1} << 20;

// A quarter of the memory is for what clients hold. A process holds 15 to 25 MB
// without clients, and the allocator needs up to half more than what is
// charged.
constexpr uint64_t kMemoryDivisor = 4;

// Descriptors kept for files (the platform reserves 200) and for the process's
// own connections, but at most half of all.
constexpr uint64_t kOwnDescriptors = 200 + 400;

// One part in this many of the connections is closed at a time when there are
// too many, so that victims are not looked for with each new connection.
constexpr size_t kConnectionBatchDivisor = 32;

// Time between two searches for victims while running requests alone hold more
// than the maximum.
constexpr Milliseconds kSearchPause{20};

}  // namespace

std::string_view ToString(ClientLimit limit) {
  switch (limit) {
    case ClientLimit::kMemory:
      return "memory";
    case ClientLimit::kConnections:
      return "connections";
    case ClientLimit::kBodyBytes:
      return "body_bytes";
    case ClientLimit::kBodyPieces:
      return "body_pieces";
    case ClientLimit::kHeadFields:
      return "head_fields";
    case ClientLimit::kHeadTime:
      return "head_time";
    case ClientLimit::kBodyTime:
      return "body_time";
    case ClientLimit::kAnswerTime:
      return "answer_time";
    case ClientLimit::kLinkFrame:
      return "link_frame";
    case ClientLimit::kLinkHelloTime:
      return "link_hello_time";
    case ClientLimit::kLinkConnections:
      return "link_connections";
    case ClientLimit::kCount:
      break;
  }
  return "unknown";
}

ClientBudgetLimits DeriveClientLimits(uint64_t memory_mb,
                                      uint64_t max_descriptors) {
  const uint64_t own = std::min(kOwnDescriptors, max_descriptors / 2);
  return {static_cast<size_t>(memory_mb * kBytesPerMegabyte / kMemoryDivisor),
          static_cast<size_t>(max_descriptors - own)};
}

ClientBudget::ClientBudget(ClientBudgetLimits limits) : m_limits(limits) {}

ClientBudget::Id ClientBudget::Open(const std::string& address,
                                    bool is_reserved,
                                    MonoTime now,
                                    CloseFunction close) {
  if (m_connections.size() >= m_limits.m_max_connections &&
      !CloseForConnection(now) && !is_reserved) {
    Record(ClientLimit::kConnections, address);
    return 0;
  }
  const Id id = m_next_id++;
  const auto usage = m_usage.try_emplace(address).first;
  ++usage->second.m_connections;
  m_connections[id] = {usage, std::move(close), 0, State::kIdle, now};
  return id;
}

void ClientBudget::Close(Id id) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    Remove(found);
  }
}

void ClientBudget::Remove(Connections::iterator found) {
  const Connection& connection = found->second;
  Usage& usage = connection.m_usage->second;
  m_bytes -= connection.m_bytes;
  usage.m_bytes -= connection.m_bytes;
  if (--usage.m_connections == 0) {
    m_usage.erase(connection.m_usage);
  }
  m_connections.erase(found);
}

void ClientBudget::Hold(Id id, size_t bytes, MonoTime now) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  Usage& usage = connection.m_usage->second;
  m_bytes = m_bytes - connection.m_bytes + bytes;
  usage.m_bytes = usage.m_bytes - connection.m_bytes + bytes;
  connection.m_bytes = bytes;
  m_peak_bytes = std::max(m_peak_bytes, m_bytes);
  if (!has_room() && !m_is_closing && now >= m_next_search_at) {
    CloseForMemory(now);
  }
}

void ClientBudget::SetProgress(Id id, MonoTime now) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    found->second.m_progress_at = now;
  }
}

void ClientBudget::SetState(Id id, State state, MonoTime now) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    found->second.m_state = state;
    found->second.m_progress_at = now;
  }
}

void ClientBudget::CloseForMemory(MonoTime now) {
  struct Candidate {
    size_t m_address_bytes;
    double m_cost;
    size_t m_bytes;
    Id m_id;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, connection] : m_connections) {
    if (connection.m_state != State::kRunning && connection.m_bytes > 0) {
      const auto stalled = now - connection.m_progress_at + Milliseconds(1);
      candidates.push_back({connection.m_usage->second.m_bytes,
                            static_cast<double>(connection.m_bytes) *
                                static_cast<double>(stalled.count()),
                            connection.m_bytes, id});
    }
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return std::tie(a.m_address_bytes, a.m_cost, b.m_id) >
           std::tie(b.m_address_bytes, b.m_cost, a.m_id);
  });
  const auto goal = static_cast<size_t>(
      kBudgetLowMark * static_cast<double>(m_limits.m_max_bytes));
  size_t left = m_bytes;
  std::vector<Id> victims;
  for (const Candidate& candidate : candidates) {
    if (left <= goal) {
      break;
    }
    left -= candidate.m_bytes;
    victims.push_back(candidate.m_id);
  }
  CloseAll(victims, ClientLimit::kMemory);
  if (!has_room()) {
    m_next_search_at = now + kSearchPause;
  }
}

bool ClientBudget::CloseForConnection(MonoTime now) {
  struct Candidate {
    bool m_is_idle;
    size_t m_address_connections;
    MonoTime m_progress_at;
    Id m_id;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, connection] : m_connections) {
    const bool is_idle = connection.m_state == State::kIdle;
    const bool is_stalled = connection.m_state == State::kTransferring &&
                            now >= connection.m_progress_at + kConnectionGrace;
    if (is_idle || is_stalled) {
      candidates.push_back({is_idle, connection.m_usage->second.m_connections,
                            connection.m_progress_at, id});
    }
  }
  const size_t count =
      std::min(candidates.size(),
               1 + m_limits.m_max_connections / kConnectionBatchDivisor);
  std::partial_sort(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
      [](const Candidate& a, const Candidate& b) {
        return std::tie(b.m_is_idle, b.m_address_connections, a.m_progress_at,
                        a.m_id) < std::tie(a.m_is_idle, a.m_address_connections,
                                           b.m_progress_at, b.m_id);
      });
  std::vector<Id> victims;
  for (size_t i = 0; i < count; ++i) {
    victims.push_back(candidates[i].m_id);
  }
  CloseAll(victims, ClientLimit::kConnections);
  return !victims.empty();
}

void ClientBudget::CloseAll(const std::vector<Id>& victims, ClientLimit limit) {
  m_is_closing = true;
  for (const Id id : victims) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
      continue;
    }
    const CloseFunction close = std::move(found->second.m_close);
    Record(limit, found->second.m_usage->first);
    Remove(found);
    close(limit);
  }
  m_is_closing = false;
}

void ClientBudget::Record(ClientLimit limit, std::string_view address) {
  ++m_counts[static_cast<size_t>(limit)];
  LogEvent(LogLevel::kWarning, "net", "client_limited",
           {{"address", std::string(address)},
            {"reason", std::string(ToString(limit))},
            {"held_bytes", uint64_t{m_bytes}},
            {"connections", uint64_t{m_connections.size()}}});
}

ClientAccount::ClientAccount(std::shared_ptr<ClientBudget> budget,
                             std::string address,
                             bool is_reserved,
                             ClientBudget::CloseFunction close)
    : m_budget(std::move(budget)),
      m_address(std::move(address)),
      m_id(m_budget->Open(m_address,
                          is_reserved,
                          BootClock::now(),
                          std::move(close))) {}

ClientAccount::~ClientAccount() {
  m_budget->Close(m_id);
}

void ClientAccount::Hold(size_t bytes) {
  if (m_held_bytes != bytes) {
    m_held_bytes = bytes;
    m_budget->Hold(m_id, m_held_bytes + m_outside_bytes, BootClock::now());
  }
}

void ClientAccount::HoldOutside(size_t bytes) {
  if (m_outside_bytes != bytes) {
    m_outside_bytes = bytes;
    m_budget->Hold(m_id, m_held_bytes + m_outside_bytes, BootClock::now());
  }
}

void ClientAccount::SetState(ClientBudget::State state) {
  m_budget->SetState(m_id, state, BootClock::now());
}

}  // namespace comfreyshift
