#include "link/codec.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <random>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(5)};

StartRun MakeStartRun() {
  StartRun start;
  start.m_run = {{"00c0ffee", 0, 7}, 42};
  start.m_sequence = 9;
  start.m_service = "service";
  start.m_payload = std::string("with \0 byte", 11);
  start.m_demand = {6200, 64, 1};
  start.m_expected = Milliseconds(60);
  start.m_queue_priority = -5;
  start.m_abandon_at = kNow + Milliseconds(1500);
  start.m_queue_until = kNow + Milliseconds(60);
  start.m_agent_clock = kNow - Milliseconds(30);
  start.m_decided_on = {17, Milliseconds(250)};
  return start;
}

std::vector<LinkMessage> RoundTrip(const std::vector<LinkMessage>& messages,
                                   MonoTime received_at) {
  std::string bytes;
  EncodeBatch(messages, kNow, bytes);
  std::vector<LinkMessage> decoded;
  EXPECT_FALSE(DecodeBatches(bytes, received_at, decoded));
  EXPECT_TRUE(bytes.empty());
  return decoded;
}

// Guards against deadlines that stay on the sender's clock, which has no
// meaning for the receiver.
TEST(LinkCodecTest, ConvertsDeadlinesToTheReceiverClock) {
  const MonoTime received_at = kNow + std::chrono::hours(100);
  const auto decoded = RoundTrip({MakeStartRun()}, received_at);
  ASSERT_EQ(decoded.size(), 1U);
  const auto& start = std::get<StartRun>(decoded[0]);
  EXPECT_EQ(start.m_run, MakeStartRun().m_run);
  EXPECT_EQ(start.m_demand, MakeStartRun().m_demand);
  EXPECT_EQ(start.m_queue_priority, -5);
  EXPECT_EQ(start.m_abandon_at, received_at + Milliseconds(1500));
  EXPECT_EQ(start.m_queue_until, received_at + Milliseconds(60));
  // The agent's own clock value is returned to it unchanged.
  EXPECT_EQ(start.m_agent_clock, kNow - Milliseconds(30));
  EXPECT_EQ(start.m_decided_on, MakeStartRun().m_decided_on);
}

// Guards against a shifted clock value in a heartbeat: the agent compares it
// with its own clock.
TEST(LinkCodecTest, HeartbeatReturnsTheAgentClockUnchanged) {
  const auto decoded = RoundTrip({EntryHeartbeat{kNow + Microseconds(123)}},
                                 kNow + Milliseconds(999));
  EXPECT_EQ(std::get<EntryHeartbeat>(decoded[0]).m_agent_clock,
            kNow + Microseconds(123));
}

// Guards against message types that are encoded or decoded incorrectly.
TEST(LinkCodecTest, RoundTripsTheOtherMessageTypes) {
  RunnerStatus status;
  status.m_agent_clock = kNow;
  status.m_sequence = 4;
  status.m_is_accepting = true;
  status.m_labels = {"a", "r1-2"};
  status.m_free = {-100, 5, 0};
  status.m_slowness = 1.7;
  const auto decoded = RoundTrip(
      {Hello{{"entry", 5}}, Welcome{{"agent", 6}}, StopRun{{{"j", 0, 1}, 2}},
       status,
       RunReport{{{"j", 0, 1}, 2}, RunOutcome::kFailed, true, Milliseconds(70)},
       RelayRead{3, "/key", kNow + Milliseconds(900)},
       RelayAnswer{4, true, 200, std::string("\0\1", 2)},
       OperatorState{9, {"z1", "z2"}}},
      kNow);
  ASSERT_EQ(decoded.size(), 8U);
  EXPECT_EQ(std::get<Hello>(decoded[0]).m_entry, (ProcessId{"entry", 5}));
  EXPECT_EQ(std::get<Welcome>(decoded[1]).m_agent, (ProcessId{"agent", 6}));
  EXPECT_EQ(std::get<Hello>(decoded[0]).m_version, kLinkVersion);
  EXPECT_EQ(std::get<Welcome>(decoded[1]).m_version, kLinkVersion);
  EXPECT_EQ(std::get<StopRun>(decoded[2]).m_run.m_number, 2U);
  EXPECT_EQ(std::get<RunnerStatus>(decoded[3]).m_free, status.m_free);
  EXPECT_EQ(std::get<RunnerStatus>(decoded[3]).m_labels, status.m_labels);
  EXPECT_EQ(std::get<RunReport>(decoded[4]).m_outcome, RunOutcome::kFailed);
  EXPECT_EQ(std::get<RelayRead>(decoded[5]).m_request, "/key");
  EXPECT_EQ(std::get<RelayRead>(decoded[5]).m_give_up_at,
            kNow + Milliseconds(900));
  EXPECT_EQ(std::get<RelayAnswer>(decoded[6]).m_status, 200);
  EXPECT_EQ(std::get<RelayAnswer>(decoded[6]).m_body, std::string("\0\1", 2));
  EXPECT_EQ(std::get<OperatorState>(decoded[7]),
            (OperatorState{9, {"z1", "z2"}}));
}

