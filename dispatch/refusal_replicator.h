#ifndef DISPATCH_REFUSAL_REPLICATOR_H_
#define DISPATCH_REFUSAL_REPLICATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "dispatch/owner_actions.h"

namespace comfreyshift {

// Copies the refusal of a whole job to another member before the caller is told
// of it, so that no later owner runs the job.
class RefusalReplicator {
 public:
  // Sets the members that may keep a copy of a refusal. Without any, only the
  // owner keeps it.
  void SetHolders(std::vector<ProcessId> holders) {
    m_holders = std::move(holders);
  }

  // Sends the refusal to a member. Returns false when no member may keep it.
  bool Begin(const StartRecord& refusal,
             PartitionEpoch epoch,
             std::vector<OwnerAction>& actions);

  // Handles the reply of a command, or its loss (`adopted` is false). Returns
  // the key whose refusal has been copied, or nothing.
  std::optional<SubmissionKey> OnDone(MonoTime now, uint64_t id, bool adopted);

  // Sends the commands again that were lost or not accepted.
  void Tick(MonoTime now, std::vector<OwnerAction>& actions);
  MonoTime NextDeadline() const;

  // Removes the pending refusal of a job that this owner lost.
  void Cancel(const SubmissionKey& key);

 private:
  struct Pending {
    StartRecord m_refusal;
    PartitionEpoch m_epoch;
    // When to send again; MonoTime::max() while a command is in flight.
    MonoTime m_send_at = MonoTime::max();
  };

  void Send(uint64_t id, Pending& pending, std::vector<OwnerAction>& actions);

  std::vector<ProcessId> m_holders;
  size_t m_next_holder = 0;
  uint64_t m_next_id = 1;
  std::map<uint64_t, Pending> m_pending;
};

}  // namespace comfreyshift

#endif  // DISPATCH_REFUSAL_REPLICATOR_H_
