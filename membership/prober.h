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

// A datagram before its updates and tag are added.
struct OutgoingDatagram {
  Address m_to;
  // 0 for a join.
  ProcessKey m_receiver = 0;
  uint64_t m_nonce = 0;
  DatagramBody m_body;
};

// Who asked this process to ping another.
struct RelayOrder {
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
  // Its failure makes the target suspected. Not set for pings to members that
  // are suspected or dead already, for joins and on behalf of others.
  bool m_judges = false;
  bool m_indirect = false;
  std::optional<RelayOrder> m_relay;
};

// Sends the pings: one to the next member each period, indirect ones after an
// ack time-out, and those asked for by others.
class Prober {
 public:
  Prober(const MembershipConfig& config,
         const Member& self,
         uint64_t seed,
         MonoTime now);

  // Call after each change of the member list.
  void Reshuffle(size_t members);
  void SetSeeds(std::vector<Address> seeds);

  // Handles what is due. `wanted` are members to ping beside the round robin;
  // at most one of them is pinged each period.
  void Tick(MonoTime now,
            MemberTable& table,
            const std::vector<ProcessKey>& wanted);

  // Pings the target on behalf of `order`'s requester.
  void Relay(MonoTime now,
             MemberTable& table,
             ProcessKey target,
             RelayOrder order);

  // Ends the probe that an ack of `sender` answers and returns it. Returns
  // nothing for a late or repeated ack.
  std::optional<Probe> TakeAnswered(ProcessKey sender, uint64_t nonce);

  // Ends the indirect probe that a relayed ack answers.
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
                std::optional<RelayOrder> relay);
  void PingNext(MonoTime now, MemberTable& table);
  void PingWanted(MonoTime now,
                  MemberTable& table,
                  const std::vector<ProcessKey>& wanted);
  void SendJoin(MonoTime now, const MemberTable& table);
  void AskOthers(const Probe& probe, MemberTable& table);
  void CheckProbes(MonoTime now, MemberTable& table);
  std::vector<Address> JoinAddresses(const MemberTable& table) const;

  MembershipConfig m_config;
  Member m_self;
  RandomBits m_random;
  uint64_t m_next_nonce = 1;
  uint64_t m_round = 0;
  MonoTime m_next_ping_at;
  std::vector<Address> m_seeds;
  // Positions in the table's rows, in the order of this round of pings.
  std::vector<uint32_t> m_order;
  size_t m_position = 0;
  std::vector<Probe> m_probes;
  std::vector<OutgoingDatagram> m_outgoing;
};

}  // namespace comfreyshift

#endif  // MEMBERSHIP_PROBER_H_
