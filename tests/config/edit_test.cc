#include "config/edit.h"

#include <gtest/gtest.h>

#include "config/config.h"
#include "tests/config/fake_store.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

constexpr MonoTime kStart = MonoTime(1h);
constexpr MonoTime kDeadline = kStart + 10s;
const std::string kZone = "/comfreyshift/inventory/zone/medina";

std::string Id(int number) {
  return SubmissionKey::Make(WallTime(1s), 0, static_cast<uint64_t>(number))
      .ToString();
}

Edit ZoneEdit(int number, Revision expected, std::string value) {
  return {.m_id = Id(number),
          .m_actor = "operator",
          .m_time = WallTime(Milliseconds(1000 + number)),
          .m_description = "close",
          .m_changes = {{kZone, expected, std::move(value)}}};
}

EditProcess Start(const Edit& edit) {
  return EditProcess::Create(edit, kDeadline).assume_value();
}

// Makes the calls of `process` on `store` until it has an outcome.
EditOutcome Finish(EditProcess& process, FakeStore& store) {
  while (true) {
    auto step = process.NextStep(kStart);
    if (auto* outcome = std::get_if<EditOutcome>(&step)) {
      return *outcome;
    }
    process.OnReply(store.Txn(std::get<EditCall>(step).m_txn));
  }
}

EditOutcome FinishNew(const Edit& edit, FakeStore& store) {
  EditProcess process = Start(edit);
  return Finish(process, store);
}

// Makes calls up to the write and returns that one.
EditCall NextWrite(EditProcess& process, FakeStore& store) {
  while (true) {
    auto step = process.NextStep(kStart);
    auto& call = std::get<EditCall>(step);
    if (call.m_writes) {
      return call;
    }
    process.OnReply(store.Txn(call.m_txn));
  }
}

// Guards against an edit without its audit record, or with a record that does
// not show what was there before.
TEST(EditTest, WritesValuesHeadAuditAndOutcomeAtOneRevision) {
  FakeStore store;
  Revision first =
      std::get<EditApplied>(FinishNew(ZoneEdit(1, 0, "open"), store))
          .m_revision;
  auto outcome = FinishNew(ZoneEdit(2, first, "closed"), store);
  Revision second = std::get<EditApplied>(outcome).m_revision;
  EXPECT_EQ(store.keys().at(kZone).m_value, "closed");
  EXPECT_EQ(HeadRevision(store.Range(HeadRequest())), second);
  const KeyValue& kv = store.keys().at(AuditKey(WallTime(1002ms), Id(2)));
  EXPECT_EQ(kv.m_key, "/comfreyshift/audit/0000000000001002-" + Id(2));
  AuditRecord record = DecodeAuditRecord(kv).assume_value();
  EXPECT_EQ(record.m_actor, "operator");
  EXPECT_EQ(record.m_time, WallTime(1002ms));
  EXPECT_EQ(record.m_revision, second);
  EXPECT_EQ(record.m_changes,
            (std::vector<AuditChange>{
                {kZone, AuditValue("open"), AuditValue("closed")}}));
}

// Guards against two racing edits that both apply, one over the other.
TEST(EditTest, SecondOfTwoRacingEditsConflicts) {
  FakeStore store;
  EditProcess one = Start(ZoneEdit(1, 0, "a"));
  EditProcess other = Start(ZoneEdit(2, 0, "b"));
  EditCall first_write = NextWrite(one, store);
  EditCall second_write = NextWrite(other, store);
  one.OnReply(store.Txn(first_write.m_txn));
  other.OnReply(store.Txn(second_write.m_txn));
  EXPECT_TRUE(std::holds_alternative<EditApplied>(Finish(one, store)));
  auto conflict = std::get<EditConflict>(Finish(other, store));
  ASSERT_EQ(conflict.m_current.size(), 1u);
  EXPECT_EQ(conflict.m_current[0].m_value, "a");
  EXPECT_EQ(store.keys().at(kZone).m_version, 1u);
}

// Guards against an edit sent again that applies twice or reports a conflict
// with itself.
TEST(EditTest, SameIdAgainReportsTheFirstRevision) {
  FakeStore store;
  Edit edit = ZoneEdit(1, 0, "a");
  Revision first = std::get<EditApplied>(FinishNew(edit, store)).m_revision;
  ASSERT_TRUE(std::holds_alternative<EditApplied>(
      FinishNew(ZoneEdit(2, first, "b"), store)));
  auto again = std::get<EditApplied>(FinishNew(edit, store));
  EXPECT_EQ(again.m_revision, first);
  EXPECT_TRUE(again.m_earlier);
  EXPECT_EQ(store.keys().at(kZone).m_value, "b");
}

