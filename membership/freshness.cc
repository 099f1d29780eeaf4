#include "membership/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace comfreyshift {
namespace {

constexpr int kAgeUnitsPerLifetime = 15;

size_t Majority(size_t count) {
  return count / 2 + 1;
}

// Rounds up, so that the age of a proof or witness is never understated.
int64_t CeilDivide(Microseconds value, Microseconds unit) {
  return (value.count() + unit.count() - 1) / unit.count();
}

// Returns at + lifetime, leaving MonoTime::min() and max() unchanged to avoid
// overflow.
MonoTime AddLifetime(MonoTime at, Microseconds lifetime) {
  if (at == MonoTime::min() || at == MonoTime::max()) {
    return at;
  }
  return at + lifetime;
}

}  // namespace

Freshness::Freshness(const ProcessId& self, Microseconds lifetime)
    : m_self(MakeProcessKey(self)),
      m_lifetime(lifetime),
      m_age_unit(CeilDivide(lifetime, Microseconds(kAgeUnitsPerLifetime))) {}

void Freshness::AddTable(Revision table_revision,
                         std::vector<ProcessId> witnesses,
                         const std::vector<WitnessSet>& previous) {
  std::vector<Revision> unretired;
  for (const WitnessSet& set : previous) {
    if (set.m_table_revision < table_revision) {
      unretired.push_back(set.m_table_revision);
      InsertSet(MakeSet(set.m_table_revision, set.m_members));
    }
  }
  TableWitnessSet added = MakeSet(table_revision, std::move(witnesses));
  added.m_unretired = std::move(unretired);
  InsertSet(std::move(added));
  UpdateWitnessProof();
}

Freshness::TableWitnessSet Freshness::MakeSet(
    Revision table_revision,
    std::vector<ProcessId> ids) const {
  TableWitnessSet set;
  set.m_table_revision = table_revision;
  set.m_ids = std::move(ids);
  std::sort(set.m_ids.begin(), set.m_ids.end());
  for (const ProcessId& id : set.m_ids) {
    set.m_keys.push_back(MakeProcessKey(id));
  }
  set.m_hash = HashWitnesses(set.m_keys, m_age_unit);
  return set;
}

void Freshness::InsertSet(TableWitnessSet set) {
  const auto position =
      std::lower_bound(m_sets.begin(), m_sets.end(), set.m_table_revision,
                       [](const TableWitnessSet& s, Revision r) {
                         return s.m_table_revision < r;
                       });
  if (position != m_sets.end() &&
      position->m_table_revision == set.m_table_revision) {
    return;
  }
  m_sets.insert(position, std::move(set));
  UpdateWitnessFacts();
}

void Freshness::DropSetsBefore(Revision table_revision) {
  std::erase_if(m_sets, [&](const TableWitnessSet& set) {
    return set.m_table_revision < table_revision;
  });
  UpdateWitnessFacts();
  UpdateWitnessProof();
}

void Freshness::UpdateWitnessFacts() {
  std::vector<WitnessFacts> facts;
  for (const TableWitnessSet& set : m_sets) {
    for (const ProcessKey key : set.m_keys) {
      const WitnessFacts* known = FindWitness(key);
      facts.push_back(known == nullptr ? WitnessFacts{key} : *known);
    }
  }
  std::sort(facts.begin(), facts.end(),
            [](const WitnessFacts& a, const WitnessFacts& b) {
              return a.m_key < b.m_key;
            });
  const auto end =
      std::unique(facts.begin(), facts.end(),
                  [](const WitnessFacts& a, const WitnessFacts& b) {
                    return a.m_key == b.m_key;
                  });
  facts.erase(end, facts.end());
  m_witness_facts = std::move(facts);
}

void Freshness::Apply(Revision revision) {
  if (revision <= m_applied) {
    return;
  }
  m_applied = revision;
  if (m_pending_revision <= revision) {
    m_proven_at = std::max(m_proven_at, m_pending_proven_at);
  }
  RetireSets();
  UpdateWitnessProof();
}

bool Freshness::OnStoreRead(Revision revision, MonoTime sent_at) {
  if (revision < m_applied) {
    return false;
  }
  MergeProof(revision, sent_at);
  return true;
}

// Merges a proof that no revision newer than `revision` was written before
// `proven_at`. Such a proof holds for every later revision too.
void Freshness::MergeProof(Revision revision, MonoTime proven_at) {
  if (revision <= m_applied) {
    m_proven_at = std::max(m_proven_at, proven_at);
  } else if (revision == m_pending_revision) {
    m_pending_proven_at = std::max(m_pending_proven_at, proven_at);
  } else if (revision > m_pending_revision) {
    m_pending_revision = revision;
    m_pending_proven_at = proven_at;
  }
}

