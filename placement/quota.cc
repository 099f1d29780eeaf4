#include "placement/quota.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {
namespace {

// Duration of a lease. Peers learn of each other's loans by pings, so it must
// span several rounds of pings among the entries.
constexpr Microseconds kLease = std::chrono::seconds(10);

// A lender keeps this multiple of the rate that it used in the last lease, and
// at least this fraction of its share.
constexpr double kKeepFactor = 1.5;
constexpr double kMinKeptShare = 0.25;

constexpr double kPermille = 1000;

double Seconds(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

Microseconds TimeFor(double tasks, double rate) {
  return Microseconds(static_cast<int64_t>(std::ceil(tasks / rate * 1e6)));
}

}  // namespace

uint32_t HashDigestName(std::string_view name) {
  uint32_t hash = 2166136261U;
  for (const char c : name) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 16777619U;
  }
  return hash;
}

QuotaTable::QuotaTable(std::string_view self) : m_self(HashDigestName(self)) {}

void QuotaTable::SetQuotas(MonoTime now,
                           const std::vector<ClientQuota>& quotas) {
  std::unordered_map<uint32_t, Client> clients;
  for (const ClientQuota& quota : quotas) {
    const uint32_t name = HashDigestName(quota.m_client);
    const auto found = m_clients.find(name);
    Client client = found == m_clients.end() ? Client() : found->second;
    if (found == m_clients.end()) {
      client.m_tokens = quota.m_burst * EntryShare(now);
      client.m_refilled_at = now;
    } else {
      Refill(now, client);
    }
    client.m_rate = quota.m_rate;
    client.m_burst = quota.m_burst;
    clients.emplace(name, client);
  }
  m_clients = std::move(clients);
}

void QuotaTable::SetEntries(MonoTime now, uint32_t entries) {
  if (entries != m_entries) {
    RefillAll(now);
    m_previous_entries = m_entries;
    m_entries = std::max(entries, 1U);
    m_entries_changed_at = now;
  }
}

double QuotaTable::EntryShare(MonoTime now) const {
  const bool settled = now >= m_entries_changed_at + kLease;
  const uint32_t entries =
      settled ? m_entries : std::max(m_entries, m_previous_entries);
  return 1.0 / entries;
}

double QuotaTable::RefillRate(MonoTime now, const Client& client) const {
  double share = EntryShare(now);
  if (now < m_lease_until) {
    share -= client.m_lent / kPermille;
  }
  if (now < client.m_borrowed_until) {
    share += client.m_borrowed / kPermille;
  }
  return client.m_rate * std::max(share, 1 / kPermille);
}

// Returns the next time at which the client's refill rate changes because a
// loan or a lease ends.
MonoTime QuotaTable::NextRateChange(MonoTime now, const Client& client) const {
  MonoTime next = MonoTime::max();
  for (const MonoTime time : {client.m_borrowed_until, m_lease_until,
                              m_entries_changed_at + kLease}) {
    if (time > now) {
      next = std::min(next, time);
    }
  }
  return next;
}

// Adds the tokens that the client gained since its last refill.
void QuotaTable::Refill(MonoTime now, Client& client) const {
  while (client.m_refilled_at < now) {
    const MonoTime until =
        std::min(now, NextRateChange(client.m_refilled_at, client));
    const double refilled = RefillRate(client.m_refilled_at, client) *
                            Seconds(until - client.m_refilled_at);
    const double max_tokens = client.m_burst * EntryShare(client.m_refilled_at);
    client.m_tokens = std::min(client.m_tokens + refilled, max_tokens);
    client.m_refilled_at = until;
  }
}

void QuotaTable::RefillAll(MonoTime now) {
  for (auto& [name, client] : m_clients) {
    Refill(now, client);
  }
}

bool QuotaTable::HasClient(const std::string& client) const {
  return m_clients.contains(HashDigestName(client));
}

