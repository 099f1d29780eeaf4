#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: which processes are alive, and
// whether this process may act on the configuration that it has applied.

#include <array>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "core/core.h"
#include "membership/config.h"
#include "membership/datagram.h"
#include "membership/freshness.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/prober.h"
#include "membership/witness.h"

namespace comfreyshift {

struct MemberSuspected {
  ProcessId m_id;
};

struct MemberDead {
  ProcessId m_id;
};

// A member refuted the suspicion or its declared death.
struct MemberAlive {
  ProcessId m_id;
};

// A peer has applied a newer revision than this process, which should fetch it
// from there. Repeated for each datagram that reports a newer revision.
struct NewerRevisionSeen {
  // Only the address when the table does not list the peer.
  std::variant<Member, Address> m_peer;
  Revision m_revision = 0;
};

struct JoinRequested {
  Member m_member;
};

// More than half of the witnesses of each table that may be in use have applied
// this revision or a newer one. One proof lifetime later no process starts work
// under an older revision.
struct RevisionConfirmed {
  Revision m_revision = 0;
};

struct ProofStateChanged {
  ProofState m_state = ProofState::kCutOff;
};

struct PeerLoad {
  ProcessId m_id;
  MemberLoad m_load;
};

using MembershipEvent = std::variant<MemberSuspected,
                                     MemberDead,
                                     MemberAlive,
                                     NewerRevisionSeen,
                                     JoinRequested,
                                     RevisionConfirmed,
                                     ProofStateChanged,
                                     PeerLoad>;

// A datagram to send through the process's datagram socket.
struct OutboundDatagram {
  Address m_to;
  std::vector<uint8_t> m_bytes;
};

struct MembershipCounters {
  uint64_t m_sent = 0;
  uint64_t m_sent_bytes = 0;
  uint64_t m_received = 0;
  uint64_t m_received_bytes = 0;
  // Rejected datagrams, by DatagramError.
  std::array<uint64_t, 4> m_rejected{};
  // Pings and ping requests with a nonce that was seen before or is too old,
  // and joins with an outdated incarnation or another sender's key.
  uint64_t m_replayed = 0;
  // Acks that match no open ping, because they are late or repeated.
  uint64_t m_unmatched = 0;
  // Store reads with a revision below the applied one.
  uint64_t m_lower_store_reads = 0;
  // Ticks so late that the process must have been paused.
  uint64_t m_pauses = 0;
};

// One process's part in the SWIM-style failure detector and in the gossip of
// freshness proofs. Does no I/O. Every call that takes `now` must be given a
// clock reading made after the datagram or store answer that it handles has
// arrived: with an earlier reading a process that was paused in between would
// understate the age of its proof.
class Membership {
 public:
  // `seed` must differ between processes. `self` must have a higher incarnation
  // than any earlier process with the same name.
  Membership(MembershipConfig config, Member self, uint64_t seed, MonoTime now);

  // Sets the members that the table written at `table_revision` lists.
  // `previous` are the witness sets that its writer could not yet retire: the
  // writer's UnretiredSets(), which are empty only for the very first table.
  // Must be called before SetAppliedRevision of `table_revision` or any later
  // revision. Ignores a table that is not newer than the last one.
  void SetMembers(MonoTime now,
                  Revision table_revision,
                  MemberList members,
                  const std::vector<WitnessSet>& previous);
  void SetMembers(MonoTime now,
                  Revision table_revision,
                  std::vector<Member> members,
                  const std::vector<WitnessSet>& previous);

  // Stops waiting for the witnesses of tables before `table_revision`. Meant
  // for a table that an operator forced after more than half of the witnesses
  // were lost. Processes that are partitioned together with those witnesses may
  // continue under an older revision, so even one proof lifetime later nothing
  // is certain about them.
  void DropWitnessSetsBefore(MonoTime now, Revision table_revision);

  // Sets the entries' addresses to which a process that the table does not list
  // yet sends its joins.
  void SetSeeds(std::vector<Address> seeds);

  // From now on this process acts only on `revision`. A lower one is ignored.
  void SetAppliedRevision(MonoTime now, Revision revision);

