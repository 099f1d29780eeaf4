#ifndef PLACEMENT_START_QUEUE_H_
#define PLACEMENT_START_QUEUE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "core/core.h"

namespace comfreyshift {

// Identifies one queued task; chosen by the caller.
using StartId = uint64_t;

// An agent's queue of tasks that wait for a free slot of its target. The task
// with the earliest due time goes first; tasks with the same due time keep the
// order of their arrival.
class StartQueue {
 public:
  // Queues a task. Returns false when `id` is queued already.
  bool Push(StartId id, MonoTime due);

  // Removes and returns the first task, or nothing when the queue is empty.
  std::optional<StartId> Pop();

  // Removes a cancelled task. Returns false when it is not queued.
  bool Remove(StartId id);

  size_t size() const { return m_order.size(); }

 private:
  struct Key {
    MonoTime m_due;
    uint64_t m_sequence = 0;
    StartId m_id = 0;

    auto operator<=>(const Key&) const = default;
  };

  std::set<Key> m_order;
  std::unordered_map<StartId, Key> m_keys;
  uint64_t m_next_sequence = 0;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_START_QUEUE_H_
