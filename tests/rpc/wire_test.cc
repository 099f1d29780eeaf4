#include "rpc/wire.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>
#include <kj/exception.h>

#include <cstring>
#include <random>

namespace comfreyshift {
namespace {

CollectReply SomeReply() {
  CollectReply reply;
  reply.m_accepted = true;
  for (uint32_t i = 0; i < 4; ++i) {
    StartRecord record;
    record.m_task = {SubmissionKey::Make(WallTime(Milliseconds(1000)), i, 7),
                     i == 3 ? kWholeJob : i};
    record.m_first_sent = WallTime(Milliseconds(1000 + i));
    record.m_agent = {"agent-" + std::to_string(i), i};
    record.m_ended = i % 2 == 0;
    record.m_attempt = {i + 2, i + 3};
    record.m_outcome = TaskNotStarted{NotRunReason::kQueueFull};
    reply.m_records.push_back(std::move(record));
  }
  reply.m_records[1].m_outcome = TaskDone{{200, "x"}, Microseconds(5)};
  reply.m_records[2].m_outcome = TaskMayHaveRun{};
  reply.m_histories.push_back({5, 6, WallTime(Milliseconds(77))});
  return reply;
}

// Guards against records that change on their way to a new owner: it would
// start a task again.
TEST(WireTest, CollectReplyKeepsRecordsAndHistories) {
  capnp::MallocMessageBuilder message;
  const CollectReply sent = SomeReply();
  wire_codec::Write(sent, message.initRoot<wire::CollectReply>());
  const CollectReply got =
      wire_codec::Read(message.getRoot<wire::CollectReply>().asReader());
  ASSERT_EQ(got.m_records.size(), sent.m_records.size());
  for (size_t i = 0; i < got.m_records.size(); ++i) {
    EXPECT_EQ(got.m_records[i].m_task, sent.m_records[i].m_task);
    EXPECT_EQ(got.m_records[i].m_agent, sent.m_records[i].m_agent);
    EXPECT_EQ(got.m_records[i].m_ended, sent.m_records[i].m_ended);
    EXPECT_EQ(got.m_records[i].m_attempt, sent.m_records[i].m_attempt);
    EXPECT_EQ(got.m_records[i].m_outcome.index(),
              sent.m_records[i].m_outcome.index());
  }
  ASSERT_EQ(got.m_histories.size(), 1U);
  EXPECT_EQ(got.m_histories[0].m_unknown_before, WallTime(Milliseconds(77)));
}

// Guards against a crash, or an enumeration out of range, from a message that
// was damaged or made up. 20,000 mutations from a fixed seed.
TEST(WireTest, MutatedMessagesAreReadOrRejected) {
  capnp::MallocMessageBuilder message;
  wire_codec::Write(SomeReply(), message.initRoot<wire::CollectReply>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  std::mt19937 random(20261204);
  int rejected = 0;
  for (int round = 0; round < 20'000; ++round) {
    kj::Array<capnp::word> copy = kj::heapArray<capnp::word>(words.size());
    std::memcpy(copy.begin(), words.begin(), words.asBytes().size());
    kj::ArrayPtr<kj::byte> bytes = copy.asPtr().asBytes();
    for (uint32_t i = random() % 4 + 1; i > 0; --i) {
      bytes[random() % bytes.size()] ^= static_cast<uint8_t>(random());
    }
    try {
      capnp::FlatArrayMessageReader reader(copy);
      const CollectReply got =
          wire_codec::Read(reader.getRoot<wire::CollectReply>());
      for (const StartRecord& record : got.m_records) {
        if (const auto* refused =
                std::get_if<TaskNotStarted>(&record.m_outcome)) {
          EXPECT_NE(ToString(refused->m_reason), "");
        }
      }
    } catch (const kj::Exception&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 0);
}

// Guards against a new reason that every receiver rejects as out of range.
TEST(WireTest, ReadsTheNewestReason) {
  const auto newest = static_cast<uint8_t>(NotRunReason::kKeyReused);
  EXPECT_EQ(wire_codec::ReadReason(newest), NotRunReason::kKeyReused);
  EXPECT_THROW(wire_codec::ReadReason(newest + 1), kj::Exception);
}

TEST(WireTest, RejectsReasonsAndKeysOutOfRange) {
  EXPECT_THROW(wire_codec::ReadReason(200), kj::Exception);
  const kj::byte bytes[15] = {};
  EXPECT_THROW(wire_codec::ReadKey(capnp::Data::Reader(bytes, 15)),
               kj::Exception);
}

}  // namespace
}  // namespace comfreyshift