void Freshness::OnAck(ProcessKey sender, const Ack& ack, MonoTime sent_at) {
  if (ack.m_proof_age != kNoProofAge) {
    MergeProof(ack.m_revision, sent_at - Milliseconds(ack.m_proof_age));
  }
  OnRevisionReported(sender, ack.m_revision);
  if (WitnessFacts* fact = FindWitness(sender)) {
    fact->m_heard_at = std::max(fact->m_heard_at, sent_at);
    if (ack.m_revision <= m_applied) {
      fact->m_no_newer_revision_at =
          std::max(fact->m_no_newer_revision_at, sent_at);
    }
  }
  MergeWitnessAges(ack, sent_at);
  RetireSets();
  UpdateWitnessProof();
}

void Freshness::MergeWitnessAges(const Ack& ack, MonoTime sent_at) {
  const TableWitnessSet* set = CurrentSet();
  if (set == nullptr || ack.m_witness_hash != set->m_hash) {
    return;
  }
  for (size_t i = 0; i < set->m_keys.size(); ++i) {
    WitnessFacts* fact = FindWitness(set->m_keys[i]);
    if ((ack.m_confirmed >> i & 1U) != 0) {
      fact->m_reported_revision =
          std::max(fact->m_reported_revision, ack.m_revision);
    }
    const uint8_t age = ack.m_witness_ages[i];
    if (age == kUnknownWitnessAge) {
      continue;
    }
    const MonoTime at = sent_at - age * m_age_unit;
    fact->m_heard_at = std::max(fact->m_heard_at, at);
    if (ack.m_revision <= m_applied) {
      fact->m_no_newer_revision_at = std::max(fact->m_no_newer_revision_at, at);
    }
  }
}

void Freshness::OnRevisionReported(ProcessKey sender, Revision revision) {
  if (WitnessFacts* fact = FindWitness(sender)) {
    fact->m_reported_revision = std::max(fact->m_reported_revision, revision);
  }
}

void Freshness::FillAck(MonoTime now, Ack& ack) const {
  ack.m_revision = m_applied;
  ack.m_proof_age = kNoProofAge;
  if (m_proven_at != MonoTime::min() && now < m_proven_at + m_lifetime) {
    const Microseconds age = std::max(now - m_proven_at, Microseconds(0));
    ack.m_proof_age = static_cast<uint16_t>(CeilDivide(age, Milliseconds(1)));
  }
  ack.m_witness_ages.fill(kUnknownWitnessAge);
  ack.m_confirmed = 0;
  ack.m_witness_hash = 0;
  const TableWitnessSet* set = CurrentSet();
  if (set == nullptr) {
    return;
  }
  ack.m_witness_hash = set->m_hash;
  for (size_t i = 0; i < set->m_keys.size(); ++i) {
    const ProcessKey key = set->m_keys[i];
    const MonoTime at =
        key == m_self ? now : FindWitness(key)->m_no_newer_revision_at;
    ack.m_witness_ages[i] = EncodeAge(now, at);
    if (RevisionReportedBy(key) >= m_applied) {
      ack.m_confirmed |= uint64_t{1} << i;
    }
  }
}

uint8_t Freshness::EncodeAge(MonoTime now, MonoTime at) const {
  if (at == MonoTime::min()) {
    return kUnknownWitnessAge;
  }
  const Microseconds age = std::max(now - at, Microseconds(0));
  const int64_t code = CeilDivide(age, m_age_unit);
  return static_cast<uint8_t>(std::min<int64_t>(code, kUnknownWitnessAge));
}

MonoTime Freshness::StoreProofEnd() const {
  return AddLifetime(m_proven_at, m_lifetime);
}

MonoTime Freshness::FreshUntil() const {
  return std::max(StoreProofEnd(), AddLifetime(m_witness_proof_at, m_lifetime));
}

ProofState Freshness::StateAt(MonoTime now) const {
  if (now < StoreProofEnd()) {
    return ProofState::kFresh;
  }
  return now < FreshUntil() ? ProofState::kFrozen : ProofState::kCutOff;
}

bool Freshness::HasWitnessMajority(MonoTime now) const {
  return now < AddLifetime(MajorityTime(&WitnessFacts::m_heard_at), m_lifetime);
}

void Freshness::UpdateWitnessProof() {
  m_witness_proof_at = MajorityTime(&WitnessFacts::m_no_newer_revision_at);
}

// Returns the latest time that the given time of more than half of the
// witnesses in use reaches. This process itself counts as MonoTime::max().
MonoTime Freshness::MajorityTime(MonoTime WitnessFacts::*time) const {
  const TableWitnessSet* set = CurrentSet();
  if (set == nullptr || set->m_keys.empty()) {
    return MonoTime::min();
  }
  std::vector<MonoTime> times;
  times.reserve(set->m_keys.size());
  for (const ProcessKey key : set->m_keys) {
    times.push_back(key == m_self ? MonoTime::max() : FindWitness(key)->*time);
  }
  const auto nth =
      times.begin() + static_cast<ptrdiff_t>(Majority(times.size())) - 1;
  std::nth_element(times.begin(), nth, times.end(), std::greater<>());
  return *nth;
}

