#ifndef MEMBERSHIP_DATAGRAM_H_
#define MEMBERSHIP_DATAGRAM_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"
#include "membership/member.h"

namespace comfreyshift {

// Hash of a ProcessId's name and incarnation that identifies the process in
// datagrams. 64 bits keep the probability of any collision among 2,400 members
// below 1e-12.
using ProcessKey = uint64_t;

ProcessKey MakeProcessKey(const ProcessId& id);

// Largest number of witnesses; odd, so that a majority is always strict.
inline constexpr size_t kMaxWitnesses = 63;
// Largest number of member updates in one datagram.
inline constexpr size_t kMaxUpdates = 6;
// Larger datagrams are rejected: one datagram stays within one Ethernet frame.
inline constexpr size_t kMaxDatagramSize = 1200;
// Witness age code for "not heard from within the proof's lifetime".
inline constexpr uint8_t kUnknownWitnessAge = 15;
// Proof age that stands for "no proof". Other proof ages are in ms.
inline constexpr uint16_t kNoProofAge = 0xFFFF;

enum class MemberState : uint8_t { kAlive = 0, kSuspected = 1, kDead = 2 };

// One process's report about the liveness of a member.
struct MemberUpdate {
  ProcessKey m_subject = 0;
  MemberState m_state = MemberState::kAlive;
  // Increased only by the subject, to refute a suspicion.
  uint16_t m_suspicion_number = 0;

  bool operator==(const MemberUpdate&) const = default;
};

struct Ping {
  Revision m_revision = 0;

  bool operator==(const Ping&) const = default;
};

struct Ack {
  Revision m_revision = 0;
  // Age of the sender's proof in ms, rounded up: no revision newer than
  // m_revision was written earlier than this long before the ack was made.
  uint16_t m_proof_age = kNoProofAge;
  MemberLoad m_load;
  // HashWitnesses() of the set that m_witness_ages and m_confirmed refer to,
  // both in the order of its sorted keys.
  uint64_t m_witness_hash = 0;
  // For each witness, the time since it last certainly had no revision above
  // m_revision, in units of 1/15 of the proof's lifetime, rounded up.
  std::array<uint8_t, kMaxWitnesses> m_witness_ages{};
  // Bit i is set when witness i reported m_revision or a newer one.
  uint64_t m_confirmed = 0;

  bool operator==(const Ack&) const = default;
};

// Asks the receiver to ping m_target and to reply with RelayedAck when m_target
// acknowledges.
struct PingRequest {
  ProcessKey m_target = 0;

  bool operator==(const PingRequest&) const = default;
};

// Reports that the target of the ping request with the same nonce is alive.
struct RelayedAck {
  bool operator==(const RelayedAck&) const = default;
};

// Sent by a process that the table does not list yet.
struct Join {
  Member m_member;

  bool operator==(const Join&) const = default;
};

using DatagramBody = std::variant<Ping, Ack, PingRequest, RelayedAck, Join>;

struct DecodedDatagram {
  ProcessKey m_sender = 0;
  // A sender never reuses the nonce of a ping. Answers repeat it.
  uint64_t m_nonce = 0;
  DatagramBody m_body;
  std::vector<MemberUpdate> m_updates;

  bool operator==(const DecodedDatagram&) const = default;
};

enum class DatagramError : uint8_t {
  kOversized,
  kMalformed,
  kWrongVersion,
  kWrongTag,
};

std::string_view ToString(DatagramError error);

// Encodes `datagram` and appends an HMAC tag for the process `receiver`. A join
// has receiver 0, because its sender does not know the process that it reaches.
std::vector<uint8_t> EncodeDatagram(const DecodedDatagram& datagram,
                                    ProcessKey receiver,
                                    std::string_view fleet_key);

// Verifies and decodes a datagram that arrived at process `receiver`. The tag
// covers the receiver, so a datagram for another process or an earlier
// incarnation is rejected with kWrongTag.
Result<DecodedDatagram, DatagramError> DecodeDatagram(
    std::span<const uint8_t> bytes,
    ProcessKey receiver,
    std::string_view fleet_key);

}  // namespace comfreyshift

#endif  // MEMBERSHIP_DATAGRAM_H_
