#include "platform/store_wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <variant>

#include "tests/platform/wire_texts.h"

namespace comfreyshift::platform {
namespace {

using Json = nlohmann::json;

TEST(StoreWireTest, DecodesRangesAndEvents) {
  const auto range =
      DecodeRange(R"({"items":[{"key":"k","value":"bm9kZS0x","revision":412}],)"
                  R"("has_more":true,"at_rev":530})");
  ASSERT_TRUE(range);
  EXPECT_EQ(range.value().m_items[0].m_value, "node-1");
  EXPECT_TRUE(range.value().m_has_more);
  EXPECT_EQ(range.value().m_revision, 530U);
  const auto events =
      DecodeEvents(R"({"events":[{"key":"k","revision":413,"tombstone":true}],)"
                   R"("at_rev":413})");
  ASSERT_TRUE(events);
  ASSERT_EQ(events.value().m_changes.size(), 1U);
  const auto* removal =
      std::get_if<StoreRemoval>(&events.value().m_changes.front());
  ASSERT_NE(removal, nullptr);
  EXPECT_EQ(removal->m_key, "k");
  EXPECT_EQ(removal->m_revision, 413U);
  EXPECT_FALSE(DecodeRange("{}"));
}

// Guards against changes of one key that are applied in another order than they
// were made, in whichever order the answer lists them.
TEST(StoreWireTest, ChangesOfAWatchAreInTheOrderOfTheirRevisions) {
  const std::string removed = R"({"key":"k","revision":20,"tombstone":true})";
  const std::string written = R"({"key":"k","value":"","revision":21})";
  const std::string orders[][2] = {{removed, written}, {written, removed}};
  for (const auto& [first, second] : orders) {
    std::string answer = R"({"events":[)";
    answer.append(first).append(",").append(second).append(R"(],"at_rev":21})");
    const auto changes = DecodeEvents(answer);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes.value().m_changes.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<StoreRemoval>(
        changes.value().m_changes.front()));
    EXPECT_TRUE(
        std::holds_alternative<StoreItem>(changes.value().m_changes.back()));
  }
}

// Guards against a change that cannot be put in order; a listing follows.
TEST(StoreWireTest, RejectsChangesWithoutARevision) {
  EXPECT_FALSE(DecodeEvents(R"({"events":[{"key":"k"}],"at_rev":21})"));
}

// Guards against a restarted agent that has to wait for the runner's next
// heartbeat.
TEST(StoreWireTest, AgentRecordsIncludeRunnerHeartbeat) {
  const Address address{"10.1.0.14", 7720};
  const auto record =
      DecodeAgentRecord(EncodeAgentRecord(address, "i-1", kHeartbeat));
  ASSERT_TRUE(record);
  EXPECT_EQ(record.value().m_address, address);
  ASSERT_TRUE(record.value().m_runner_heartbeat);
  EXPECT_EQ(record.value().m_runner_heartbeat->m_process_incarnation,
            (RunnerIncarnation{"i-1", 1789171779000}));
  const auto without = DecodeAgentRecord(EncodeAgentRecord(address, "", ""));
  ASSERT_TRUE(without);
  EXPECT_FALSE(without.value().m_runner_heartbeat);
  EXPECT_FALSE(DecodeAgentRecord("10.1.0.14:7720"));
}

TEST(StoreWireTest, EncodesTransactions) {
  const Json put = Json::parse(EncodePut("k", "node-1", 9, 12));
  EXPECT_EQ(put["expect"][0]["key"], "k");
  EXPECT_EQ(put["expect"][0]["revision"], 12);
  EXPECT_EQ(put["puts"][0]["value"], "bm9kZS0x");
  EXPECT_EQ(put["puts"][0]["lease_id"], 9);
}

// Guards against a malformed record that ends every process: all of them read
// the records in the store, again after each restart.
TEST(StoreWireTest, RejectsMalformedRecords) {
  for (const std::string& record :
       {std::string(R"({"address":"10.1.0.14:7720","more":)") +
            NestedArrays(kExcessiveDepth) + "}",
        std::string(R"({"address":"10.1.0.14:77200"})"),
        std::string(R"({"address":1e300})"), std::string("\xff\xfe"),
        EncodeAgentRecord({"10.1.0.14", 7720}, "i-1",
                          NestedArrays(kExcessiveDepth))}) {
    EXPECT_FALSE(DecodeAgentRecord(record)) << record.substr(0, 40);
  }
}

// Guards against undefined behaviour in the conversion of such numbers. A
// revision of an item that is out of range counts as 0.
TEST(StoreWireTest, RejectsNumbersOutOfRange) {
  EXPECT_FALSE(DecodeLease(R"({"lease_id":1e300})"));
  EXPECT_FALSE(DecodeLease(R"({"lease_id":18446744073709551615})"));
  const auto range =
      DecodeRange(R"({"items":[{"key":"k","value":"","revision":1e300}],)"
                  R"("at_rev":530})");
  ASSERT_TRUE(range);
  EXPECT_EQ(range.value().m_items[0].m_revision, 0U);
}

// Guards against a watch from revision 0, which the store would answer at once
// with the same changes again and again.
TEST(StoreWireTest, RejectsAnswersWithoutARevision) {
  for (const char* revision :
       {"", R"(,"at_rev":0)", R"(,"at_rev":-1)", R"(,"at_rev":1e300)"}) {
    EXPECT_FALSE(DecodeRange(R"({"items":[])" + std::string(revision) + "}"));
    EXPECT_FALSE(DecodeEvents(R"({"events":[])" + std::string(revision) + "}"));
  }
}

}  // namespace
}  // namespace comfreyshift::platform
