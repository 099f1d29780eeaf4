#include <gtest/gtest.h>

#include <map>

#include "dispatch/dispatch.h"

namespace comfreyshift {
namespace {

constexpr WallTime kStartWallTime(Milliseconds(1'796'378'400'000));
constexpr Milliseconds kRetention = std::chrono::minutes(10);

Member MakeAgent(int number) {
  Member member;
  member.m_id = {"agent-" + std::to_string(number), 1'796'378'400'000ULL};
  member.m_datagram_address = {"10.20.30.40", 7401};
  member.m_rpc_address = {"10.20.30.40", 7402};
  member.m_zone = "zona-oriente";
  member.m_rack = "rack-" + std::to_string(number / 30);
  member.m_worker = "worker-" + std::to_string(number);
  member.m_target = "runner-" + std::to_string(number);
  return member;
}

PartitionTable MakeTable(int agents, uint32_t partitions) {
  TableChange change;
  for (int i = 0; i < agents; ++i) {
    change.m_joining.push_back(MakeAgent(i));
  }
  return ApplyChange(MakeEmptyTable(partitions), change, kStartWallTime,
                     kRetention);
}

// Guards against a table above the store's limit of 1 MB for one value, at the
// size expected in two years: 2,400 agents and 8,192 partitions.
TEST(PartitionTableTest, LargestTableFitsIntoOneStoreValue) {
  PartitionTable table = MakeTable(2400, kDefaultPartitionCount);
  for (int i = 0; i < 30; ++i) {
    TableChange change;
    change.m_dead.push_back(MakeAgent(i).m_id);
    table = ApplyChange(table, change, kStartWallTime + std::chrono::seconds(i),
                        kRetention);
  }
  const std::string text = EncodeTable(table);
  EXPECT_LT(text.size(), 1'000'000U);
  const auto decoded = DecodeTable(text);
  ASSERT_TRUE(decoded.has_value()) << decoded.error().m_message;
  EXPECT_EQ(decoded.value(), table);
}

// Guards against a table that is decoded from truncated text or another
// version.
TEST(PartitionTableTest, DecodingRejectsMalformedText) {
  const std::string text = EncodeTable(MakeTable(3, 8));
  EXPECT_FALSE(DecodeTable("").has_value());
  EXPECT_FALSE(DecodeTable(text.substr(0, text.size() - 1)).has_value());
  EXPECT_FALSE(DecodeTable("{\"version\":1}").has_value());
  std::string wrong_version = text;
  wrong_version.replace(wrong_version.find("\"version\":1"), 11,
                        "\"version\":9");
  EXPECT_FALSE(DecodeTable(wrong_version).has_value());
}

// Guards against an uneven distribution of partitions after members joined and
// died, against a move without a new epoch, and against different results for
// the same arguments.
TEST(PartitionTableTest, ChangesKeepSharesEvenAndRaiseEpochs) {
  const PartitionTable before = MakeTable(5, 100);
  TableChange change;
  change.m_joining.push_back(MakeAgent(7));
  change.m_dead.push_back(MakeAgent(1).m_id);
  const PartitionTable after = ApplyChange(
      before, change, kStartWallTime + std::chrono::hours(1), kRetention);
  std::map<ProcessId, int> load;
  for (size_t i = 0; i < 100; ++i) {
    const Partition& old = before.m_partitions[i];
    const Partition& now = after.m_partitions[i];
    ++load[*now.m_owner];
    EXPECT_EQ(now.m_epoch, old.m_epoch + (now.m_owner != old.m_owner ? 1 : 0));
  }
  ASSERT_EQ(load.size(), 5U);
  for (const auto& [id, count] : load) {
    EXPECT_EQ(count, 20) << id.m_name;
  }
  EXPECT_EQ(after,
            ApplyChange(before, change, kStartWallTime + std::chrono::hours(1),
                        kRetention));
}

}  // namespace
}  // namespace comfreyshift
