#include "membership/freshness.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyshift {
namespace {

const MonoTime kNow{std::chrono::seconds(100)};
constexpr std::chrono::seconds kLifetime{5};

std::vector<ProcessId> Ids(const std::string& names) {
  std::vector<ProcessId> ids;
  for (const char name : names) {
    ids.push_back({std::string(1, name), 1});
  }
  return ids;
}

Freshness Make(const char* self, Revision applied, const std::string& names) {
  Freshness freshness({self, 1}, kLifetime);
  freshness.AddTable(applied, Ids(names), {});
  freshness.Apply(applied);
  return freshness;
}

// Returns the ack of a process at `revision` that heard all witnesses `names`
// just now.
Ack AckOf(const std::string& names, Revision revision) {
  Freshness from = Make("x", revision, names);
  for (const ProcessId& id : Ids(names)) {
    Ack own;
    own.m_revision = revision;
    from.OnAck(MakeProcessKey(id), own, kNow);
  }
  Ack ack;
  from.FillAck(kNow, ack);
  return ack;
}

// Ages for another witness set would be read as those of other processes.
TEST(FreshnessTest, AgesOfAnotherWitnessSetAreNotMerged) {
  Freshness same = Make("o", 1, "abc");
  same.OnAck(1, AckOf("abc", 1), kNow);
  EXPECT_EQ(same.StateAt(kNow), ProofState::kFrozen);
  Freshness other = Make("o", 1, "abc");
  other.OnAck(1, AckOf("abd", 1), kNow);
  EXPECT_EQ(other.StateAt(kNow), ProofState::kCutOff);
}

// Witnesses that follow a newer revision say nothing for this one, but those at
// an older revision do.
TEST(FreshnessTest, AgesOfANewerRevisionAreNotMerged) {
  Freshness behind = Make("o", 1, "abc");
  behind.OnAck(1, AckOf("abc", 2), kNow);
  EXPECT_EQ(behind.StateAt(kNow), ProofState::kCutOff);
  EXPECT_TRUE(behind.HasWitnessMajority(kNow));
  Freshness ahead = Make("o", 2, "abc");
  ahead.OnAck(1, AckOf("abc", 1), kNow);
  EXPECT_EQ(ahead.StateAt(kNow), ProofState::kFrozen);
}

// Revisions before a table are confirmed by the witnesses of the table before.
TEST(FreshnessTest, WitnessesOfATableNotYetAppliedGiveNoProof) {
  Freshness freshness = Make("o", 1, "abc");
  freshness.AddTable(5, Ids("def"), {});
  Ack ack;
  ack.m_revision = 1;
  for (const char* name : {"d", "e", "f"}) {
    freshness.OnAck(MakeProcessKey({name, 1}), ack, kNow);
  }
  EXPECT_EQ(freshness.StateAt(kNow), ProofState::kCutOff);
}

// Two table changes in a row: processes under the first table are stopped only
// when its own witnesses have confirmed the second one. A process that knows
// the last table alone learns of the others from the sets that the table
// carries.
TEST(FreshnessTest, EveryUnretiredSetMustConfirm) {
  Freshness observer({"o", 1}, kLifetime);
  observer.AddTable(3, Ids("def"), {{1, Ids("abc")}, {2, Ids("bcd")}});
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

// A process that slept through several tables must not wait for witnesses that
// are long gone: the sets that a table does not carry were retired by others.
TEST(FreshnessTest, SetsThatATableDoesNotCarryAreRetired) {
  Freshness sleeper = Make("o", 1, "abc");
  sleeper.AddTable(9, Ids("ghi"), {{8, Ids("fgh")}});
  EXPECT_EQ(sleeper.UnretiredSets().size(), 3U);
  sleeper.Apply(9);
  EXPECT_EQ(sleeper.UnretiredSets().size(), 2U);
  Ack ack;
  ack.m_revision = 9;
  for (const char* name : {"g", "h"}) {
    sleeper.OnAck(MakeProcessKey({name, 1}), ack, kNow);
  }
  EXPECT_EQ(sleeper.ConfirmedRevision(), 9U);
}

// Rounding down would let a chain of acks keep an old fact alive.
TEST(FreshnessTest, AgesAreRoundedUp) {
  Freshness freshness = Make("o", 1, "abc");
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

// A store restored from a backup must not count as contact.
TEST(FreshnessTest, ALowerStoreRevisionIsNoContact) {
  Freshness freshness = Make("o", 2, "abc");
  EXPECT_FALSE(freshness.OnStoreRead(1, kNow));
  EXPECT_EQ(freshness.StateAt(kNow), ProofState::kCutOff);
}

}  // namespace
}  // namespace comfreyshift
