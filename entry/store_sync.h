#ifndef ENTRY_STORE_SYNC_H_
#define ENTRY_STORE_SYNC_H_

#include <functional>
#include <memory>
#include <vector>

#include "core/core.h"
#include "node/node.h"
#include "store/store.h"

namespace comfreyshift {

// Reads the store's head about once a second and applies what is newer. Each
// read is also the proof of freshness that the other processes learn by pings.
class StoreSync : public std::enable_shared_from_this<StoreSync> {
 public:
  // `node` must outlive the sync and all its calls.
  StoreSync(std::shared_ptr<StoreClient> store, ProcessNode& node);

  // Reads when a read is due.
  void Tick(MonoTime now);
  MonoTime NextDeadline() const { return m_next_read; }

  // Makes a read due at once, after an edit of this process.
  void ReadNow();

  // Reads the head and applies what is newer; then calls `done` with true, or
  // with false when the store does not answer. An edit that is made from an
  // older state could be taken for one that changes nothing.
  void Refresh(std::function<void(bool)> done);

  // True while the last answer is younger than a few reads.
  bool InContact(MonoTime now) const { return now < m_contact_until; }

  // True when the store has answered and holds no configuration yet.
  bool StoreIsEmpty() const { return m_store_is_empty; }

 private:
  // A refresh that waits until its head is applied.
  struct Waiting {
    Revision m_head = 0;
    std::function<void(bool)> m_done;
  };

  void ReadHead(MonoTime now);
  void EndRefreshes(bool fetched);
  void OnHead(MonoTime sent_at, const RangeReply& reply);
  void FetchChanges(MonoTime now);
  void OnChanges(MonoTime sent_at, Revision since, const TxnReply& reply);

  std::shared_ptr<StoreClient> m_store;
  ProcessNode& m_node;
  MonoTime m_next_read;
  MonoTime m_contact_until;
  MonoTime m_fetch_deadline;
  bool m_store_is_empty = false;
  std::vector<Waiting> m_waiting;
};

}  // namespace comfreyshift

#endif  // ENTRY_STORE_SYNC_H_
