#ifndef DISPATCH_REFUSALS_H_
#define DISPATCH_REFUSALS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"
#include "dispatch/owner_actions.h"

namespace comfreyshift {

// Refusals of whole jobs that must be known to another member before a caller
// hears of them, so that no later owner runs the job.
class Refusals {
 public:
  // Members that may keep a refusal. None: the owner alone keeps it.
  void SetHolders(std::vector<ProcessId> holders) {
    m_holders = std::move(holders);
  }

  // Sends the refusal to a member. Returns false when there is none.
  bool Begin(const StartRecord& refusal,
             PartitionEpoch epoch,
             std::vector<OwnerAction>& actions);

  // Takes the end of one command. Returns the key whose refusal is kept now.
  std::optional<SubmissionKey> OnDone(MonoTime now, uint64_t id, bool adopted);

  // Sends again what was lost or not accepted.
  void Tick(MonoTime now, std::vector<OwnerAction>& actions);
  MonoTime NextDeadline() const;

  // Forgets the refusal of a job that this owner lost.
  void Cancel(const SubmissionKey& key);

 private:
  struct Pending {
    StartRecord m_refusal;
    PartitionEpoch m_epoch;
    // When to send again; the latest time while a command is out.
    MonoTime m_send_at = MonoTime::max();
  };

  void Send(uint64_t id, Pending& pending, std::vector<OwnerAction>& actions);

  std::vector<ProcessId> m_holders;
  size_t m_next_holder = 0;
  uint64_t m_next_id = 1;
  std::map<uint64_t, Pending> m_pending;
};

}  // namespace comfreyshift

#endif  // DISPATCH_REFUSALS_H_
