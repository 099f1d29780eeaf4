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

// kFresh: store reads prove that the applied revision is current.
// kFrozen: only a majority of the witnesses proves it, as in a store outage.
// kCutOff: nothing proves it, and no work may start.
enum class ProofState : uint8_t { kFresh, kFrozen, kCutOff };

// Which witnesses of one table have confirmed a revision.
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

  // Adds the witnesses of the table written at `table_revision`. `previous` are
  // the sets that the table's writer could not yet retire.
  void AddTable(Revision table_revision,
                std::vector<ProcessId> witnesses,
                const std::vector<WitnessSet>& previous);

  // Removes the witness sets of tables before `table_revision`, even if they
  // have not confirmed a later table.
  void DropSetsBefore(Revision table_revision);

  // Sets the applied revision. Ignores one that is not higher than it.
  void Apply(Revision revision);

  // Records the store's head revision, read at `sent_at`. Returns false when it
  // is below the applied one; such an answer proves nothing.
  bool OnStoreRead(Revision revision, MonoTime sent_at);

  // Merges the proof, the witness ages and the confirmations of an ack.
  // `sent_at` is when the ping that it answers was sent.
  void OnAck(ProcessKey sender, const Ack& ack, MonoTime sent_at);

  // Records that `sender` has applied `revision`, at an unknown time.
  void OnRevisionReported(ProcessKey sender, Revision revision);

  // Fills the proof, the ages and the confirmations of an ack made at `now`.
  void FillAck(MonoTime now, Ack& ack) const;

  // When the proof by store reads ends, and when the later of the proofs by
  // store reads and by witnesses ends.
  MonoTime StoreProofEnd() const;
  MonoTime FreshUntil() const;
  ProofState StateAt(MonoTime now) const;

  // Whether more than half of the witnesses were heard from within the
  // lifetime, at any revision.
  bool HasWitnessMajority(MonoTime now) const;

  // Newest revision, at most the applied one, that enough witnesses have
  // confirmed: no process can hold a proof of an older revision for longer than
  // the lifetime from now on.
  Revision ConfirmedRevision() const;

  std::vector<WitnessProgress> WitnessesAt(Revision revision) const;

  // The sets that a new table must list as its previous ones: the one in use,
  // and those whose witnesses have not yet confirmed the next table.
  std::vector<WitnessSet> UnretiredSets() const;

  // Witnesses of unretired sets that have not reported the applied revision.
  std::vector<ProcessKey> Unconfirmed() const;

  Revision applied() const { return m_applied; }

 private:
  struct TableWitnessSet {
    Revision m_table_revision = 0;
    std::vector<ProcessId> m_ids;
    // In the order of m_ids.
    std::vector<ProcessKey> m_keys;
    uint64_t m_hash = 0;
    // Tables whose sets the writer of this table had not retired. Unknown for a
    // set that is only known from the list in a later table.
    std::optional<std::vector<Revision>> m_unretired;
  };

  // What is known about one witness, independent of the sets that contain it.
  struct WitnessFacts {
    ProcessKey m_key = 0;
    // Latest time at which it certainly had no revision above the applied one.
    MonoTime m_no_newer_revision_at = MonoTime::min();
    // Latest time at which it certainly was alive.
    MonoTime m_heard_at = MonoTime::min();
    Revision m_reported_revision = 0;
  };

  TableWitnessSet MakeSet(Revision table_revision,
                          std::vector<ProcessId> ids) const;
  void InsertSet(TableWitnessSet set);
  void RetireSets();
  // Adds and removes facts so that they cover exactly the witnesses of m_sets.
  void UpdateWitnessFacts();
  const TableWitnessSet* CurrentSet() const;
  WitnessFacts* FindWitness(ProcessKey key);
  const WitnessFacts* FindWitness(ProcessKey key) const;
  Revision RevisionReportedBy(ProcessKey key) const;
  Revision RevisionReportedByMajority(const TableWitnessSet& set) const;
  MonoTime MajorityTime(MonoTime WitnessFacts::*time) const;
  void UpdateWitnessProof();
  void MergeProof(Revision revision, MonoTime proven_at);
  void MergeWitnessAges(const Ack& ack, MonoTime sent_at);
  uint8_t EncodeAge(MonoTime now, MonoTime at) const;

  ProcessKey m_self;
  Microseconds m_lifetime;
  // Unit of the 4-bit witness ages.
  Microseconds m_age_unit;
  Revision m_applied = 0;
  // Latest time before which certainly no revision newer than the applied one
  // was written.
  MonoTime m_proven_at = MonoTime::min();
  // The same for the newest revision seen that is not yet applied.
  Revision m_pending_revision = 0;
  MonoTime m_pending_proven_at = MonoTime::min();
  // Latest time at which more than half of the witnesses certainly had no newer
  // revision.
  MonoTime m_witness_proof_at = MonoTime::min();
  // Sorted by table revision.
  std::vector<TableWitnessSet> m_sets;
  // Sorted by key.
  std::vector<WitnessFacts> m_witness_facts;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_FRESHNESS_H_
