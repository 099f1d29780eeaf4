#include "membership/datagram.h"

#include <gtest/gtest.h>

#include <vector>

namespace comfreyshift {
namespace {

constexpr std::string_view kKey = "fleet key";
constexpr ProcessKey kReceiver = 77;

DecodedDatagram FullAck() {
  Ack ack;
  ack.m_revision = 0x1122334455667788;
  ack.m_proof_age = 1234;
  ack.m_load = {7, 300, 8};
  ack.m_witness_hash = 99;
  for (size_t i = 0; i < kMaxWitnesses; ++i) {
    ack.m_witness_ages[i] = static_cast<uint8_t>(i % 16);
  }
  ack.m_confirmed = 0x7FFFFFFFFFFFFFFF;
  return {5, 6, ack, {{8, MemberState::kDead, 3}, {9, MemberState::kAlive, 0}}};
}

// Guards against fields that are lost or swapped on the wire.
TEST(DatagramTest, EveryTypeSurvivesARoundTrip) {
  const Member member{
      {"a-1", 9}, MemberRole::kEntry, {"10.0.0.1", 7000}, {"::1", 7001},
      "thyna",    "rack-3",           "worker-9",         "target-9"};
  for (const DecodedDatagram& datagram :
       {FullAck(), DecodedDatagram{1, 2, Ping{3}, {}},
        DecodedDatagram{1, 2, PingRequest{4}, {}},
        DecodedDatagram{1, 2, RelayedAck{}, {}}}) {
    const auto bytes = EncodeDatagram(datagram, kReceiver, kKey);
    EXPECT_EQ(DecodeDatagram(bytes, kReceiver, kKey).value(), datagram);
  }
  const DecodedDatagram join{1, 2, Join{member}, {}};
  EXPECT_EQ(DecodeDatagram(EncodeDatagram(join, 0, kKey), 3, kKey).value(),
            join);
}

// Guards the traffic budget: a ping or ack without updates stays within 100
// bytes.
TEST(DatagramTest, SizesStayWithinTheBudget) {
  DecodedDatagram ack = FullAck();
  ack.m_updates.clear();
  EXPECT_LE(EncodeDatagram(ack, kReceiver, kKey).size(), 100U);
  EXPECT_LE(EncodeDatagram({1, 2, Ping{3}, {}}, kReceiver, kKey).size(), 50U);
}

}  // namespace
}  // namespace comfreyshift
