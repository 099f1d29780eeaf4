#include "placement/quota.h"

#include <algorithm>
#include <cmath>

namespace comfreyshift {
namespace {

// Loans are made anew once in this time. Peers hear of each other by pings, so
// it has to be several ping rounds among the entries.
constexpr Microseconds kLease = std::chrono::seconds(10);

// A lender keeps this many times what it used, and at least this share.
constexpr double kKeepFactor = 1.5;
constexpr double kLeastKept = 0.25;

constexpr double kPermille = 1000;

double Seconds(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

Microseconds TimeFor(double tasks, double rate) {
  return Microseconds(static_cast<int64_t>(std::ceil(tasks / rate * 1e6)));
}

}  // namespace

uint32_t DigestName(std::string_view name) {
  uint32_t hash = 2166136261U;
  for (const char c : name) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 16777619U;
  }
  return hash;
}

QuotaTable::QuotaTable(std::string_view self) : m_self(DigestName(self)) {}

void QuotaTable::SetQuotas(MonoTime now,
                           const std::vector<ClientQuota>& quotas) {
  std::unordered_map<uint32_t, Client> clients;
  for (const ClientQuota& quota : quotas) {
    const uint32_t name = DigestName(quota.m_client);
    const auto found = m_clients.find(name);
    Client client = found == m_clients.end() ? Client() : found->second;
    if (found == m_clients.end()) {
      client.m_tokens = quota.m_burst * Share(now);
      client.m_settled = now;
    } else {
      Settle(now, client);
    }
    client.m_rate = quota.m_rate;
    client.m_burst = quota.m_burst;
    clients.emplace(name, client);
  }
  m_clients = std::move(clients);
}

void QuotaTable::SetEntries(MonoTime now, uint32_t entries) {
  if (entries != m_entries) {
    SettleAll(now);
    m_entries_before = m_entries;
    m_entries = std::max(entries, 1U);
    m_entries_since = now;
  }
}

double QuotaTable::Share(MonoTime now) const {
  const bool settled = now >= m_entries_since + kLease;
  const uint32_t entries =
      settled ? m_entries : std::max(m_entries, m_entries_before);
  return 1.0 / entries;
}

double QuotaTable::RateOf(MonoTime now, const Client& client) const {
  double share = Share(now);
  if (now < m_lease_until) {
    share -= client.m_lent / kPermille;
  }
  if (now < client.m_borrowed_until) {
    share += client.m_borrowed / kPermille;
  }
  return client.m_rate * std::max(share, 1 / kPermille);
}

// Returns the next time at which the client's rate changes by itself.
MonoTime QuotaTable::NextChange(MonoTime now, const Client& client) const {
  MonoTime next = MonoTime::max();
  for (const MonoTime time :
       {client.m_borrowed_until, m_lease_until, m_entries_since + kLease}) {
    if (time > now) {
      next = std::min(next, time);
    }
  }
  return next;
}

// Adds what the client earned since it was last settled.
void QuotaTable::Settle(MonoTime now, Client& client) const {
  while (client.m_settled < now) {
    const MonoTime until = std::min(now, NextChange(client.m_settled, client));
    const double earned =
        RateOf(client.m_settled, client) * Seconds(until - client.m_settled);
    const double most = client.m_burst * Share(client.m_settled);
    client.m_tokens = std::min(client.m_tokens + earned, most);
    client.m_settled = until;
  }
}

void QuotaTable::SettleAll(MonoTime now) {
  for (auto& [name, client] : m_clients) {
    Settle(now, client);
  }
}

bool QuotaTable::Knows(const std::string& client) const {
  return m_clients.contains(DigestName(client));
}

MonoTime QuotaTable::WhenFree(MonoTime now,
                              const std::string& name,
                              uint32_t tasks) {
  const auto found = m_clients.find(DigestName(name));
  if (found == m_clients.end()) {
    return MonoTime::max();
  }
  Client& client = found->second;
  Settle(now, client);
  const double most = client.m_burst * Share(now);
  const double missing =
      std::min(static_cast<double>(tasks), most) - client.m_tokens;
  // The sum of many small earnings may stay a rounding error below the burst.
  constexpr double kRounding = 1e-6;
  return missing <= kRounding ? now
                              : now + TimeFor(missing, RateOf(now, client));
}

bool QuotaTable::Take(MonoTime now, const std::string& name, uint32_t tasks) {
  const auto found = m_clients.find(DigestName(name));
  if (found == m_clients.end()) {
    return false;
  }
  Client& client = found->second;
  client.m_asked += tasks;
  if (WhenFree(now, name, tasks) > now) {
    client.m_wants_until = now + kLease;
    return false;
  }
  client.m_tokens -= tasks;
  return true;
}

void QuotaTable::OnPeerUsage(MonoTime as_of,
                             std::string_view peer,
                             const UsageDigest& digest) {
  const uint32_t from = DigestName(peer);
  for (const uint32_t client : digest.m_wants) {
    m_wanted[{client, from}] = as_of + kLease;
  }
  for (const QuotaLoan& loan : digest.m_loans) {
    const auto found = m_clients.find(loan.m_client);
    if (found == m_clients.end() || loan.m_borrower != m_self) {
      continue;
    }
    // One loan at a time: with several lenders the largest counts.
    Client& client = found->second;
    Settle(as_of, client);
    const MonoTime until = as_of + loan.m_left;
    const bool ended = client.m_borrowed_until <= as_of;
    if (ended || loan.m_permille >= client.m_borrowed) {
      client.m_borrowed = loan.m_permille;
      client.m_borrowed_until = until;
    }
  }
}

void QuotaTable::Lend(MonoTime now, uint32_t name, Client& client) {
  std::vector<uint32_t> borrowers;
  for (auto wanted = m_wanted.lower_bound({name, 0});
       wanted != m_wanted.end() && wanted->first.first == name; ++wanted) {
    if (wanted->second > now) {
      borrowers.push_back(wanted->first.second);
    }
  }
  const double own = client.m_rate * Share(now);
  const double used = client.m_asked_before / Seconds(kLease);
  const double kept = std::max(kKeepFactor * used, kLeastKept * own);
  if (borrowers.empty() || kept >= own || now < client.m_wants_until) {
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
  SettleAll(now);
  m_loans.clear();
  m_lease_until = now + kLease;
  for (auto& [name, client] : m_clients) {
    client.m_lent = 0;
    client.m_asked_before = client.m_asked;
    client.m_asked = 0;
    Lend(now, name, client);
  }
  std::erase_if(m_wanted,
                [now](const auto& item) { return item.second <= now; });
}

UsageDigest QuotaTable::Usage(MonoTime now) {
  if (now >= m_lease_until) {
    StartLease(now);
  }
  UsageDigest digest;
  for (const auto& [name, client] : m_clients) {
    if (now < client.m_wants_until && digest.m_wants.size() < kMaxDigestItems) {
      digest.m_wants.push_back(name);
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