MonoTime QuotaTable::AvailableAt(MonoTime now,
                                 const std::string& name,
                                 uint32_t tasks) {
  const auto found = m_clients.find(HashDigestName(name));
  if (found == m_clients.end()) {
    return MonoTime::max();
  }
  Client& client = found->second;
  Refill(now, client);
  const double max_tokens = client.m_burst * EntryShare(now);
  const double missing =
      std::min(static_cast<double>(tasks), max_tokens) - client.m_tokens;
  // The sum of many small refills may stay a rounding error below the burst.
  constexpr double kRounding = 1e-6;
  return missing <= kRounding ? now
                              : now + TimeFor(missing, RefillRate(now, client));
}

bool QuotaTable::TryConsume(MonoTime now,
                            const std::string& name,
                            uint32_t tasks) {
  const auto found = m_clients.find(HashDigestName(name));
  if (found == m_clients.end()) {
    return false;
  }
  Client& client = found->second;
  client.m_requested += tasks;
  if (AvailableAt(now, name, tasks) > now) {
    client.m_exhausted_until = now + kLease;
    return false;
  }
  client.m_tokens -= tasks;
  return true;
}

void QuotaTable::OnPeerUsage(MonoTime as_of,
                             std::string_view peer,
                             const UsageDigest& digest) {
  const uint32_t from = HashDigestName(peer);
  for (const uint32_t client : digest.m_exhausted_clients) {
    m_borrow_requests[{client, from}] = as_of + kLease;
  }
  for (const QuotaLoan& loan : digest.m_loans) {
    const auto found = m_clients.find(loan.m_client);
    if (found == m_clients.end() || loan.m_borrower != m_self) {
      continue;
    }
    // Only one loan counts at a time; with several lenders it is the largest.
    Client& client = found->second;
    Refill(as_of, client);
    const MonoTime until = as_of + loan.m_time_left;
    const bool ended = client.m_borrowed_until <= as_of;
    if (ended || loan.m_permille >= client.m_borrowed) {
      client.m_borrowed = loan.m_permille;
      client.m_borrowed_until = until;
    }
  }
}

void QuotaTable::Lend(MonoTime now, uint32_t name, Client& client) {
  std::vector<uint32_t> borrowers;
  for (auto wanted = m_borrow_requests.lower_bound({name, 0});
       wanted != m_borrow_requests.end() && wanted->first.first == name;
       ++wanted) {
    if (wanted->second > now) {
      borrowers.push_back(wanted->first.second);
    }
  }
  const double own = client.m_rate * EntryShare(now);
  const double used = client.m_requested_in_last_lease / Seconds(kLease);
  const double kept = std::max(kKeepFactor * used, kMinKeptShare * own);
  if (borrowers.empty() || kept >= own || now < client.m_exhausted_until) {
    return;
  }
  const double spare = (own - kept) / client.m_rate * kPermille;
  const auto each =
      static_cast<uint16_t>(spare / static_cast<double>(borrowers.size()));
  for (const uint32_t borrower : borrowers) {
    if (each > 0 && m_loans.size() < kMaxDigestItems) {
      m_loans.push_back({name, borrower, each});
      client.m_lent += each;
    }
  }
}

void QuotaTable::StartLease(MonoTime now) {
  RefillAll(now);
  m_loans.clear();
  m_lease_until = now + kLease;
  for (auto& [name, client] : m_clients) {
    client.m_lent = 0;
    client.m_requested_in_last_lease = client.m_requested;
    client.m_requested = 0;
    Lend(now, name, client);
  }
  std::erase_if(m_borrow_requests,
                [now](const auto& item) { return item.second <= now; });
}

UsageDigest QuotaTable::Usage(MonoTime now) {
  if (now >= m_lease_until) {
    StartLease(now);
  }
  UsageDigest digest;
  for (const auto& [name, client] : m_clients) {
    if (now < client.m_exhausted_until &&
        digest.m_exhausted_clients.size() < kMaxDigestItems) {
      digest.m_exhausted_clients.push_back(name);
    }
  }
  const auto left =
      std::chrono::duration_cast<Milliseconds>(m_lease_until - now);
  for (const Loan& loan : m_loans) {
    digest.m_loans.push_back(
        {loan.m_client, loan.m_borrower, loan.m_permille, left});
  }
  return digest;
}

}  // namespace comfreyshift