// Guards against an overflow: the sum of a huge remaining time and the
// receiver's clock would wrap around to a deadline in the past.
TEST(LinkCodecTest, HugeRemainingTimesGiveFutureDeadlines) {
  StartRun start = MakeStartRun();
  start.m_abandon_at = MonoTime::max();
  start.m_queue_until = MonoTime::max();
  const MonoTime received_at = kNow + std::chrono::hours(100);
  const auto decoded =
      RoundTrip({start, RelayRead{3, "/key", MonoTime::max()}}, received_at);
  EXPECT_GT(std::get<StartRun>(decoded[0]).m_abandon_at, received_at);
  EXPECT_GT(std::get<StartRun>(decoded[0]).m_queue_until, received_at);
  EXPECT_GT(std::get<RelayRead>(decoded[1]).m_give_up_at, received_at);
}

RunnerStatus MakeStatus() {
  RunnerStatus status;
  status.m_agent_clock = kNow;
  return status;
}

// Returns messages that each hold one number that no sound process sends.
std::vector<LinkMessage> MessagesWithNumbersOutOfRange() {
  RunnerStatus endless = MakeStatus();
  endless.m_slowness = std::numeric_limits<double>::infinity();
  RunnerStatus not_a_number = MakeStatus();
  not_a_number.m_slowness = std::numeric_limits<double>::quiet_NaN();
  RunnerStatus motionless = MakeStatus();
  motionless.m_slowness = 0.0;
  RunnerStatus huge = MakeStatus();
  huge.m_free.m_cpu_millis = std::numeric_limits<int64_t>::min();
  RunnerStatus late = MakeStatus();
  late.m_agent_clock = MonoTime::max();
  StartRun greedy = MakeStartRun();
  greedy.m_demand.m_memory_mb = std::numeric_limits<int64_t>::max();
  StartRun endless_run = MakeStartRun();
  endless_run.m_expected = Microseconds::max();
  StartRun early = MakeStartRun();
  early.m_agent_clock = MonoTime::min();
  return {endless,
          not_a_number,
          motionless,
          huge,
          late,
          greedy,
          endless_run,
          early,
          EntryHeartbeat{kNow, Microseconds::max()},
          EntryHeartbeat{kNow, Microseconds(-1)},
          RunReport{
              {{"j", 0, 1}, 2}, RunOutcome::kDone, true, Microseconds::min()}};
}

// Guards against numbers of a defective peer that overflow in later sums, which
// is undefined behaviour.
TEST(LinkCodecTest, RejectsNumbersOutOfRange) {
  for (const LinkMessage& message : MessagesWithNumbersOutOfRange()) {
    std::string bytes;
    EncodeBatch(std::vector<LinkMessage>{message}, kNow, bytes);
    std::vector<LinkMessage> decoded;
    EXPECT_EQ(DecodeBatches(bytes, kNow, decoded), FrameError::kMalformed)
        << "message type " << message.index();
  }
}

