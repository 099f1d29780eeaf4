#include "membership/membership.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace comfreyshift {
namespace {

// A Tick later than its deadline by more than this counts as a pause. The
// timeouts themselves tolerate shorter delays.
constexpr Milliseconds kPauseThreshold{50};

// Clock rates may differ by 1,000 ppm, and the age of a proof is summed over
// the clocks of several processes, so a proof lasts 2,000 ppm less than
// configured.
constexpr int kClockAllowanceDivisor = 500;

// The 16-bit proof age of an ack holds up to 65 s.
constexpr std::chrono::seconds kMaxLifetime{60};

Microseconds ReducedLifetime(Microseconds lifetime) {
  const Microseconds capped = std::min(lifetime, Microseconds(kMaxLifetime));
  return capped - capped / kClockAllowanceDivisor;
}

}  // namespace

Membership::Membership(MembershipConfig config,
                       Member self,
                       uint64_t seed,
                       MonoTime now)
    : m_config(std::move(config)),
      m_self(std::move(self)),
      m_key(MakeProcessKey(m_self.m_id)),
      m_freshness(m_self.m_id, ReducedLifetime(m_config.m_proof_lifetime)),
      m_table(m_config, m_key),
      m_prober(m_config, m_self, seed, now),
      m_expected_tick(MonoTime::max()) {}

void Membership::SetMembers(MonoTime now,
                            Revision table_revision,
                            MemberList members,
                            const std::vector<WitnessSet>& previous) {
  if (table_revision <= m_table_revision) {
    return;
  }
  m_table_revision = table_revision;
  m_freshness.AddTable(table_revision, SelectWitnesses(*members), previous);
  m_table.SetMembers(std::move(members));
  m_prober.Reshuffle(m_table.rows().size());
  CollectEvents(now);
}

void Membership::SetMembers(MonoTime now,
                            Revision table_revision,
                            std::vector<Member> members,
                            const std::vector<WitnessSet>& previous) {
  SetMembers(now, table_revision,
             std::make_shared<const std::vector<Member>>(std::move(members)),
             previous);
}

void Membership::DropWitnessSetsBefore(MonoTime now, Revision table_revision) {
  m_freshness.DropSetsBefore(table_revision);
  CollectEvents(now);
}

void Membership::SetSeeds(std::vector<Address> seeds) {
  m_prober.SetSeeds(std::move(seeds));
}

void Membership::SetAppliedRevision(MonoTime now, Revision revision) {
  m_freshness.Apply(revision);
  CollectEvents(now);
}

void Membership::OnStoreRead(Revision revision, MonoTime sent_at) {
  if (!m_freshness.OnStoreRead(revision, sent_at)) {
    ++m_counters.m_lower_store_reads;
  }
}

void Membership::SetLocalLoad(MemberLoad load) {
  m_load = load;
}

void Membership::OnDatagram(MonoTime now,
                            const Address& from,
                            std::span<const uint8_t> bytes) {
  ++m_counters.m_received;
  m_counters.m_received_bytes += bytes.size();
  const auto decoded = DecodeDatagram(bytes, m_key, m_config.m_fleet_key);
  if (!decoded) {
    ++m_counters.m_rejected[static_cast<size_t>(decoded.error())];
    return;
  }
  if (IsReplayed(decoded.value())) {
    ++m_counters.m_replayed;
    return;
  }
  Handle(now, from, decoded.value());
  CollectEvents(now);
  Flush();
}

void Membership::Handle(MonoTime now,
                        const Address& from,
                        const DecodedDatagram& in) {
  for (const MemberUpdate& update : in.m_updates) {
    m_table.Apply(now, update);
  }
  std::visit([&](const auto& body) { HandleBody(now, from, in, body); },
             in.m_body);
}

// Acks need no check here: each must match an open ping.
bool Membership::IsReplayed(const DecodedDatagram& in) {
  const bool opens = std::holds_alternative<Ping>(in.m_body) ||
                     std::holds_alternative<PingRequest>(in.m_body);
  MemberRow* row = m_table.Find(in.m_sender);
  return opens && row != nullptr && !MemberTable::AcceptNonce(*row, in.m_nonce);
}

void Membership::HandleBody(MonoTime now,
                            const Address& from,
                            const DecodedDatagram& in,
                            const Ping& ping) {
  RecordRevision(in.m_sender, from, ping.m_revision);
  SendAck(now, from, in.m_sender, in.m_nonce);
}

