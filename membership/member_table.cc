#include "membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace comfreyshift {
namespace {

constexpr uint32_t kNonceWindow = 64;
// How often each process sends an update, per doubling of the number of
// members.
constexpr double kSendsPerDoubling = 3.0;
// A suspect is pinged in this many ping periods before it is declared dead,
// because its refutation may have been lost or displaced by other updates.
constexpr int kFinalPingPeriods = 3;

double Log2Members(size_t members) {
  return std::log2(static_cast<double>(members) + 2.0);
}

// Precedence of updates, where n is the suspicion number, which only the
// subject increases: alive(n) < suspected(n) < dead(n) < alive(n + 1).
bool Supersedes(const MemberUpdate& update, const MemberRow& row) {
  if (update.m_suspicion_number != row.m_suspicion_number) {
    return update.m_suspicion_number > row.m_suspicion_number;
  }
  return update.m_state > row.m_state;
}

}  // namespace

MemberTable::MemberTable(const MembershipConfig& config, ProcessKey self)
    : m_config(config),
      m_self(self),
      m_members(std::make_shared<const std::vector<Member>>()) {}

void MemberTable::SetMembers(MemberList members) {
  std::vector<MemberRow> rows;
  rows.reserve(members->size());
  m_lists_self = false;
  for (uint32_t i = 0; i < members->size(); ++i) {
    const ProcessKey key = MakeProcessKey((*members)[i].m_id);
    if (key == m_self) {
      m_lists_self = true;
      continue;
    }
    const MemberRow* known = Find(key);
    MemberRow row = known == nullptr ? MemberRow{key} : *known;
    row.m_index = i;
    rows.push_back(row);
  }
  std::sort(
      rows.begin(), rows.end(),
      [](const MemberRow& a, const MemberRow& b) { return a.m_key < b.m_key; });
  m_rows = std::move(rows);
  m_members = std::move(members);
  std::erase_if(m_suspicions, [&](const Suspicion& suspicion) {
    return Find(suspicion.m_key) == nullptr;
  });
  std::erase_if(m_updates, [&](const QueuedUpdate& queued) {
    const ProcessKey subject = queued.m_update.m_subject;
    return subject != m_self && Find(subject) == nullptr;
  });
}

MemberRow* MemberTable::Find(ProcessKey key) {
  const auto it = std::lower_bound(
      m_rows.begin(), m_rows.end(), key,
      [](const MemberRow& row, ProcessKey k) { return row.m_key < k; });
  return it != m_rows.end() && it->m_key == key ? &*it : nullptr;
}

const Member& MemberTable::MemberOf(const MemberRow& row) const {
  return (*m_members)[row.m_index];
}

bool MemberTable::AcceptNonce(MemberRow& row, uint64_t nonce) {
  if (nonce > row.m_nonce_high) {
    const uint64_t advance = nonce - row.m_nonce_high;
    row.m_nonce_window =
        advance >= kNonceWindow ? 0 : row.m_nonce_window << advance;
    row.m_nonce_window |= 1;
    row.m_nonce_high = nonce;
    return true;
  }
  const uint64_t back = row.m_nonce_high - nonce;
  if (back >= kNonceWindow || (row.m_nonce_window >> back & 1U) != 0) {
    return false;
  }
  row.m_nonce_window |= uint64_t{1} << back;
  return true;
}

void MemberTable::Apply(MonoTime now, const MemberUpdate& update) {
  if (update.m_subject == m_self) {
    Refute(update);
    return;
  }
  MemberRow* row = Find(update.m_subject);
  if (row != nullptr && Supersedes(update, *row)) {
    Change(now, *row, update);
  }
}

void MemberTable::Refute(const MemberUpdate& update) {
  if (update.m_state == MemberState::kAlive) {
    return;
  }
  if (update.m_suspicion_number >= m_self_suspicion_number &&
      update.m_suspicion_number < std::numeric_limits<uint16_t>::max()) {
    m_self_suspicion_number = update.m_suspicion_number + 1;
  }
  Queue({m_self, MemberState::kAlive, m_self_suspicion_number});
}

