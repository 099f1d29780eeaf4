#ifndef NET_CLIENT_BUDGET_H_
#define NET_CLIENT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// Why a client's connection was closed or its request refused.
enum class ClientLimit : uint8_t {
  kMemory,
  kConnections,
  kBodyBytes,
  kBodyPieces,
  kHeadFields,
  kHeadTime,
  kBodyTime,
  kAnswerTime,
  kLinkFrame,
  kLinkHelloTime,
  kLinkConnections,
  // Not a limit: the number of them.
  kCount,
};

// Returns the name of a limit in logs and metrics.
std::string_view ToString(ClientLimit limit);

// Connections are closed until the bytes held are this share of the maximum, so
// that victims are not looked for with each further byte.
inline constexpr double kBudgetLowMark = 0.9;

// A connection without progress for this long may be closed in favor of a new
// one. Well-behaved clients send a request of 256 KiB within it.
inline constexpr Milliseconds kConnectionGrace{1000};

struct ClientBudgetLimits {
  size_t m_max_bytes = SIZE_MAX;
  size_t m_max_connections = SIZE_MAX;
};

// Derives the share of a process's memory and descriptors that its clients may
// use. The rest is left to the process's own work.
ClientBudgetLimits DeriveClientLimits(uint64_t memory_mb,
                                      uint64_t max_descriptors);

// Accounts for the bytes and connections that the clients of a process hold,
// over all listening addresses, and chooses which connections to close when
// there are too many. It makes no system calls; callers pass the time in.
class ClientBudget {
 public:
  using Id = uint64_t;
  // Closes the connection. Called with the record already removed.
  using CloseFunction = std::function<void(ClientLimit)>;

  enum class State : uint8_t {
    // Carries no request.
    kIdle,
    // A request is being received, or its answer is being written.
    kTransferring,
    // The handler of its request is at work. Never closed by the budget.
    kRunning,
  };

  explicit ClientBudget(ClientBudgetLimits limits = {});
  ClientBudget(const ClientBudget&) = delete;
  ClientBudget& operator=(const ClientBudget&) = delete;

  // Takes in a connection from `address`. Over the maximum, first closes others
  // in its favor; returns 0 if none may be closed. `is_reserved` admits it in
  // any case.
  Id Open(const std::string& address,
          bool is_reserved,
          MonoTime now,
          CloseFunction close);
  // Removes a connection; an unknown one is ignored.
  void Close(Id id);
  // Sets the bytes that a connection holds now. Closes connections if there are
  // too many, perhaps this one.
  void Hold(Id id, size_t bytes, MonoTime now);
  // Records that a connection has progressed.
  void SetProgress(Id id, MonoTime now);
  // Entering kTransferring counts as progress.
  void SetState(Id id, State state, MonoTime now);

  // Whether the bytes held are within the maximum. Otherwise requests that are
  // being run hold them.
  bool has_room() const { return m_bytes <= m_limits.m_max_bytes; }
  size_t bytes() const { return m_bytes; }
  // The most bytes held since the last ResetPeak.
  size_t peak_bytes() const { return m_peak_bytes; }
  void ResetPeak() { m_peak_bytes = m_bytes; }
  size_t connections() const { return m_connections.size(); }
  const ClientBudgetLimits& limits() const { return m_limits; }

  // Counts and logs a connection closed or a request refused.
  void Record(ClientLimit limit, std::string_view address);
  uint64_t count(ClientLimit limit) const {
    return m_counts[static_cast<size_t>(limit)];
  }

 private:
  struct Usage {
    size_t m_bytes = 0;
    size_t m_connections = 0;
  };
  using UsageByAddress = std::map<std::string, Usage>;
  struct Connection {
    UsageByAddress::iterator m_usage;
    CloseFunction m_close;
    size_t m_bytes = 0;
    State m_state = State::kIdle;
    MonoTime m_progress_at;
  };
  using Connections = std::unordered_map<Id, Connection>;

  void Remove(Connections::iterator found);
  void CloseForMemory(MonoTime now);
  bool CloseForConnection(MonoTime now);
  void CloseAll(const std::vector<Id>& victims, ClientLimit limit);

  ClientBudgetLimits m_limits;
  Connections m_connections;
  UsageByAddress m_usage;
  size_t m_bytes = 0;
  size_t m_peak_bytes = 0;
  Id m_next_id = 1;
  // Running connections may hold more than the maximum; no victims are looked
  // for again before this time.
  MonoTime m_next_search_at;
  bool m_is_closing = false;
  std::array<uint64_t, static_cast<size_t>(ClientLimit::kCount)> m_counts{};
};

// The record of one connection in a budget, for as long as this object lives.
class ClientAccount {
 public:
  ClientAccount(std::shared_ptr<ClientBudget> budget,
                std::string address,
                bool is_reserved,
                ClientBudget::CloseFunction close);
  ~ClientAccount();
  ClientAccount(const ClientAccount&) = delete;
  ClientAccount& operator=(const ClientAccount&) = delete;

  bool is_admitted() const { return m_id != 0; }
  const std::string& address() const { return m_address; }
  ClientBudget& budget() const { return *m_budget; }

  // Sets the bytes held in this process's own buffers, and those held
  // elsewhere on the connection's behalf.
  void Hold(size_t bytes);
  void HoldOutside(size_t bytes);
  size_t held_bytes() const { return m_held_bytes; }
  // Removes the record; the object does nothing from then on.
  void Close() { m_budget->Close(m_id); }
  void SetProgress(MonoTime now) { m_budget->SetProgress(m_id, now); }
  void SetState(ClientBudget::State state);
  // Counts and logs what happened to this connection.
  void Record(ClientLimit limit) { m_budget->Record(limit, m_address); }

 private:
  std::shared_ptr<ClientBudget> m_budget;
  std::string m_address;
  ClientBudget::Id m_id;
  size_t m_held_bytes = 0;
  size_t m_outside_bytes = 0;
};

}  // namespace comfreyshift

#endif  // NET_CLIENT_BUDGET_H_