void Membership::HandleBody(MonoTime,
                            const Address& from,
                            const DecodedDatagram& in,
                            const Ack& ack) {
  const auto probe = m_prober.TakeAnswered(in.m_sender, in.m_nonce);
  if (!probe) {
    ++m_counters.m_unmatched;
    return;
  }
  m_freshness.OnAck(in.m_sender, ack, probe->m_sent_at);
  RecordRevision(in.m_sender, from, ack.m_revision);
  if (probe->m_relay) {
    const RelayRequest& relay = *probe->m_relay;
    m_prober.Send(
        {relay.m_address, relay.m_requester, relay.m_nonce, RelayedAck{}});
  }
  if (m_table.Find(in.m_sender) != nullptr) {
    m_events.emplace_back(PeerLoad{IdOf(in.m_sender), ack.m_load});
  }
}

void Membership::HandleBody(MonoTime now,
                            const Address& from,
                            const DecodedDatagram& in,
                            const PingRequest& request) {
  m_prober.Relay(now, m_table, request.m_target,
                 {in.m_sender, from, in.m_nonce});
}

void Membership::HandleBody(MonoTime,
                            const Address&,
                            const DecodedDatagram& in,
                            const RelayedAck&) {
  if (!m_prober.OnRelayedAck(in.m_nonce)) {
    ++m_counters.m_unmatched;
  }
}

void Membership::HandleBody(MonoTime now,
                            const Address& from,
                            const DecodedDatagram& in,
                            const Join& join) {
  const ProcessKey joining = MakeProcessKey(join.m_member.m_id);
  if (joining != in.m_sender || IsOutdated(join.m_member)) {
    ++m_counters.m_replayed;
    return;
  }
  if (m_table.Find(joining) == nullptr) {
    m_events.emplace_back(JoinRequested{join.m_member});
  }
  SendAck(now, from, joining, in.m_nonce);
}

bool Membership::IsOutdated(const Member& joining) const {
  const std::vector<Member>& members = m_table.members();
  return std::any_of(members.begin(), members.end(), [&](const Member& listed) {
    return listed.m_id.m_name == joining.m_id.m_name &&
           listed.m_id.m_incarnation > joining.m_id.m_incarnation;
  });
}

void Membership::RecordRevision(ProcessKey sender,
                                const Address& from,
                                Revision revision) {
  m_freshness.OnRevisionReported(sender, revision);
  if (revision <= m_freshness.applied()) {
    return;
  }
  const MemberRow* row = m_table.Find(sender);
  if (row == nullptr) {
    m_events.emplace_back(NewerRevisionSeen{from, revision});
  } else {
    m_events.emplace_back(NewerRevisionSeen{m_table.MemberOf(*row), revision});
  }
}

void Membership::SendAck(MonoTime now,
                         const Address& to,
                         ProcessKey receiver,
                         uint64_t nonce) {
  Ack ack;
  m_freshness.FillAck(now, ack);
  ack.m_load = m_load;
  m_prober.Send({to, receiver, nonce, ack});
}

void Membership::Tick(MonoTime now) {
  DetectPause(now);
  m_prober.Tick(now, m_table, ExtraMembersToPing(now));
  m_table.ExpireSuspicions(now);
  CollectEvents(now);
  Flush();
  m_expected_tick = NextDeadline();
}

// Postpones the deadlines that ran while this process was paused: it could not
// receive anything then, so their expiry does not indicate failures of others.
void Membership::DetectPause(MonoTime now) {
  if (m_expected_tick == MonoTime::max() ||
      now <= m_expected_tick + kPauseThreshold) {
    return;
  }
  ++m_counters.m_pauses;
  const Microseconds pause = now - m_expected_tick;
  m_prober.Postpone(pause);
  m_table.Postpone(pause);
}

std::vector<ProcessKey> Membership::ExtraMembersToPing(MonoTime now) const {
  std::vector<ProcessKey> extra = m_table.SuspectsToPing(now);
  // Operators and takeovers wait for entries to see a revision confirmed.
  if (m_self.m_role == MemberRole::kEntry &&
      ConfirmedRevision() < m_freshness.applied()) {
    const std::vector<ProcessKey> unconfirmed = m_freshness.Unconfirmed();
    extra.insert(extra.end(), unconfirmed.begin(), unconfirmed.end());
  }
  return extra;
}

