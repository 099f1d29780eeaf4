#ifndef MEMBERSHIP_PROBER_H_
#define MEMBERSHIP_PROBER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "membership/config.h"
#include "membership/datagram.h"
#include "membership/member_table.h"
#include "membership/random.h"

namespace comfreyshift {

// A datagram to which updates and the tag are still to be added.
struct OutgoingDatagram {
  Address m_to;
  // 0 for a join.
  ProcessKey m_receiver = 0;
  uint64_t m_nonce = 0;
  DatagramBody m_body;
};

// The ping request of another process on whose behalf a ping is sent.
struct RelayRequest {
  ProcessKey m_requester = 0;
  Address m_address;
  uint64_t m_nonce = 0;
};

// A ping or join whose answer has not arrived.
struct Probe {
  uint64_t m_nonce = 0;
  // 0 for a join.
  ProcessKey m_target = 0;
  MonoTime m_sent_at;
  MonoTime m_deadline;
  // Whether the target is suspected when the probe fails. False for pings to
  // members that are suspected or dead already, for joins and for pings on
  // behalf of others.
  bool m_suspect_on_failure = false;
  // The ack timed out, and other members were asked to ping the target.
  bool m_indirect = false;
  std::optional<RelayRequest> m_relay;
};

// Sends the pings: one to the next member in each ping period, indirect ones
// after an ack timeout, and those that other members request. Sends joins while
// the table does not list this process.
class Prober {
 public:
  Prober(const MembershipConfig& config,
         const Member& self,
         uint64_t seed,
         MonoTime now);

  // Starts a new round of pings in random order. Must be called after each
  // change of the member list.
  void Reshuffle(size_t members);
  void SetSeeds(std::vector<Address> seeds);

  // Handles the deadlines that are due. `extra_members` are members to ping in
  // addition to the round robin; at most one of them is pinged in each period.
  void Tick(MonoTime now,
            MemberTable& table,
            const std::vector<ProcessKey>& extra_members);

  // Pings the target on behalf of the requester of `request`.
  void Relay(MonoTime now,
             MemberTable& table,
             ProcessKey target,
             RelayRequest request);

  // Removes and returns the probe that an ack from `sender` answers. Returns
  // nothing for a late or repeated ack.
  std::optional<Probe> TakeAnswered(ProcessKey sender, uint64_t nonce);

  // Removes the indirect probe that a relayed ack answers. Returns false when
  // there is none.
  bool OnRelayedAck(uint64_t nonce);

  void Send(OutgoingDatagram datagram);
  std::vector<OutgoingDatagram> TakeOutgoing();

  void Postpone(Microseconds pause);
  MonoTime NextDeadline() const;
  size_t StateBytes() const;

 private:
  void SendPing(MonoTime now,
                const MemberTable& table,
                const MemberRow& target,
                std::optional<RelayRequest> relay);
  void PingNext(MonoTime now, MemberTable& table);
  void PingExtra(MonoTime now,
                 MemberTable& table,
                 const std::vector<ProcessKey>& extra_members);
  void SendJoin(MonoTime now, const MemberTable& table);
  void SendIndirectProbes(const Probe& probe, MemberTable& table);
  void CheckProbes(MonoTime now, MemberTable& table);
  std::vector<Address> JoinAddresses(const MemberTable& table) const;

  MembershipConfig m_config;
  Member m_self;
  SplitMix64 m_random;
  uint64_t m_next_nonce = 1;
  uint64_t m_round = 0;
  MonoTime m_next_ping_at;
  std::vector<Address> m_seeds;
  // Indices of the table's rows, in the order of the current round of pings.
  std::vector<uint32_t> m_order;
  size_t m_position = 0;
  std::vector<Probe> m_probes;
  std::vector<OutgoingDatagram> m_outgoing;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_PROBER_H_
