#ifndef MEMBERSHIP_FRESHNESS_H_
#define MEMBERSHIP_FRESHNESS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "membership/datagram.h"
#include "membership/witness.h"

namespace comfreyshift {

enum class ProofState : uint8_t { kFresh, kFrozen, kCutOff };

// What is known about the witnesses of one table.
struct WitnessProgress {
  Revision m_table_revision = 0;
  size_t m_total = 0;
  std::vector<ProcessId> m_confirmed;
  std::vector<ProcessId> m_missing;
};

// Holds the proof that the applied revision is current, and decides when it
// ends. docs/decisions/0002-freshness-lease.md gives the argument.
class Freshness {
 public:
  // `lifetime` is F, how long a proof lasts.
  Freshness(const ProcessId& self, Microseconds lifetime);

  // Adds the witnesses of the table written at `table_revision`. `previous`
  // are the sets that the table's writer could not yet retire.
  void AddTable(Revision table_revision,
                std::vector<ProcessId> witnesses,
                const std::vector<WitnessSet>& previous);

  // Forgets the witness sets of tables before `table_revision`, unconfirmed as
  // they are.
  void DropSetsBefore(Revision table_revision);

  // Ignores a revision that is not higher than the applied one.
  void Apply(Revision revision);

  // Returns false when the revision is below the applied one.
  bool OnStoreRead(Revision revision, MonoTime sent_at);

  // Takes the proof, the witness ages and the confirmations of an ack to the
  // ping that was sent at `sent_at`.
  void OnAck(ProcessKey sender, const Ack& ack, MonoTime sent_at);

  // Notes that `sender` has applied `revision`, at an unknown time.
  void OnRevisionShown(ProcessKey sender, Revision revision);

  // Fills the proof, the ages and the confirmations of an ack made at `now`.
  void FillAck(MonoTime now, Ack& ack) const;

  // End of the proof from the store alone, and of the better of both proofs.
  MonoTime StoreProofEnd() const;
  MonoTime FreshUntil() const;
  ProofState StateAt(MonoTime now) const;

  // More than half of the witnesses were heard within F, at whatever revision.
  bool HasWitnessMajority(MonoTime now) const;

  // Newest revision, at most the applied one, after whose write no process can
  // keep an older one for longer than F.
  Revision ConfirmedRevision() const;

  std::vector<WitnessProgress> WitnessesAt(Revision revision) const;

  // Sets older than the one in use whose witnesses have not yet confirmed the
  // next table. A new table must carry these and the one in use.
  std::vector<WitnessSet> UnretiredSets() const;

  // Witnesses of unretired or current sets that have not shown the applied
  // revision.
  std::vector<ProcessKey> Unconfirmed() const;

  Revision applied() const { return m_applied; }

 private:
  struct Set {
    Revision m_table_revision = 0;
    std::vector<ProcessId> m_ids;
    // In the order of m_ids.
    std::vector<ProcessKey> m_keys;
    uint64_t m_hash = 0;
    // Tables whose sets the writer of this one had not retired. Not known for a
    // set that a later table carried.
    std::optional<std::vector<Revision>> m_unretired;
  };

  // What is known of one witness, whichever sets it belongs to.
  struct Fact {
    ProcessKey m_key = 0;
    // Latest time at which it certainly showed no revision above the applied
    // one.
    MonoTime m_not_newer_at = MonoTime::min();
    // Latest time at which it certainly was alive.
    MonoTime m_heard_at = MonoTime::min();
    Revision m_shown = 0;
  };

  Set MakeSet(Revision table_revision, std::vector<ProcessId> ids) const;
  void InsertSet(Set set);
  void RetireSets();
  // Keeps facts about exactly the witnesses of m_sets.
  void UpdateFacts();
  const Set* CurrentSet() const;
  Fact* FindFact(ProcessKey key);
  const Fact* FindFact(ProcessKey key) const;
  Revision ShownBy(ProcessKey key) const;
  Revision MajorityShown(const Set& set) const;
  MonoTime MajorityTime(MonoTime Fact::*time) const;
  void UpdateFrozen();
  void MergeProof(Revision revision, MonoTime proven_at);
  void MergeWitnesses(const Ack& ack, MonoTime sent_at);
  uint8_t AgeCode(MonoTime now, MonoTime at) const;

  ProcessKey m_self;
  Microseconds m_lifetime;
  // Unit of the 4-bit witness ages.
  Microseconds m_age_unit;
  Revision m_applied = 0;
  // Latest time before which certainly nothing newer than the applied revision
  // was written.
  MonoTime m_proven_at = MonoTime::min();
  // The same for a newer revision that was seen and is not yet applied.
  Revision m_pending = 0;
  MonoTime m_pending_at = MonoTime::min();
  // Latest time at which more than half of the witnesses showed no newer
  // revision.
  MonoTime m_frozen_at = MonoTime::min();
  // Sorted by table revision.
  std::vector<Set> m_sets;
  // Sorted by key.
  std::vector<Fact> m_facts;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_FRESHNESS_H_