// Guards against another edit under a used id being reported as applied.
TEST(EditTest, OtherChangesUnderUsedIdAreRefused) {
  FakeStore store;
  Revision first =
      std::get<EditApplied>(FinishNew(ZoneEdit(1, 0, "a"), store)).m_revision;
  auto outcome = FinishNew(ZoneEdit(1, first, "b"), store);
  EXPECT_FALSE(std::get<EditNotApplied>(outcome).m_unavailable);
}

// Guards against a lost answer reported as a failure or a conflict.
TEST(EditTest, LostAnswerIsResolvedByReadingTheIdBack) {
  FakeStore store;
  EditProcess process = Start(ZoneEdit(1, 0, "a"));
  store.Txn(NextWrite(process, store).m_txn);
  process.OnFailure(CallEffect::kMayBeWritten, "lost");
  EXPECT_FALSE(std::get<EditCall>(process.NextStep(kStart)).m_writes);
  auto applied = std::get<EditApplied>(Finish(process, store));
  EXPECT_EQ(applied.m_revision, store.keys().at(kZone).m_mod_revision);
  EXPECT_FALSE(applied.m_earlier);
}

// Guards against "not applied" for a write that is still on its way and takes
// effect after the id was read back as absent.
TEST(EditTest, WriteThatArrivesLateIsCountedOnce) {
  FakeStore store;
  EditProcess process = Start(ZoneEdit(1, 0, "a"));
  EditCall late = NextWrite(process, store);
  process.OnFailure(CallEffect::kMayBeWritten, "lost");
  EditCall again = NextWrite(process, store);
  store.Txn(late.m_txn);
  process.OnReply(store.Txn(again.m_txn));
  EXPECT_TRUE(std::holds_alternative<EditApplied>(Finish(process, store)));
  EXPECT_EQ(store.keys().at(kZone).m_version, 1u);
}

// Guards against "not applied" at the deadline after a write whose answer was
// lost, and against "unknown" when nothing was sent.
TEST(EditTest, DeadlineTellsUnknownFromNotApplied) {
  FakeStore store;
  EditProcess unsent = Start(ZoneEdit(1, 0, "a"));
  unsent.OnFailure(CallEffect::kUnavailable, "down");
  EXPECT_TRUE(std::get<EditCall>(unsent.NextStep(kStart)).m_repeated);
  auto outcome = std::get<EditOutcome>(unsent.NextStep(kDeadline));
  EXPECT_TRUE(std::get<EditNotApplied>(outcome).m_unavailable);

  EditProcess sent = Start(ZoneEdit(2, 0, "a"));
  NextWrite(sent, store);
  sent.OnFailure(CallEffect::kMayBeWritten, "lost");
  sent.OnFailure(CallEffect::kUnavailable, "down");
  outcome = std::get<EditOutcome>(sent.NextStep(kDeadline));
  EXPECT_TRUE(std::holds_alternative<EditUnknown>(outcome));
}

// Guards against a large value that makes the audit record too long to store.
TEST(EditTest, LargeValuesAreAuditedAsDigest) {
  FakeStore store;
  Edit edit = ZoneEdit(1, 0, "");
  edit.m_changes[0].m_value = std::string(kMaxValueBytes, 'x');
  ASSERT_TRUE(std::holds_alternative<EditApplied>(FinishNew(edit, store)));
  const KeyValue& kv = store.keys().at(AuditKey(edit.m_time, edit.m_id));
  EXPECT_LT(kv.m_value.size(), 1000u);
  AuditRecord record = DecodeAuditRecord(kv).assume_value();
  EXPECT_EQ(std::get<ValueDigest>(record.m_changes[0].m_after).m_bytes,
            kMaxValueBytes);
}

// Guards against edits that the store would refuse or replicas never see.
TEST(EditTest, InvalidEditsAreRefusedWithTheFact) {
  auto message = [](Edit edit) {
    return EditProcess::Create(std::move(edit), kDeadline)
        .assume_error()
        .m_message;
  };
  Edit edit = ZoneEdit(1, 0, "a");
  edit.m_id = "7";
  EXPECT_EQ(message(edit), "edit id \"7\" is not a UUID");
  edit = ZoneEdit(1, 0, "a");
  edit.m_changes.push_back(edit.m_changes[0]);
  EXPECT_NE(message(edit).find("twice"), std::string::npos);
  edit = ZoneEdit(1, 0, "a");
  edit.m_changes[0].m_key = kHeadKey;
  EXPECT_NE(message(edit).find("not part"), std::string::npos);
  edit.m_changes.resize(kMaxEditChanges + 1);
  EXPECT_NE(message(edit).find("126 changes"), std::string::npos);
  edit = ZoneEdit(1, 0, std::string(kMaxValueBytes + 1, 'x'));
  EXPECT_NE(message(edit).find("1000001 bytes"), std::string::npos);
}

}  // namespace
}  // namespace comfreyshift
