#include "membership/datagram.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

#include "membership/membership.h"

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

// Guards against fields that are lost or swapped by encoding and decoding.
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

// Guards the traffic budget: without updates an ack must take at most 100 bytes
// and a ping at most 50.
TEST(DatagramTest, SizesStayWithinTheBudget) {
  DecodedDatagram ack = FullAck();
  ack.m_updates.clear();
  EXPECT_LE(EncodeDatagram(ack, kReceiver, kKey).size(), 100U);
  EXPECT_LE(EncodeDatagram({1, 2, Ping{3}, {}}, kReceiver, kKey).size(), 50U);
}

// Guards against accepting a datagram that was changed, truncated, extended or
// meant for another process, and against crashes on malformed content with a
// valid tag, which must be decoded or rejected.
TEST(DatagramTest, MutatedDatagramsAreRejected) {
  EXPECT_TRUE(rc::check("mutations", [] {
    auto bytes = EncodeDatagram(FullAck(), kReceiver, kKey);
    const auto original = bytes;
    const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    const auto kind = *rc::gen::inRange(0, 3);
    if (kind == 0) {
      bytes[position] ^= *rc::gen::inRange<uint8_t>(1, 255);
    } else if (kind == 1) {
      bytes.resize(position);
    } else {
      bytes.insert(bytes.end(), position + 1, 0);
    }
    RC_ASSERT(!DecodeDatagram(bytes, kReceiver, kKey));
    RC_ASSERT(!DecodeDatagram(original, kReceiver + 1, kKey));
    RC_ASSERT(!DecodeDatagram(original, kReceiver, "other key"));
  }));
  EXPECT_TRUE(rc::check("signed noise", [] {
    const Member member{
        {"a", 1}, MemberRole::kAgent, {"h", 1}, {"h", 2}, "z", "r", "w", "t"};
    const DecodedDatagram join{1, 2, Join{member}, {}};
    const bool is_join = *rc::gen::arbitrary<bool>();
    auto content = EncodeDatagram(is_join ? join : FullAck(), 0, kKey);
    content.resize(*rc::gen::inRange(19, static_cast<int>(content.size())));
    for (const auto& [position, value] :
         *rc::gen::arbitrary<std::vector<std::pair<uint8_t, uint8_t>>>()) {
      content[1 + position % (content.size() - 1)] = value;
    }
    std::vector<uint8_t> covered(8, 0);
    covered.insert(covered.end(), content.begin(), content.end());
    const MacTag tag = ComputeMac(kKey, covered);
    content.insert(content.end(), tag.begin(), tag.end());
    const auto decoded = DecodeDatagram(content, 0, kKey);
    // RC_ASSERT evaluates both operands of ||, so the condition is outside it.
    if (decoded) {
      const auto again = EncodeDatagram(decoded.value(), 0, kKey);
      RC_ASSERT(again.size() == content.size());
    }
  }));
  const std::vector<uint8_t> large(kMaxDatagramSize + 1, 1);
  EXPECT_EQ(DecodeDatagram(large, 0, kKey).error(), DatagramError::kOversized);
}

// Guards against answering a repeated ping again, and against a repeated ack
// that extends a proof.
TEST(DatagramTest, ReplaysAreCountedAndIgnored) {
  const Address a_address{"10.0.0.1", 1};
  const Address b_address{"10.0.0.1", 2};
  std::vector<Member> members(2);
  members[0] = {{"a", 1}, MemberRole::kAgent, a_address, a_address, "", "", "",
                ""};
  members[1] = {{"b", 1}, MemberRole::kAgent, b_address, b_address, "", "", "",
                ""};
  const MonoTime start(std::chrono::seconds(1));
  Membership a({.m_fleet_key = "k"}, members[0], 1, start);
  Membership b({.m_fleet_key = "k"}, members[1], 2, start);
  a.SetMembers(start, 1, members, {});
  b.SetMembers(start, 1, members, {});
  const MonoTime now = start + Milliseconds(200);
  a.Tick(now);
  const auto pings = a.TakeDatagrams();
  ASSERT_EQ(pings.size(), 1U);
  b.OnDatagram(now, a_address, pings[0].m_bytes);
  b.OnDatagram(now, a_address, pings[0].m_bytes);
  const auto acks = b.TakeDatagrams();
  EXPECT_EQ(acks.size(), 1U);
  EXPECT_EQ(b.counters().m_replayed, 1U);
  a.OnDatagram(now, b_address, acks[0].m_bytes);
  a.OnDatagram(now, b_address, acks[0].m_bytes);
  EXPECT_EQ(a.counters().m_unmatched, 1U);
}

}  // namespace
}  // namespace comfreyshift