void Membership::CollectEvents(MonoTime now) {
  for (const LivenessChange& change : m_table.TakeChanges()) {
    const ProcessId id = IdOf(change.m_key);
    switch (change.m_state) {
      case MemberState::kAlive:
        m_events.emplace_back(MemberAlive{id});
        break;
      case MemberState::kSuspected:
        m_events.emplace_back(MemberSuspected{id});
        break;
      case MemberState::kDead:
        m_events.emplace_back(MemberDead{id});
        break;
    }
  }
  const Revision confirmed = ConfirmedRevision();
  if (confirmed > m_reported_confirmed) {
    m_reported_confirmed = confirmed;
    m_events.emplace_back(RevisionConfirmed{confirmed});
  }
  const ProofState state = m_freshness.StateAt(now);
  if (state != m_state) {
    m_state = state;
    m_events.emplace_back(ProofStateChanged{state});
  }
  // The handled input may have postponed the next deadline, and a Tick that
  // waits for the later deadline is not late.
  m_expected_tick = std::max(m_expected_tick, NextDeadline());
}

void Membership::Flush() {
  for (OutgoingDatagram& out : m_prober.TakeOutgoing()) {
    DecodedDatagram datagram;
    datagram.m_sender = m_key;
    datagram.m_nonce = out.m_nonce;
    datagram.m_body = std::move(out.m_body);
    datagram.m_updates = m_table.TakeUpdates(out.m_receiver);
    if (Ping* ping = std::get_if<Ping>(&datagram.m_body)) {
      ping->m_revision = m_freshness.applied();
    }
    auto bytes = EncodeDatagram(datagram, out.m_receiver, m_config.m_fleet_key);
    ++m_counters.m_sent;
    m_counters.m_sent_bytes += bytes.size();
    m_datagrams.push_back({std::move(out.m_to), std::move(bytes)});
  }
}

MonoTime Membership::NextDeadline() const {
  MonoTime next = std::min(m_prober.NextDeadline(), m_table.NextDeadline());
  if (m_state == ProofState::kFresh) {
    next = std::min(next, m_freshness.StoreProofEnd());
  } else if (m_state == ProofState::kFrozen) {
    next = std::min(next, m_freshness.FreshUntil());
  }
  return next;
}

std::vector<OutboundDatagram> Membership::TakeDatagrams() {
  return std::exchange(m_datagrams, {});
}

std::vector<MembershipEvent> Membership::TakeEvents() {
  return std::exchange(m_events, {});
}

MonoTime Membership::FreshUntil() const {
  return m_freshness.FreshUntil();
}

MonoTime Membership::StoreProofUntil() const {
  return m_freshness.StoreProofEnd();
}

ProofState Membership::StateAt(MonoTime now) const {
  return m_freshness.StateAt(now);
}

bool Membership::MayStart(MonoTime now) const {
  const bool listed =
      m_self.m_role == MemberRole::kEntry || m_table.lists_self();
  return listed && now < m_freshness.FreshUntil();
}

bool Membership::HasWitnessMajority(MonoTime now) const {
  return m_freshness.HasWitnessMajority(now);
}

std::vector<WitnessProgress> Membership::WitnessesAt(Revision revision) const {
  return m_freshness.WitnessesAt(revision);
}

std::vector<WitnessSet> Membership::UnretiredSets() const {
  return m_freshness.UnretiredSets();
}

Revision Membership::ConfirmedRevision() const {
  return m_freshness.ConfirmedRevision();
}

std::vector<ProcessId> Membership::LiveMembers() const {
  std::vector<ProcessId> live;
  for (const MemberRow& row : m_table.rows()) {
    if (row.m_state != MemberState::kDead) {
      live.push_back(m_table.MemberOf(row).m_id);
    }
  }
  return live;
}

ProcessId Membership::IdOf(ProcessKey key) const {
  const MemberRow* row = m_table.Find(key);
  return row == nullptr ? ProcessId() : m_table.MemberOf(*row).m_id;
}

size_t Membership::StateBytes() const {
  return sizeof(Membership) + m_table.StateBytes() + m_prober.StateBytes();
}

}  // namespace comfreyshift