  // Records the answer to a store read that was sent at `sent_at`: the store's
  // head is at `revision`.
  void OnStoreRead(Revision revision, MonoTime sent_at);

  void SetLocalLoad(MemberLoad load);

  // Handles a datagram that arrived from `from`. Rejected ones are counted.
  void OnDatagram(MonoTime now,
                  const Address& from,
                  std::span<const uint8_t> bytes);

  // Handles the deadlines that are due.
  void Tick(MonoTime now);

  // When Tick must be called next.
  MonoTime NextDeadline() const;

  std::vector<OutboundDatagram> TakeDatagrams();
  std::vector<MembershipEvent> TakeEvents();

  // When the proof that the applied revision is current ends.
  MonoTime FreshUntil() const;

  // When the part of the proof that rests on store reads alone ends.
  MonoTime StoreProofUntil() const;

  // Which kind of proof is valid at `now`.
  ProofState StateAt(MonoTime now) const;

  // Whether this process may start or place work: its proof is valid and, for
  // an agent, the table lists this incarnation.
  bool MayStart(MonoTime now) const;

  // Whether more than half of the witnesses were heard from within the proof
  // lifetime.
  bool HasWitnessMajority(MonoTime now) const;

  // Which witnesses have reported `revision` or a newer one, for each table
  // whose witness set is not retired.
  std::vector<WitnessProgress> WitnessesAt(Revision revision) const;

  // The witness sets that a new table must list as its previous ones: the one
  // in use and older ones whose witnesses have not confirmed the table after
  // them.
  std::vector<WitnessSet> UnretiredSets() const;

  Revision ConfirmedRevision() const;

  // Members in the table, other than this process, that are not declared dead.
  std::vector<ProcessId> LiveMembers() const;

  const MembershipCounters& counters() const { return m_counters; }
  Revision applied_revision() const { return m_freshness.applied(); }

  // The state of the last ProofStateChanged event.
  ProofState proof_state() const { return m_state; }

  // Memory of this object and its tables in bytes, without the shared member
  // list.
  size_t StateBytes() const;

 private:
  void Handle(MonoTime now, const Address& from, const DecodedDatagram& in);
  void HandleBody(MonoTime now,
                  const Address& from,
                  const DecodedDatagram& in,
                  const Ping& ping);
  void HandleBody(MonoTime now,
                  const Address& from,
                  const DecodedDatagram& in,
                  const Ack& ack);
  void HandleBody(MonoTime now,
                  const Address& from,
                  const DecodedDatagram& in,
                  const PingRequest& request);
  void HandleBody(MonoTime now,
                  const Address& from,
                  const DecodedDatagram& in,
                  const RelayedAck& ack);
  void HandleBody(MonoTime now,
                  const Address& from,
                  const DecodedDatagram& in,
                  const Join& join);
  bool IsReplayed(const DecodedDatagram& in);
  bool IsOutdated(const Member& joining) const;
  void RecordRevision(ProcessKey sender,
                      const Address& from,
                      Revision revision);
  void SendAck(MonoTime now,
               const Address& to,
               ProcessKey receiver,
               uint64_t nonce);
  void DetectPause(MonoTime now);
  void CollectEvents(MonoTime now);
  void Flush();
  std::vector<ProcessKey> ExtraMembersToPing(MonoTime now) const;
  ProcessId IdOf(ProcessKey key) const;

  MembershipConfig m_config;
  Member m_self;
  ProcessKey m_key;
  Freshness m_freshness;
  // Mutable because the non-const Find() is used in const functions.
  mutable MemberTable m_table;
  Prober m_prober;
  MemberLoad m_load;
  ProofState m_state = ProofState::kCutOff;
  Revision m_reported_confirmed = 0;
  Revision m_table_revision = 0;
  // When the next Tick is due; a much later Tick indicates a pause.
  MonoTime m_expected_tick;
  MembershipCounters m_counters;
  std::vector<OutboundDatagram> m_datagrams;
  std::vector<MembershipEvent> m_events;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_MEMBERSHIP_H_
