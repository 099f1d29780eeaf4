#include "membership/prober.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace comfreyshift {
namespace {

// Ping periods per join.
constexpr uint64_t kPeriodsPerJoin = 5;
// A dead member is pinged in one of this many of its turns on average, so that
// members find each other again after a network partition.
constexpr uint64_t kTurnsPerDeadPing = 8;

}  // namespace

Prober::Prober(const MembershipConfig& config,
               const Member& self,
               uint64_t seed,
               MonoTime now)
    : m_config(config), m_self(self), m_random(seed) {
  // A random phase spreads the pings of processes that start together.
  const auto period = Microseconds(m_config.m_ping_period).count();
  m_next_ping_at =
      now + Microseconds(m_random.Below(static_cast<uint64_t>(period)));
}

void Prober::Reshuffle(size_t members) {
  m_order.resize(members);
  std::iota(m_order.begin(), m_order.end(), 0U);
  std::shuffle(m_order.begin(), m_order.end(), m_random);
  m_position = 0;
}

void Prober::SetSeeds(std::vector<Address> seeds) {
  m_seeds = std::move(seeds);
}

void Prober::Tick(MonoTime now,
                  MemberTable& table,
                  const std::vector<ProcessKey>& extra_members) {
  CheckProbes(now, table);
  if (now < m_next_ping_at) {
    return;
  }
  m_next_ping_at = std::max(m_next_ping_at, now - m_config.m_ping_period) +
                   m_config.m_ping_period;
  ++m_round;
  PingNext(now, table);
  PingExtra(now, table, extra_members);
  if (!table.lists_self() && m_round % kPeriodsPerJoin == 1) {
    SendJoin(now, table);
  }
}

void Prober::PingNext(MonoTime now, MemberTable& table) {
  for (size_t tries = 0; tries < m_order.size(); ++tries) {
    if (m_position == m_order.size()) {
      Reshuffle(m_order.size());
    }
    const MemberRow& row = table.rows()[m_order[m_position++]];
    if (row.m_state == MemberState::kDead &&
        m_random.Below(kTurnsPerDeadPing) != 0) {
      continue;
    }
    SendPing(now, table, row, {});
    return;
  }
}

void Prober::PingExtra(MonoTime now,
                       MemberTable& table,
                       const std::vector<ProcessKey>& extra_members) {
  if (extra_members.empty()) {
    return;
  }
  const MemberRow* row =
      table.Find(extra_members[m_round % extra_members.size()]);
  if (row != nullptr) {
    SendPing(now, table, *row, {});
  }
}

void Prober::SendPing(MonoTime now,
                      const MemberTable& table,
                      const MemberRow& target,
                      std::optional<RelayRequest> relay) {
  Probe probe;
  probe.m_nonce = m_next_nonce++;
  probe.m_target = target.m_key;
  probe.m_sent_at = now;
  probe.m_deadline = now + m_config.m_ack_timeout;
  // Only pings to members believed alive are followed by indirect probes.
  // Without those, a failed ping must not make a member suspected again that
  // has just refuted a suspicion.
  probe.m_suspect_on_failure =
      target.m_state == MemberState::kAlive && !relay.has_value();
  probe.m_relay = std::move(relay);
  m_outgoing.push_back({table.MemberOf(target).m_datagram_address, target.m_key,
                        probe.m_nonce, Ping{}});
  m_probes.push_back(std::move(probe));
}

void Prober::SendJoin(MonoTime now, const MemberTable& table) {
  const std::vector<Address> addresses = JoinAddresses(table);
  if (addresses.empty()) {
    return;
  }
  const uint64_t nonce = m_next_nonce++;
  Probe probe;
  probe.m_nonce = nonce;
  probe.m_sent_at = now;
  probe.m_deadline = now + m_config.m_ack_timeout;
  m_probes.push_back(std::move(probe));
  m_outgoing.push_back(
      {addresses[m_random.Below(addresses.size())], 0, nonce, Join{m_self}});
}

std::vector<Address> Prober::JoinAddresses(const MemberTable& table) const {
  std::vector<Address> addresses = m_seeds;
  for (const Member& member : table.members()) {
    if (member.m_role == MemberRole::kEntry) {
      addresses.push_back(member.m_datagram_address);
    }
  }
  return addresses;
}

void Prober::Relay(MonoTime now,
                   MemberTable& table,
                   ProcessKey target,
                   RelayRequest request) {
  const MemberRow* row = table.Find(target);
  if (row != nullptr) {
    SendPing(now, table, *row, std::move(request));
  }
}

void Prober::CheckProbes(MonoTime now, MemberTable& table) {
  std::vector<Probe> kept;
  for (Probe& probe : m_probes) {
    const bool due = probe.m_deadline <= now;
    if (due && probe.m_suspect_on_failure && !probe.m_indirect) {
      probe.m_indirect = true;
      probe.m_deadline = now + m_config.m_indirect_timeout;
      SendIndirectProbes(probe, table);
    } else if (due) {
      if (probe.m_suspect_on_failure) {
        table.Suspect(now, probe.m_target);
      }
      continue;
    }
    kept.push_back(std::move(probe));
  }
  m_probes = std::move(kept);
}

void Prober::SendIndirectProbes(const Probe& probe, MemberTable& table) {
  const std::vector<MemberRow>& rows = table.rows();
  std::vector<ProcessKey> asked;
  // The number of draws is bounded because most members may be dead.
  const uint32_t max_draws = 8 * m_config.m_indirect_probes;
  for (uint32_t draw = 0;
       draw < max_draws && asked.size() < m_config.m_indirect_probes; ++draw) {
    const MemberRow& row = rows[m_random.Below(rows.size())];
    if (row.m_key == probe.m_target || row.m_state != MemberState::kAlive ||
        std::find(asked.begin(), asked.end(), row.m_key) != asked.end()) {
      continue;
    }
    asked.push_back(row.m_key);
    m_outgoing.push_back({table.MemberOf(row).m_datagram_address, row.m_key,
                          probe.m_nonce, PingRequest{probe.m_target}});
  }
}

std::optional<Probe> Prober::TakeAnswered(ProcessKey sender, uint64_t nonce) {
  const auto it =
      std::find_if(m_probes.begin(), m_probes.end(), [&](const Probe& probe) {
        return probe.m_nonce == nonce &&
               (probe.m_target == 0 || probe.m_target == sender);
      });
  if (it == m_probes.end()) {
    return std::nullopt;
  }
  Probe probe = std::move(*it);
  m_probes.erase(it);
  return probe;
}

bool Prober::OnRelayedAck(uint64_t nonce) {
  return std::erase_if(m_probes, [&](const Probe& probe) {
           return probe.m_nonce == nonce && probe.m_indirect;
         }) > 0;
}

void Prober::Send(OutgoingDatagram datagram) {
  m_outgoing.push_back(std::move(datagram));
}

std::vector<OutgoingDatagram> Prober::TakeOutgoing() {
  return std::exchange(m_outgoing, {});
}

void Prober::Postpone(Microseconds pause) {
  for (Probe& probe : m_probes) {
    probe.m_deadline += pause;
  }
}

MonoTime Prober::NextDeadline() const {
  MonoTime next = m_next_ping_at;
  for (const Probe& probe : m_probes) {
    next = std::min(next, probe.m_deadline);
  }
  return next;
}

size_t Prober::StateBytes() const {
  return m_order.capacity() * sizeof(uint32_t) +
         m_probes.capacity() * sizeof(Probe) +
         m_outgoing.capacity() * sizeof(OutgoingDatagram);
}

}  // namespace comfreyshift
