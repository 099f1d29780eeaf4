#include "config/replica.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "config/config.h"
#include "tests/config/fake_store.h"

namespace comfreyshift {
namespace {

std::string Target(int number) {
  return "/comfreyshift/inventory/target/" + std::to_string(number);
}

ConfigEntry Entry(int number, Revision revision, std::string value) {
  return {Target(number), std::move(value), revision};
}

ConfigErrorCode ErrorOf(ConfigReplica& replica, const ConfigChanges& changes) {
  return replica.Apply(changes).assume_error().m_code;
}

class ReplicaTest : public testing::Test {
 protected:
  ReplicaTest() {
    EXPECT_TRUE(
        m_replica.Apply({0, 10, {Entry(1, 5, "a"), Entry(2, 10, "b")}}));
  }

  ConfigReplica m_replica;
};

// Guards against a configuration that reverts when an old peer or a restored
// store answers.
TEST_F(ReplicaTest, RevisionIsNeverLowered) {
  EXPECT_EQ(ErrorOf(m_replica, {0, 9, {Entry(1, 9, "old")}}),
            ConfigErrorCode::kLowerRevision);
  EXPECT_EQ(m_replica.revision(), 10u);
  EXPECT_EQ(m_replica.Find(Target(1)), "a");
}

// Guards against changes that are skipped between two deliveries.
TEST_F(ReplicaTest, ChangesThatDoNotFollowAreRefused) {
  EXPECT_EQ(ErrorOf(m_replica, {11, 12, {Entry(1, 12, "c")}}),
            ConfigErrorCode::kGap);
}

// Guards against a half-applied delivery.
TEST_F(ReplicaTest, BadEntryLeavesTheReplicaUnchanged) {
  EXPECT_EQ(
      ErrorOf(m_replica, {10, 12, {Entry(1, 11, "c"), {"/other", "x", 12}}}),
      ConfigErrorCode::kForeignKey);
  EXPECT_EQ(ErrorOf(m_replica, {10, 12, {Entry(1, 13, "c")}}),
            ConfigErrorCode::kMalformed);
  EXPECT_EQ(ErrorOf(m_replica, {0, 12, {Entry(2, 10, "other")}}),
            ConfigErrorCode::kDiverged);
  EXPECT_EQ(m_replica.ChangesSince(10), (ConfigChanges{10, 10, {}}));
}

// Guards against a deleted target that stays in replicas that were behind.
TEST_F(ReplicaTest, DeletionReachesPeersAsTombstone) {
  ConfigReplica peer = m_replica;
  ASSERT_TRUE(
      m_replica.Apply({10, 11, {Entry(1, 11, std::string(kTombstone))}}));
  EXPECT_EQ(peer.Apply(m_replica.ChangesSince(peer.revision())).assume_value(),
            std::vector<std::string>{Target(1)});
  EXPECT_EQ(peer.Find(Target(1)), std::nullopt);
  EXPECT_EQ(peer.ModRevision(Target(1)), 11u);
  std::vector<std::string> seen;
  peer.ForEach("/comfreyshift/inventory/",
               [&seen](std::string_view key, std::string_view) {
                 seen.emplace_back(key);
               });
  EXPECT_EQ(seen, std::vector<std::string>{Target(2)});
}

// Guards against a key removed behind the edits that lives on in replicas.
TEST_F(ReplicaTest, KeyMissingFromSnapshotIsDeleted) {
  ASSERT_TRUE(m_replica.Apply({0, 12, {Entry(2, 10, "b")}}));
  EXPECT_EQ(m_replica.Find(Target(1)), std::nullopt);
  EXPECT_EQ(m_replica.ChangesSince(10).m_entries.at(0).m_mod_revision, 12u);
}

// Guards against a read of the store that misses changes, deletions or the
// table, from any revision on.
TEST(ReplicaPropertyTest, AnyRouteOfChangesEndsInTheStoresState) {
  EXPECT_TRUE(rc::check("replicas equal the store", [] {
    FakeStore store;
    std::vector<ConfigReplica> replicas(4);
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4)));
    int number = 0;
    for (auto [target, reader] : steps) {
      std::string key = target == 9 ? std::string(kTableKey) : Target(target);
      std::string value = target % 3 == 0 && number % 2 == 1
                              ? std::string(kTombstone)
                              : std::to_string(number);
      ++number;
      store.Txn({.m_success = {PutRequest{.m_key = key, .m_value = value},
                               PutRequest{.m_key = std::string(kHeadKey)}}});
      ConfigReplica& replica = replicas[reader];
      Revision since = replica.revision();
      if (reader == 0) {
        auto reply = store.Txn(ConfigReadRequest(since));
        RC_ASSERT(static_cast<bool>(
            replica.Apply(ReadConfigReply(since, reply).assume_value())));
      } else if (replicas[reader - 1].revision() >= since) {
        RC_ASSERT(static_cast<bool>(
            replica.Apply(replicas[reader - 1].ChangesSince(since))));
      }
    }
    for (ConfigReplica& replica : replicas) {
      Revision since = replica.revision();
      auto reply = store.Txn(ConfigReadRequest(since));
      RC_ASSERT(static_cast<bool>(
          replica.Apply(ReadConfigReply(since, reply).assume_value())));
      for (const auto& [key, kv] : store.keys()) {
        if (IsConfigKey(key)) {
          RC_ASSERT(replica.ModRevision(key) == kv.m_mod_revision);
          RC_ASSERT(replica.Find(key).value_or(kTombstone) == kv.m_value);
        }
      }
    }
  }));
}

}  // namespace
}  // namespace comfreyshift