Revision Freshness::RevisionReportedByMajority(
    const TableWitnessSet& set) const {
  if (set.m_keys.empty()) {
    return m_applied;
  }
  std::vector<Revision> reported;
  reported.reserve(set.m_keys.size());
  for (const ProcessKey key : set.m_keys) {
    reported.push_back(RevisionReportedBy(key));
  }
  const auto nth =
      reported.begin() + static_cast<ptrdiff_t>(Majority(reported.size())) - 1;
  std::nth_element(reported.begin(), nth, reported.end(), std::greater<>());
  return *nth;
}

Revision Freshness::RevisionReportedBy(ProcessKey key) const {
  return key == m_self ? m_applied : FindWitness(key)->m_reported_revision;
}

// Returns the newest set whose table is part of the applied revision. A set of
// a later table must not be used, because revisions between the two tables are
// confirmed by the earlier set alone.
const Freshness::TableWitnessSet* Freshness::CurrentSet() const {
  const TableWitnessSet* current = nullptr;
  for (const TableWitnessSet& set : m_sets) {
    if (set.m_table_revision <= m_applied) {
      current = &set;
    }
  }
  return current;
}

Revision Freshness::ConfirmedRevision() const {
  const TableWitnessSet* current = CurrentSet();
  if (current == nullptr) {
    return 0;
  }
  Revision confirmed =
      std::min(m_applied, RevisionReportedByMajority(*current));
  // Sets that are not retired may still be in use by some process.
  for (const TableWitnessSet& set : m_sets) {
    if (set.m_table_revision < current->m_table_revision) {
      confirmed = std::min(confirmed, RevisionReportedByMajority(set));
    }
  }
  return confirmed;
}

// Removes each set of which more than half have reported the next table: one
// lifetime later no process can hold a proof by that set. Sets that the table
// in use does not list were retired in this way by its writer.
void Freshness::RetireSets() {
  const size_t before = m_sets.size();
  const TableWitnessSet* current = CurrentSet();
  if (current != nullptr && current->m_unretired) {
    const Revision table = current->m_table_revision;
    const std::vector<Revision> kept = *current->m_unretired;
    std::erase_if(m_sets, [&](const TableWitnessSet& set) {
      return set.m_table_revision < table &&
             std::find(kept.begin(), kept.end(), set.m_table_revision) ==
                 kept.end();
    });
  }
  for (size_t i = 0; i + 1 < m_sets.size();) {
    const Revision next = m_sets[i + 1].m_table_revision;
    if (next <= m_applied && RevisionReportedByMajority(m_sets[i]) >= next) {
      m_sets.erase(m_sets.begin() + static_cast<ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  if (m_sets.size() != before) {
    UpdateWitnessFacts();
  }
}

std::vector<WitnessProgress> Freshness::WitnessesAt(Revision revision) const {
  std::vector<WitnessProgress> result;
  for (const TableWitnessSet& set : m_sets) {
    WitnessProgress progress;
    progress.m_table_revision = set.m_table_revision;
    progress.m_total = set.m_keys.size();
    for (size_t i = 0; i < set.m_keys.size(); ++i) {
      const bool confirmed = RevisionReportedBy(set.m_keys[i]) >= revision;
      (confirmed ? progress.m_confirmed : progress.m_missing)
          .push_back(set.m_ids[i]);
    }
    result.push_back(std::move(progress));
  }
  return result;
}

std::vector<WitnessSet> Freshness::UnretiredSets() const {
  std::vector<WitnessSet> result;
  for (const TableWitnessSet& set : m_sets) {
    result.push_back({set.m_table_revision, set.m_ids});
  }
  return result;
}

std::vector<ProcessKey> Freshness::Unconfirmed() const {
  std::vector<ProcessKey> result;
  for (const WitnessFacts& fact : m_witness_facts) {
    if (fact.m_key != m_self && fact.m_reported_revision < m_applied) {
      result.push_back(fact.m_key);
    }
  }
  return result;
}

Freshness::WitnessFacts* Freshness::FindWitness(ProcessKey key) {
  const auto it = std::lower_bound(
      m_witness_facts.begin(), m_witness_facts.end(), key,
      [](const WitnessFacts& fact, ProcessKey k) { return fact.m_key < k; });
  return it != m_witness_facts.end() && it->m_key == key ? &*it : nullptr;
}

const Freshness::WitnessFacts* Freshness::FindWitness(ProcessKey key) const {
  return const_cast<Freshness*>(this)->FindWitness(key);
}

}  // namespace comfreyshift
