#include "membership/freshness.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyshift {
namespace {

const MonoTime kNow{std::chrono::seconds(100)};
constexpr std::chrono::seconds kLifetime{5};

std::vector<ProcessId> MakeIds(const std::string& names) {
  std::vector<ProcessId> ids;
  for (const char name : names) {
    ids.push_back({std::string(1, name), 1});
  }
  return ids;
}

Freshness MakeFreshness(const char* self,
                        Revision applied,
                        const std::string& names) {
  Freshness freshness({self, 1}, kLifetime);
  freshness.AddTable(applied, MakeIds(names), {});
  freshness.Apply(applied);
  return freshness;
}

// Returns the ack of a process at `revision` that has just heard from all
// witnesses `names`.
Ack MakeAck(const std::string& names, Revision revision) {
  Freshness from = MakeFreshness("x", revision, names);
  for (const ProcessId& id : MakeIds(names)) {
    Ack own;
    own.m_revision = revision;
    from.OnAck(MakeProcessKey(id), own, kNow);
  }
  Ack ack;
  from.FillAck(kNow, ack);
  return ack;
}

// Guards against attributing the ages of another witness set to the wrong
// witnesses.
TEST(FreshnessTest, AgesOfAnotherWitnessSetAreNotMerged) {
  Freshness same = MakeFreshness("o", 1, "abc");
  same.OnAck(1, MakeAck("abc", 1), kNow);
  EXPECT_EQ(same.StateAt(kNow), ProofState::kFrozen);
  Freshness other = MakeFreshness("o", 1, "abc");
  other.OnAck(1, MakeAck("abd", 1), kNow);
  EXPECT_EQ(other.StateAt(kNow), ProofState::kCutOff);
}

// Guards against a proof by witnesses that have already applied a newer
// revision. Witnesses at an older revision do count.
TEST(FreshnessTest, AgesOfANewerRevisionAreNotMerged) {
  Freshness behind = MakeFreshness("o", 1, "abc");
  behind.OnAck(1, MakeAck("abc", 2), kNow);
  EXPECT_EQ(behind.StateAt(kNow), ProofState::kCutOff);
  EXPECT_TRUE(behind.HasWitnessMajority(kNow));
  Freshness ahead = MakeFreshness("o", 2, "abc");
  ahead.OnAck(1, MakeAck("abc", 1), kNow);
  EXPECT_EQ(ahead.StateAt(kNow), ProofState::kFrozen);
}

// Guards against a proof by the witnesses of a table that is not applied yet:
// revisions before that table are confirmed by the previous table's witnesses.
TEST(FreshnessTest, WitnessesOfATableNotYetAppliedGiveNoProof) {
  Freshness freshness = MakeFreshness("o", 1, "abc");
  freshness.AddTable(5, MakeIds("def"), {});
  Ack ack;
  ack.m_revision = 1;
  for (const char* name : {"d", "e", "f"}) {
    freshness.OnAck(MakeProcessKey({name, 1}), ack, kNow);
  }
  EXPECT_EQ(freshness.StateAt(kNow), ProofState::kCutOff);
}

// Guards against confirming a revision too early after two table changes in a
// row. Processes under the first table are stopped only once its own witnesses
// have confirmed the second one. A process that knows only the last table
// learns of the earlier sets from the list in that table.
TEST(FreshnessTest, EveryUnretiredSetMustConfirm) {
  Freshness observer({"o", 1}, kLifetime);
  observer.AddTable(3, MakeIds("def"),
                    {{1, MakeIds("abc")}, {2, MakeIds("bcd")}});
  observer.Apply(3);
  Ack ack;
  ack.m_revision = 3;
  const auto show = [&](const char* name) {
    observer.OnAck(MakeProcessKey({name, 1}), ack, kNow);
  };
  show("d");
  show("e");
  show("b");
  EXPECT_EQ(observer.ConfirmedRevision(), 0U);
  EXPECT_EQ(observer.UnretiredSets().size(), 2U);
  Freshness forced = observer;
  forced.DropSetsBefore(3);
  EXPECT_EQ(forced.ConfirmedRevision(), 3U);
  show("c");
  EXPECT_EQ(observer.ConfirmedRevision(), 3U);
  EXPECT_EQ(observer.UnretiredSets().size(), 1U);
}

// Guards against waiting forever for witnesses that no longer exist, in a
// process that missed several tables. Sets that a table does not list were
// retired by other processes.
TEST(FreshnessTest, SetsThatATableDoesNotCarryAreRetired) {
  Freshness absent = MakeFreshness("o", 1, "abc");
  absent.AddTable(9, MakeIds("ghi"), {{8, MakeIds("fgh")}});
  EXPECT_EQ(absent.UnretiredSets().size(), 3U);
  absent.Apply(9);
  EXPECT_EQ(absent.UnretiredSets().size(), 2U);
  Ack ack;
  ack.m_revision = 9;
  for (const char* name : {"g", "h"}) {
    absent.OnAck(MakeProcessKey({name, 1}), ack, kNow);
  }
  EXPECT_EQ(absent.ConfirmedRevision(), 9U);
}

// Guards against ages rounded down, with which a chain of acks could keep an
// old proof valid.
TEST(FreshnessTest, AgesAreRoundedUp) {
  Freshness freshness = MakeFreshness("o", 1, "abc");
  ASSERT_TRUE(freshness.OnStoreRead(1, kNow));
  Ack shown;
  shown.m_revision = 1;
  freshness.OnAck(MakeProcessKey({"a", 1}), shown, kNow);
  Ack ack;
  freshness.FillAck(kNow + Microseconds(1), ack);
  EXPECT_EQ(ack.m_proof_age, 1);
  size_t heard = 0;
  for (size_t i = 0; i < 3; ++i) {
    heard += ack.m_witness_ages[i] == 1 ? 1 : 0;
  }
  EXPECT_EQ(heard, 1U);
}

// Guards against a proof from a store that was restored from a backup and has a
// lower revision.
TEST(FreshnessTest, ALowerStoreRevisionIsNoProof) {
  Freshness freshness = MakeFreshness("o", 2, "abc");
  EXPECT_FALSE(freshness.OnStoreRead(1, kNow));
  EXPECT_EQ(freshness.StateAt(kNow), ProofState::kCutOff);
}

}  // namespace
}  // namespace comfreyshift
