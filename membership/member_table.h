#ifndef MEMBERSHIP_MEMBER_TABLE_H_
#define MEMBERSHIP_MEMBER_TABLE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"
#include "membership/config.h"
#include "membership/datagram.h"
#include "membership/member.h"

namespace comfreyshift {

using MemberList = std::shared_ptr<const std::vector<Member>>;

struct MemberRow {
  ProcessKey m_key = 0;
  // Highest nonce of its pings and requests, and which of the 64 up to it were
  // seen.
  uint64_t m_nonce_high = 0;
  uint64_t m_nonce_window = 0;
  // Position in the member list.
  uint32_t m_index = 0;
  uint16_t m_suspicion_number = 0;
  MemberState m_state = MemberState::kAlive;
};

struct LivenessChange {
  ProcessKey m_key = 0;
  MemberState m_state = MemberState::kAlive;
};

// The members that the partition table lists, what is believed of each, and the
// updates about them that are still to be spread.
class MemberTable {
 public:
  MemberTable(const MembershipConfig& config, ProcessKey self);

  // Takes over what is known of members that stay.
  void SetMembers(MemberList members);

  // Returns nothing when the table does not list `key`.
  MemberRow* Find(ProcessKey key);
  const Member& MemberOf(const MemberRow& row) const;

  // Returns false for a nonce that was seen before or is too old to tell.
  static bool AcceptNonce(MemberRow& row, uint64_t nonce);

  // Takes an update that another process sent.
  void Apply(MonoTime now, const MemberUpdate& update);

  // This process's own probe of `key` failed.
  void Suspect(MonoTime now, ProcessKey key);

  // Declares members dead whose suspicion has ended.
  void ExpireSuspicions(MonoTime now);

  // Moves all deadlines later by `pause`, during which this process could not
  // receive a refutation.
  void Postpone(Microseconds pause);

  MonoTime NextDeadline() const;

  // Returns the updates for a datagram to `receiver`: first what is believed of
  // itself, if that needs refutation, then those spread least so far.
  std::vector<MemberUpdate> TakeUpdates(ProcessKey receiver);

  std::vector<LivenessChange> TakeChanges();

  // Suspects that this process should ping: those it suspected by its own
  // probes, and those it is about to declare dead.
  std::vector<ProcessKey> SuspectsToPing(MonoTime now) const;

  const std::vector<MemberRow>& rows() const { return m_rows; }
  bool lists_self() const { return m_lists_self; }
  const std::vector<Member>& members() const { return *m_members; }
  size_t StateBytes() const;

 private:
  struct Suspicion {
    ProcessKey m_key = 0;
    MonoTime m_deadline;
    bool m_own = false;
  };

  struct QueuedUpdate {
    MemberUpdate m_update;
    uint32_t m_sends_left = 0;
  };

  void Change(MonoTime now, MemberRow& row, const MemberUpdate& update);
  void Refute(const MemberUpdate& update);
  void Queue(const MemberUpdate& update);
  Microseconds SuspicionTime() const;
  uint32_t SendsPerUpdate() const;

  MembershipConfig m_config;
  ProcessKey m_self;
  uint16_t m_self_number = 0;
  bool m_lists_self = false;
  MemberList m_members;
  // Sorted by key; does not hold this process itself.
  std::vector<MemberRow> m_rows;
  std::vector<Suspicion> m_suspicions;
  std::vector<QueuedUpdate> m_updates;
  std::vector<LivenessChange> m_changes;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_MEMBER_TABLE_H_
