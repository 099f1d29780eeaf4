#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: who is alive, and whether this
// process may act on the configuration it holds.

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

// A suspected or dead member refuted that.
struct MemberAlive {
  ProcessId m_id;
};

// A peer has applied a newer revision than this process; fetch it from there.
// Repeated by each datagram that shows one.
struct NewerRevisionSeen {
  // The address alone when the table does not list the peer.
  std::variant<Member, Address> m_peer;
  Revision m_revision = 0;
};

struct JoinRequested {
  Member m_member;
};

// More than half of the witnesses of each table that may be in use have applied
// this revision or a newer one. It is in force F later.
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

// A datagram to send from the process's datagram socket.
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
  // Pings, requests and joins whose nonce or incarnation was seen before.
  uint64_t m_replayed = 0;
  // Acks to no open ping: late or repeated.
  uint64_t m_unmatched = 0;
  // Store reads with a revision below the applied one.
  uint64_t m_lower_store_reads = 0;
  // Ticks so late that this process must have been paused.
  uint64_t m_pauses = 0;
};

// One process's part in the failure detector and in the spread of freshness
// proofs. Does no I/O. Every call that takes `now` must take a clock reading
// made after the datagram or store answer that it handles has arrived: with an
// earlier reading a process that was paused in between would understate the age
// of its proof.
class Membership {
 public:
  // `seed` must differ between processes. `self` must have a higher incarnation
  // than any earlier process of its name.
  Membership(MembershipConfig config, Member self, uint64_t seed, MonoTime now);

  // Takes the members that the table written at `table_revision` lists, with
  // the witness sets that its writer could not yet retire: UnretiredSets() of
  // the writer, which are empty only for the first table of all. Must come
  // before SetAppliedRevision of `table_revision` or any later revision.
  void SetMembers(MonoTime now,
                  Revision table_revision,
                  MemberList members,
                  const std::vector<WitnessSet>& previous);
  void SetMembers(MonoTime now,
                  Revision table_revision,
                  std::vector<Member> members,
                  const std::vector<WitnessSet>& previous);

  // Stops waiting for the witnesses of tables before `table_revision`. For a
  // table that an operator forced after the loss of more than half of the
  // witnesses: processes that are cut off with those may continue under an
  // older revision, so F after it nothing is certain about them.
  void DropWitnessSetsBefore(MonoTime now, Revision table_revision);

  // Addresses of entries, for a process that the table does not list yet.
  void SetSeeds(std::vector<Address> seeds);

  // This process now acts on `revision` alone. A lower one is ignored.
  void SetAppliedRevision(MonoTime now, Revision revision);

  // The store answered that its head is at `revision` to a read that was sent
  // at `sent_at`.
  void OnStoreRead(Revision revision, MonoTime sent_at);

  void SetLocalLoad(MemberLoad load);

  // Takes a datagram that arrived from `from`. Rejected ones are counted.
  void OnDatagram(MonoTime now,
                  const Address& from,
                  std::span<const uint8_t> bytes);

  // Handles the deadlines that are due.
  void Tick(MonoTime now);

  // When Tick must be called next.
  MonoTime NextDeadline() const;

  std::vector<OutboundDatagram> TakeDatagrams();
  std::vector<MembershipEvent> TakeEvents();

  // End of the proof that the applied revision is current.
  MonoTime FreshUntil() const;

  // End of the part of the proof that rests on the store alone.
  MonoTime StoreProofUntil() const;

  // Which proof holds at `now`.
  ProofState StateAt(MonoTime now) const;

  // Whether this process may start or place work: its proof has not ended and,
  // for an agent, the table lists this incarnation.
  bool MayStart(MonoTime now) const;

  // More than half of the witnesses were heard within F.
  bool HasWitnessMajority(MonoTime now) const;

  // Which witnesses have shown `revision` or a newer one, for the table in use
  // and each older one that is not retired.
  std::vector<WitnessProgress> WitnessesAt(Revision revision) const;

  // The witness sets that a new table must carry: the one in use and older ones
  // whose witnesses have not confirmed the table that followed.
  std::vector<WitnessSet> UnretiredSets() const;

  Revision ConfirmedRevision() const;

  // Listed members other than this process that are not believed dead.
  std::vector<ProcessId> LiveMembers() const;

  const MembershipCounters& counters() const { return m_counters; }
  Revision applied_revision() const { return m_freshness.applied(); }

  // The state that the last ProofStateChanged event told.
  ProofState proof_state() const { return m_state; }

  // Memory of the tables in bytes, without the member list itself.
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
  void NoteRevision(ProcessKey sender, const Address& from, Revision revision);
  void SendAck(MonoTime now,
               const Address& to,
               ProcessKey receiver,
               uint64_t nonce);
  void NoticePause(MonoTime now);
  void CollectEvents(MonoTime now);
  void Flush();
  std::vector<ProcessKey> WantedPings(MonoTime now) const;
  ProcessId IdOf(ProcessKey key) const;

  MembershipConfig m_config;
  Member m_self;
  ProcessKey m_key;
  Freshness m_freshness;
  // Find() on it does not change it.
  mutable MemberTable m_table;
  Prober m_prober;
  MemberLoad m_load;
  ProofState m_state = ProofState::kCutOff;
  Revision m_reported_confirmed = 0;
  Revision m_table_revision = 0;
  // Deadline that the last Tick left; a much later Tick tells of a pause.
  MonoTime m_expected_tick;
  MembershipCounters m_counters;
  std::vector<OutboundDatagram> m_datagrams;
  std::vector<MembershipEvent> m_events;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_MEMBERSHIP_H_
