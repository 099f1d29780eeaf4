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

// The local state of one member.
struct MemberRow {
  ProcessKey m_key = 0;
  // Replay protection: the highest nonce of the member's pings and ping
  // requests, and a bit mask of the last 64 nonces that were seen. Bit i is for
  // the nonce m_nonce_high - i.
  uint64_t m_nonce_high = 0;
  uint64_t m_nonce_window = 0;
  // Index in the member list.
  uint32_t m_index = 0;
  uint16_t m_suspicion_number = 0;
  MemberState m_state = MemberState::kAlive;
};

struct LivenessChange {
  ProcessKey m_key = 0;
  MemberState m_state = MemberState::kAlive;
};

// The members that the partition table lists, the believed state of each, and
// the updates about them that are still to be gossiped.
class MemberTable {
 public:
  MemberTable(const MembershipConfig& config, ProcessKey self);

  // Replaces the members. Members that are still listed keep their state.
  void SetMembers(MemberList members);

  // Returns null when the table does not list `key`, or for this process
  // itself.
  MemberRow* Find(ProcessKey key);
  const Member& MemberOf(const MemberRow& row) const;

  // Returns whether the nonce is new, and marks it as seen. A nonce that is too
  // old to tell is rejected.
  static bool AcceptNonce(MemberRow& row, uint64_t nonce);

  // Applies an update from another process. An update that suspects this
  // process or declares it dead is refuted.
  void Apply(MonoTime now, const MemberUpdate& update);

  // Suspects `key` after this process's own probe of it failed.
  void Suspect(MonoTime now, ProcessKey key);

  // Declares the members dead whose suspicion has timed out.
  void ExpireSuspicions(MonoTime now);

  // Moves all deadlines later by the duration `pause`, in which this process
  // was paused and could not receive a refutation.
  void Postpone(Microseconds pause);

  MonoTime NextDeadline() const;

  // Returns the updates to send to `receiver`: first its own state when it is
  // suspected or dead, so that it can refute that, and then the updates that
  // were sent the fewest times.
  std::vector<MemberUpdate> TakeUpdates(ProcessKey receiver);

  std::vector<LivenessChange> TakeChanges();

  // Returns the suspects that this process should ping: those suspected because
  // of its own probes, and those that it will soon declare dead.
  std::vector<ProcessKey> SuspectsToPing(MonoTime now) const;

  const std::vector<MemberRow>& rows() const { return m_rows; }
  bool lists_self() const { return m_lists_self; }
  const std::vector<Member>& members() const { return *m_members; }
  size_t StateBytes() const;

 private:
  struct Suspicion {
    ProcessKey m_key = 0;
    MonoTime m_deadline;
    // Caused by a failed probe of this process.
    bool m_from_own_probe = false;
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
  uint16_t m_self_suspicion_number = 0;
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
