#ifndef PLACEMENT_QUOTA_H_
#define PLACEMENT_QUOTA_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// The rate limit of one client, summed over all entries.
struct ClientQuota {
  std::string m_client;
  // Tasks per second; must be above 0.
  double m_rate = 0;
  // Largest number of tasks that may be submitted at once.
  double m_burst = 0;
  // Weight in the fair queue; must be above 0.
  double m_weight = 1;
};

// A part of one client's quota that one entry lends to another for a lease.
// Clients and entries are given by HashDigestName().
struct QuotaLoan {
  uint32_t m_client = 0;
  uint32_t m_borrower = 0;
  // Thousandths of the client's whole rate.
  uint16_t m_permille = 0;
  // Time left on the lease when the digest was made.
  Milliseconds m_time_left{0};
};

// An entry's quota usage as reported to its peers on acks: at most
// kMaxDigestItems clients whose share it used up, and as many loans.
struct UsageDigest {
  std::vector<uint32_t> m_exhausted_clients;
  std::vector<QuotaLoan> m_loans;
};

inline constexpr size_t kMaxDigestItems = 16;

// Returns the 32-bit FNV-1a hash that identifies a client or entry in digests.
uint32_t HashDigestName(std::string_view name);

// One entry's token buckets for the quotas of all clients, without a central
// counter. Each entry's share is the rate and the burst divided by the number
// of live entries. An entry that leaves part of its share unused lends that
// part for a lease and gives it up until the lease ends. The borrower counts
// the lease from when it sent the ping, so it never uses a loan for longer than
// the lender gives it up.
class QuotaTable {
 public:
  explicit QuotaTable(std::string_view self);

  // Replaces the quotas. Clients that are still listed keep their tokens.
  void SetQuotas(MonoTime now, const std::vector<ClientQuota>& quotas);

  // `entries` is the number of live entries including this one; at least 1. The
  // share shrinks at once, but grows only after one lease, when the peers have
  // learned of the change too.
  void SetEntries(MonoTime now, uint32_t entries);

  // Returns whether a quota is set for the client.
  bool HasClient(const std::string& client) const;

  // Takes `tasks` tokens from the client's share. A job larger than the burst
  // passes when the share is full and leaves a negative balance, which must be
  // refilled before the next job passes. Returns false when the share is used
  // up or the client is unknown.
  bool TryConsume(MonoTime now, const std::string& client, uint32_t tasks);

  // Returns when a job of `tasks` tasks would pass; MonoTime::max() when the
  // client is unknown.
  MonoTime AvailableAt(MonoTime now, const std::string& client, uint32_t tasks);

  // Applies a peer's digest. `as_of` is when this entry sent the ping that the
  // digest answers.
  void OnPeerUsage(MonoTime as_of,
                   std::string_view peer,
                   const UsageDigest& digest);

  // Returns this entry's digest. Starts a new lease with new loans when the
  // last lease has ended.
  UsageDigest Usage(MonoTime now);

  // Memory in bytes for each client, without its name.
  static constexpr size_t ClientBytes() { return sizeof(Client); }

 private:
  struct Client {
    double m_rate = 0;
    double m_burst = 0;
    // Tokens at m_refilled_at; below 0 after a job larger than the burst.
    double m_tokens = 0;
    MonoTime m_refilled_at;
    // Tasks requested in the current lease and in the one before it.
    double m_requested = 0;
    double m_requested_in_last_lease = 0;
    // Lent and borrowed parts in thousandths of the whole rate. Loans given end
    // with the lease.
    uint16_t m_lent = 0;
    uint16_t m_borrowed = 0;
    MonoTime m_borrowed_until;
    // Peers are asked for a loan until then, because the share was used up.
    MonoTime m_exhausted_until;
  };
  struct Loan {
    uint32_t m_client = 0;
    uint32_t m_borrower = 0;
    uint16_t m_permille = 0;
  };

  double RefillRate(MonoTime now, const Client& client) const;
  MonoTime NextRateChange(MonoTime now, const Client& client) const;
  void Refill(MonoTime now, Client& client) const;
  void RefillAll(MonoTime now);
  double EntryShare(MonoTime now) const;
  void StartLease(MonoTime now);
  void Lend(MonoTime now, uint32_t name, Client& client);

  uint32_t m_self;
  uint32_t m_entries = 1;
  uint32_t m_previous_entries = 1;
  MonoTime m_entries_changed_at;
  std::unordered_map<uint32_t, Client> m_clients;
  // When the request of a peer for more of a client's quota expires, by the
  // hashes of client and peer.
  std::map<std::pair<uint32_t, uint32_t>, MonoTime> m_borrow_requests;
  std::vector<Loan> m_loans;
  MonoTime m_lease_until;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_QUOTA_H_
