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

// What one client may submit, over all entries.
struct ClientQuota {
  std::string m_client;
  // Tasks a second; must be above 0.
  double m_rate = 0;
  // Tasks at once.
  double m_burst = 0;
  // Share in the fair queue; must be above 0.
  double m_weight = 1;
};

// A part of one client's quota that one entry leaves to another one.
struct QuotaLoan {
  uint32_t m_client = 0;
  uint32_t m_borrower = 0;
  // Of the client's whole rate.
  uint16_t m_permille = 0;
  // Time left when the digest was made.
  Milliseconds m_left{0};
};

// What an entry tells its peers, carried on acks: at most kMaxDigestItems
// clients whose share it used up, and as many loans.
struct UsageDigest {
  std::vector<uint32_t> m_wants;
  std::vector<QuotaLoan> m_loans;
};

inline constexpr size_t kMaxDigestItems = 16;

// How clients and entries are named in digests: the FNV-1a hash of the name.
uint32_t DigestName(std::string_view name);

// One entry's part of all quotas, without a central counter. Each entry has
// the rate and the burst over the number of live entries. An entry that leaves
// part of its share unused lends it for a lease and does without it until the
// lease ends; the borrower counts the lease from when it sent the ping, so it
// never uses a loan for longer than the lender does without it.
class QuotaTable {
 public:
  explicit QuotaTable(std::string_view self);

  // Replaces the quotas; balances of clients that stay are kept.
  void SetQuotas(MonoTime now, const std::vector<ClientQuota>& quotas);

  // `entries` is the number of live entries with this one; at least 1. The
  // share falls at once and rises only after a lease, when peers know as well.
  void SetEntries(MonoTime now, uint32_t entries);

  // Returns whether the client is known.
  bool Knows(const std::string& client) const;

  // Takes `tasks` from the client's share. A job larger than the burst passes
  // when the share is full, and is paid back before the next one. Returns false
  // when the share is used up or the client is unknown.
  bool Take(MonoTime now, const std::string& client, uint32_t tasks);

  // Returns when a job of `tasks` would pass.
  MonoTime WhenFree(MonoTime now, const std::string& client, uint32_t tasks);

  // Takes a peer's digest. `as_of` is when the ping was sent that it answers.
  void OnPeerUsage(MonoTime as_of,
                   std::string_view peer,
                   const UsageDigest& digest);

  // Returns this entry's digest, and makes new loans when the last ones ended.
  UsageDigest Usage(MonoTime now);

  // Bytes for each client, without its name.
  static constexpr size_t ClientBytes() { return sizeof(Client); }

 private:
  struct Client {
    double m_rate = 0;
    double m_burst = 0;
    // Balance at m_settled; below 0 after a job larger than the burst.
    double m_tokens = 0;
    MonoTime m_settled;
    // Tasks asked for in this lease, and in the last one.
    double m_asked = 0;
    double m_asked_before = 0;
    // Parts of the whole rate, in permille, and when each ends.
    uint16_t m_lent = 0;
    uint16_t m_borrowed = 0;
    MonoTime m_borrowed_until;
    // This entry used its share up until then.
    MonoTime m_wants_until;
  };
  struct Loan {
    uint32_t m_client = 0;
    uint32_t m_borrower = 0;
    uint16_t m_permille = 0;
  };

  double RateOf(MonoTime now, const Client& client) const;
  MonoTime NextChange(MonoTime now, const Client& client) const;
  void Settle(MonoTime now, Client& client) const;
  void SettleAll(MonoTime now);
  double Share(MonoTime now) const;
  void StartLease(MonoTime now);
  void Lend(MonoTime now, uint32_t name, Client& client);

  uint32_t m_self;
  uint32_t m_entries = 1;
  uint32_t m_entries_before = 1;
  MonoTime m_entries_since;
  std::unordered_map<uint32_t, Client> m_clients;
  // Peers that want more of a client's quota, and until when that is believed.
  std::map<std::pair<uint32_t, uint32_t>, MonoTime> m_wanted;
  std::vector<Loan> m_loans;
  MonoTime m_lease_until;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_QUOTA_H_