// Guards against a decoder that fails on changed bytes other than by an error,
// and against a small frame that decodes to more messages than fit in memory.
TEST(LinkCodecTest, ChangedBytesGiveAnErrorOrFewMessages) {
  constexpr int kCases = 20'000;
  constexpr int kMaxChanges = 8;
  std::string valid;
  EncodeBatch(std::vector<LinkMessage>{MakeStartRun(), MakeStatus()}, kNow,
              valid);
  std::mt19937 random(20261205);  // NOLINT(bugprone-random-generator-seed)
  for (int i = 0; i < kCases; ++i) {
    std::string input = valid;
    const auto changes = 1 + random() % kMaxChanges;
    for (size_t change = 0; change < changes; ++change) {
      // The length prefix stays: a longer frame would only be waited for.
      input[4 + random() % (input.size() - 4)] = static_cast<char>(random());
    }
    std::vector<LinkMessage> decoded;
    DecodeBatches(input, kNow, decoded);
    EXPECT_LE(decoded.size(), valid.size() / sizeof(uint64_t));
  }
}

// Guards against frames that are lost or misread when the network splits the
// stream at an arbitrary byte.
TEST(LinkCodecTest, DecodesFramesThatArriveInPieces) {
  std::string bytes;
  EncodeBatch(std::vector<LinkMessage>{MakeStartRun()}, kNow, bytes);
  EncodeBatch(std::vector<LinkMessage>{EntryHeartbeat{kNow}}, kNow, bytes);
  std::string input;
  std::vector<LinkMessage> decoded;
  for (const char byte : bytes) {
    input.push_back(byte);
    EXPECT_FALSE(DecodeBatches(input, kNow, decoded));
  }
  EXPECT_EQ(decoded.size(), 2U);
}

// Guards against closing the connection to a peer of a later version, and
// against losing the messages beside the unknown one.
TEST(LinkCodecTest, IgnoresMessagesOfUnknownTypes) {
  // Position of the first message's type: after the length, the segment table,
  // the pointers to the batch and its list, and the list's tag.
  constexpr size_t kTypePosition = 4 + 8 + 8 + 8 + 8;
  constexpr char kStopRunType = 4;
  const std::vector<LinkMessage> messages = {StopRun{{{"j", 0, 1}, 2}},
                                             StopRun{{{"j", 0, 2}, 3}}};
  std::string frame;
  EncodeBatch(messages, kNow, frame);
  ASSERT_EQ(frame[kTypePosition], kStopRunType);
  frame[kTypePosition] = 99;
  std::vector<LinkMessage> decoded;
  EXPECT_EQ(DecodeBatches(frame, kNow, decoded), std::nullopt);
  ASSERT_EQ(decoded.size(), 1U);
  EXPECT_EQ(std::get<StopRun>(decoded[0]).m_run.m_number, 3U);
}

// Guards against buffering a frame of any announced size, and against messages
// that are read from a corrupt stream.
TEST(LinkCodecTest, RejectsOversizedAndMalformedFrames) {
  std::vector<LinkMessage> decoded;
  std::string huge("\xff\xff\xff\xff", 4);
  EXPECT_EQ(DecodeBatches(huge, kNow, decoded), FrameError::kTooLarge);
  std::string garbage("\x08\x00\x00\x00garbage!", 12);
  EXPECT_EQ(DecodeBatches(garbage, kNow, decoded), FrameError::kMalformed);
  EXPECT_TRUE(decoded.empty());
}

// Guards against a frame that the peer refuses as too large, and that would be
// sent again as a whole after each reconnection (review/11).
TEST(LinkCodecTest, BatchesStayBelowTheLargestFrame) {
  StartRun start = MakeStartRun();
  start.m_payload = std::string(4000, 'x');
  const std::vector<LinkMessage> messages(3000, start);
  std::span<const LinkMessage> remaining(messages);
  size_t decoded = 0;
  while (!remaining.empty()) {
    const size_t count = CountForBatch(remaining);
    ASSERT_GT(count, 0U);
    std::string frame;
    EncodeBatch(remaining.first(count), kNow, frame);
    EXPECT_LT(frame.size(), kMaxFrameBytes);
    std::vector<LinkMessage> received;
    EXPECT_FALSE(DecodeBatches(frame, kNow, received));
    decoded += received.size();
    remaining = remaining.subspan(count);
  }
  EXPECT_EQ(decoded, messages.size());
  const std::vector<LinkMessage> large{
      RelayAnswer{1, true, 200, std::string(2 * kMaxBatchBytes, 'x')}};
  EXPECT_EQ(CountForBatch(large), 1U);
}

}  // namespace
}  // namespace comfreyshift
