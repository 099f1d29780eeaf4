#include "membership/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace comfreyshift {
namespace {

constexpr int kAgeCodes = 15;

size_t Majority(size_t count) {
  return count / 2 + 1;
}

// Rounds up: a witness or proof must never look younger than it is.
int64_t CeilDivide(Microseconds value, Microseconds unit) {
  return (value.count() + unit.count() - 1) / unit.count();
}

// Returns at + lifetime without overflow for the extreme values.
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
      m_age_unit(CeilDivide(lifetime, Microseconds(kAgeCodes))) {}

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
  Set added = MakeSet(table_revision, std::move(witnesses));
  added.m_unretired = std::move(unretired);
  InsertSet(std::move(added));
  UpdateFrozen();
}

Freshness::Set Freshness::MakeSet(Revision table_revision,
                                  std::vector<ProcessId> ids) const {
  Set set;
  set.m_table_revision = table_revision;
  set.m_ids = std::move(ids);
  std::sort(set.m_ids.begin(), set.m_ids.end());
  for (const ProcessId& id : set.m_ids) {
    set.m_keys.push_back(MakeProcessKey(id));
  }
  set.m_hash = HashWitnesses(set.m_keys, m_age_unit);
  return set;
}

void Freshness::InsertSet(Set set) {
  const auto position = std::lower_bound(
      m_sets.begin(), m_sets.end(), set.m_table_revision,
      [](const Set& s, Revision r) { return s.m_table_revision < r; });
  if (position != m_sets.end() &&
      position->m_table_revision == set.m_table_revision) {
    return;
  }
  m_sets.insert(position, std::move(set));
  UpdateFacts();
}

void Freshness::DropSetsBefore(Revision table_revision) {
  std::erase_if(m_sets, [&](const Set& set) {
    return set.m_table_revision < table_revision;
  });
  UpdateFacts();
  UpdateFrozen();
}

void Freshness::UpdateFacts() {
  std::vector<Fact> facts;
  for (const Set& set : m_sets) {
    for (const ProcessKey key : set.m_keys) {
      const Fact* known = FindFact(key);
      facts.push_back(known == nullptr ? Fact{key} : *known);
    }
  }
  std::sort(facts.begin(), facts.end(),
            [](const Fact& a, const Fact& b) { return a.m_key < b.m_key; });
  const auto end = std::unique(
      facts.begin(), facts.end(),
      [](const Fact& a, const Fact& b) { return a.m_key == b.m_key; });
  facts.erase(end, facts.end());
  m_facts = std::move(facts);
}

void Freshness::Apply(Revision revision) {
  if (revision <= m_applied) {
    return;
  }
  m_applied = revision;
  if (m_pending <= revision) {
    m_proven_at = std::max(m_proven_at, m_pending_at);
  }
  RetireSets();
  UpdateFrozen();
}

bool Freshness::OnStoreRead(Revision revision, MonoTime sent_at) {
  if (revision < m_applied) {
    return false;
  }
  MergeProof(revision, sent_at);
  return true;
}

// Takes the fact that nothing newer than `revision` was written before
// `proven_at`. It holds for every later revision too.
void Freshness::MergeProof(Revision revision, MonoTime proven_at) {
  if (revision <= m_applied) {
    m_proven_at = std::max(m_proven_at, proven_at);
  } else if (revision == m_pending) {
    m_pending_at = std::max(m_pending_at, proven_at);
  } else if (revision > m_pending) {
    m_pending = revision;
    m_pending_at = proven_at;
  }
}

void Freshness::OnAck(ProcessKey sender, const Ack& ack, MonoTime sent_at) {
  if (ack.m_proof_age != kNoProofAge) {
    MergeProof(ack.m_revision, sent_at - Milliseconds(ack.m_proof_age));
  }
  OnRevisionShown(sender, ack.m_revision);
  if (Fact* fact = FindFact(sender)) {
    fact->m_heard_at = std::max(fact->m_heard_at, sent_at);
    if (ack.m_revision <= m_applied) {
      fact->m_not_newer_at = std::max(fact->m_not_newer_at, sent_at);
    }
  }
  MergeWitnesses(ack, sent_at);
  RetireSets();
  UpdateFrozen();
}

void Freshness::MergeWitnesses(const Ack& ack, MonoTime sent_at) {
  const Set* set = CurrentSet();
  if (set == nullptr || ack.m_witness_hash != set->m_hash) {
    return;
  }
  for (size_t i = 0; i < set->m_keys.size(); ++i) {
    Fact* fact = FindFact(set->m_keys[i]);
    if ((ack.m_confirmed >> i & 1U) != 0) {
      fact->m_shown = std::max(fact->m_shown, ack.m_revision);
    }
    const uint8_t age = ack.m_witness_ages[i];
    if (age == kUnknownWitnessAge) {
      continue;
    }
    const MonoTime at = sent_at - age * m_age_unit;
    fact->m_heard_at = std::max(fact->m_heard_at, at);
    if (ack.m_revision <= m_applied) {
      fact->m_not_newer_at = std::max(fact->m_not_newer_at, at);
    }
  }
}

