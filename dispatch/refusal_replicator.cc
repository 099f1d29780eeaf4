#include "dispatch/refusal_replicator.h"

#include <algorithm>

namespace comfreyshift {

namespace {

constexpr Milliseconds kRetryDelay{100};

}  // namespace

bool RefusalReplicator::Begin(const StartRecord& refusal,
                              PartitionEpoch epoch,
                              std::vector<OwnerAction>& actions) {
  if (m_holders.empty()) {
    return false;
  }
  const uint64_t id = m_next_id++;
  Pending& pending = m_pending[id];
  pending.m_refusal = refusal;
  pending.m_epoch = epoch;
  Send(id, pending, actions);
  return true;
}

void RefusalReplicator::Send(uint64_t id,
                             Pending& pending,
                             std::vector<OwnerAction>& actions) {
  pending.m_send_at = MonoTime::max();
  const ProcessId& holder = m_holders[m_next_holder++ % m_holders.size()];
  actions.emplace_back(SendAdopt{
      holder, AdoptCommand{id, {pending.m_epoch}, {pending.m_refusal}}});
}

std::optional<SubmissionKey> RefusalReplicator::OnDone(MonoTime now,
                                                       uint64_t id,
                                                       bool adopted) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return std::nullopt;
  }
  if (!adopted) {
    found->second.m_send_at = now + kRetryDelay;
    return std::nullopt;
  }
  const SubmissionKey key = found->second.m_refusal.m_task.m_key;
  m_pending.erase(found);
  return key;
}

void RefusalReplicator::Tick(MonoTime now, std::vector<OwnerAction>& actions) {
  if (m_holders.empty()) {
    return;
  }
  for (auto& [id, pending] : m_pending) {
    if (pending.m_send_at <= now) {
      Send(id, pending, actions);
    }
  }
}

MonoTime RefusalReplicator::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const auto& [id, pending] : m_pending) {
    next = std::min(next, pending.m_send_at);
  }
  return next;
}

void RefusalReplicator::Cancel(const SubmissionKey& key) {
  std::erase_if(m_pending, [&](const auto& item) {
    return item.second.m_refusal.m_task.m_key == key;
  });
}

}  // namespace comfreyshift
