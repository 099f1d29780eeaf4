#include "placement/start_queue.h"

namespace comfreyshift {

bool StartQueue::Push(StartId id, MonoTime due) {
  const Key key{due, m_next_sequence, id};
  if (!m_keys.emplace(id, key).second) {
    return false;
  }
  ++m_next_sequence;
  m_order.insert(key);
  return true;
}

std::optional<StartId> StartQueue::Pop() {
  if (m_order.empty()) {
    return std::nullopt;
  }
  const StartId id = m_order.begin()->m_id;
  m_order.erase(m_order.begin());
  m_keys.erase(id);
  return id;
}

bool StartQueue::Remove(StartId id) {
  const auto found = m_keys.find(id);
  if (found == m_keys.end()) {
    return false;
  }
  m_order.erase(found->second);
  m_keys.erase(found);
  return true;
}

}  // namespace comfreyshift