void Freshness::OnRevisionShown(ProcessKey sender, Revision revision) {
  if (Fact* fact = FindFact(sender)) {
    fact->m_shown = std::max(fact->m_shown, revision);
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
  const Set* set = CurrentSet();
  if (set == nullptr) {
    return;
  }
  ack.m_witness_hash = set->m_hash;
  for (size_t i = 0; i < set->m_keys.size(); ++i) {
    const ProcessKey key = set->m_keys[i];
    const MonoTime at = key == m_self ? now : FindFact(key)->m_not_newer_at;
    ack.m_witness_ages[i] = AgeCode(now, at);
    if (ShownBy(key) >= m_applied) {
      ack.m_confirmed |= uint64_t{1} << i;
    }
  }
}

uint8_t Freshness::AgeCode(MonoTime now, MonoTime at) const {
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
  return std::max(StoreProofEnd(), AddLifetime(m_frozen_at, m_lifetime));
}

ProofState Freshness::StateAt(MonoTime now) const {
  if (now < StoreProofEnd()) {
    return ProofState::kFresh;
  }
  return now < FreshUntil() ? ProofState::kFrozen : ProofState::kCutOff;
}

bool Freshness::HasWitnessMajority(MonoTime now) const {
  return now < AddLifetime(MajorityTime(&Fact::m_heard_at), m_lifetime);
}

void Freshness::UpdateFrozen() {
  m_frozen_at = MajorityTime(&Fact::m_not_newer_at);
}

// Returns the latest time by which more than half of the witnesses in use had
// the given time, with this process itself always at the end of time.
MonoTime Freshness::MajorityTime(MonoTime Fact::*time) const {
  const Set* set = CurrentSet();
  if (set == nullptr || set->m_keys.empty()) {
    return MonoTime::min();
  }
  std::vector<MonoTime> times;
  times.reserve(set->m_keys.size());
  for (const ProcessKey key : set->m_keys) {
    times.push_back(key == m_self ? MonoTime::max() : FindFact(key)->*time);
  }
  const auto nth =
      times.begin() + static_cast<ptrdiff_t>(Majority(times.size())) - 1;
  std::nth_element(times.begin(), nth, times.end(), std::greater<>());
  return *nth;
}

Revision Freshness::MajorityShown(const Set& set) const {
  if (set.m_keys.empty()) {
    return m_applied;
  }
  std::vector<Revision> shown;
  shown.reserve(set.m_keys.size());
  for (const ProcessKey key : set.m_keys) {
    shown.push_back(ShownBy(key));
  }
  const auto nth =
      shown.begin() + static_cast<ptrdiff_t>(Majority(shown.size())) - 1;
  std::nth_element(shown.begin(), nth, shown.end(), std::greater<>());
  return *nth;
}

Revision Freshness::ShownBy(ProcessKey key) const {
  return key == m_self ? m_applied : FindFact(key)->m_shown;
}

// The newest set whose table is part of the applied revision. A set of a later
// table must not be used: revisions between the two are confirmed by the
// earlier set alone.
const Freshness::Set* Freshness::CurrentSet() const {
  const Set* current = nullptr;
  for (const Set& set : m_sets) {
    if (set.m_table_revision <= m_applied) {
      current = &set;
    }
  }
  return current;
}

Revision Freshness::ConfirmedRevision() const {
  const Set* current = CurrentSet();
  if (current == nullptr) {
    return 0;
  }
  Revision confirmed = std::min(m_applied, MajorityShown(*current));
  // Each older set is still there because processes may use it.
  for (const Set& set : m_sets) {
    if (set.m_table_revision < current->m_table_revision) {
      confirmed = std::min(confirmed, MajorityShown(set));
    }
  }
  return confirmed;
}

// Drops each set from which more than half have shown the next table: F later
// no process can hold a proof by it. The writer of the table in use has seen
// that for the sets it left out.
void Freshness::RetireSets() {
  const size_t before = m_sets.size();
  const Set* current = CurrentSet();
  if (current != nullptr && current->m_unretired) {
    const Revision table = current->m_table_revision;
    const std::vector<Revision> kept = *current->m_unretired;
    std::erase_if(m_sets, [&](const Set& set) {
      return set.m_table_revision < table &&
             std::find(kept.begin(), kept.end(), set.m_table_revision) ==
                 kept.end();
    });
  }
  for (size_t i = 0; i + 1 < m_sets.size();) {
    const Revision next = m_sets[i + 1].m_table_revision;
    if (next <= m_applied && MajorityShown(m_sets[i]) >= next) {
      m_sets.erase(m_sets.begin() + static_cast<ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  if (m_sets.size() != before) {
    UpdateFacts();
  }
}

std::vector<WitnessProgress> Freshness::WitnessesAt(Revision revision) const {
  std::vector<WitnessProgress> result;
  for (const Set& set : m_sets) {
    WitnessProgress progress;
    progress.m_table_revision = set.m_table_revision;
    progress.m_total = set.m_keys.size();
    for (size_t i = 0; i < set.m_keys.size(); ++i) {
      const bool confirmed = ShownBy(set.m_keys[i]) >= revision;
      (confirmed ? progress.m_confirmed : progress.m_missing)
          .push_back(set.m_ids[i]);
    }
    result.push_back(std::move(progress));
  }
  return result;
}

std::vector<WitnessSet> Freshness::UnretiredSets() const {
  std::vector<WitnessSet> result;
  for (const Set& set : m_sets) {
    result.push_back({set.m_table_revision, set.m_ids});
  }
  return result;
}

std::vector<ProcessKey> Freshness::Unconfirmed() const {
  std::vector<ProcessKey> result;
  for (const Fact& fact : m_facts) {
    if (fact.m_key != m_self && fact.m_shown < m_applied) {
      result.push_back(fact.m_key);
    }
  }
  return result;
}

Freshness::Fact* Freshness::FindFact(ProcessKey key) {
  const auto it = std::lower_bound(
      m_facts.begin(), m_facts.end(), key,
      [](const Fact& fact, ProcessKey k) { return fact.m_key < k; });
  return it != m_facts.end() && it->m_key == key ? &*it : nullptr;
}

const Freshness::Fact* Freshness::FindFact(ProcessKey key) const {
  return const_cast<Freshness*>(this)->FindFact(key);
}

}  // namespace comfreyshift