void MemberTable::Suspect(MonoTime now, ProcessKey key) {
  MemberRow* row = Find(key);
  if (row == nullptr || row->m_state != MemberState::kAlive) {
    return;
  }
  Change(now, *row, {key, MemberState::kSuspected, row->m_suspicion_number});
  m_suspicions.back().m_from_own_probe = true;
}

void MemberTable::Change(MonoTime now,
                         MemberRow& row,
                         const MemberUpdate& update) {
  const bool changed = row.m_state != update.m_state;
  row.m_state = update.m_state;
  row.m_suspicion_number = update.m_suspicion_number;
  std::erase_if(m_suspicions,
                [&](const Suspicion& s) { return s.m_key == row.m_key; });
  if (row.m_state == MemberState::kSuspected) {
    m_suspicions.push_back({row.m_key, now + SuspicionTime(), false});
  }
  if (changed) {
    m_changes.push_back({row.m_key, row.m_state});
  }
  Queue(update);
}

void MemberTable::ExpireSuspicions(MonoTime now) {
  std::vector<ProcessKey> ended;
  for (const Suspicion& suspicion : m_suspicions) {
    if (suspicion.m_deadline <= now) {
      ended.push_back(suspicion.m_key);
    }
  }
  for (const ProcessKey key : ended) {
    MemberRow& row = *Find(key);
    Change(now, row, {key, MemberState::kDead, row.m_suspicion_number});
  }
}

void MemberTable::Postpone(Microseconds pause) {
  for (Suspicion& suspicion : m_suspicions) {
    suspicion.m_deadline += pause;
  }
}

MonoTime MemberTable::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const Suspicion& suspicion : m_suspicions) {
    next = std::min(next, suspicion.m_deadline);
  }
  return next;
}

void MemberTable::Queue(const MemberUpdate& update) {
  std::erase_if(m_updates, [&](const QueuedUpdate& queued) {
    return queued.m_update.m_subject == update.m_subject;
  });
  m_updates.push_back({update, SendsPerUpdate()});
}

std::vector<MemberUpdate> MemberTable::TakeUpdates(ProcessKey receiver) {
  std::vector<MemberUpdate> result;
  const MemberRow* row = Find(receiver);
  if (row != nullptr && row->m_state != MemberState::kAlive) {
    result.push_back({receiver, row->m_state, row->m_suspicion_number});
  }
  const size_t count = std::min(m_updates.size(), kMaxUpdates - result.size());
  std::partial_sort(
      m_updates.begin(), m_updates.begin() + static_cast<ptrdiff_t>(count),
      m_updates.end(), [](const QueuedUpdate& a, const QueuedUpdate& b) {
        return a.m_sends_left > b.m_sends_left;
      });
  for (size_t i = 0; i < count; ++i) {
    result.push_back(m_updates[i].m_update);
    --m_updates[i].m_sends_left;
  }
  std::erase_if(m_updates, [](const QueuedUpdate& queued) {
    return queued.m_sends_left == 0;
  });
  return result;
}

std::vector<LivenessChange> MemberTable::TakeChanges() {
  return std::exchange(m_changes, {});
}

std::vector<ProcessKey> MemberTable::SuspectsToPing(MonoTime now) const {
  const MonoTime soon = now + kFinalPingPeriods * m_config.m_ping_period;
  std::vector<ProcessKey> result;
  for (const Suspicion& suspicion : m_suspicions) {
    if (suspicion.m_from_own_probe || suspicion.m_deadline <= soon) {
      result.push_back(suspicion.m_key);
    }
  }
  return result;
}

Microseconds MemberTable::SuspicionTime() const {
  const double periods =
      m_config.m_suspicion_factor * Log2Members(m_rows.size());
  const Microseconds period = m_config.m_ping_period;
  const Microseconds time(
      std::llround(periods * static_cast<double>(period.count())));
  return std::max(time, Microseconds(m_config.m_min_suspicion));
}

uint32_t MemberTable::SendsPerUpdate() const {
  return static_cast<uint32_t>(
      std::ceil(kSendsPerDoubling * Log2Members(m_rows.size())));
}

size_t MemberTable::StateBytes() const {
  return m_rows.capacity() * sizeof(MemberRow) +
         m_suspicions.capacity() * sizeof(Suspicion) +
         m_updates.capacity() * sizeof(QueuedUpdate);
}

}  // namespace comfreyshift
