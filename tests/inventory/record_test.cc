#include "inventory/record.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "inventory/diff.h"
#include "inventory/ini.h"
#include "tests/inventory/generators.h"

namespace comfreyshift {
namespace {

const std::string kZoneKey = "/comfreyshift/inventory/zone/medina";

TEST(InventoryRecordTest, NamesTheFaultyField) {
  const auto result = DecodeRecord(kZoneKey, R"({"region":"sfax","open":1})");
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().ToString(),
            kZoneKey +
                ": section [zone medina], key \"open\": found 1; "
                "accepted: true or false\n");
}

// Values of another type or range must not be converted silently.
TEST(InventoryRecordTest, RejectsFaultyRecords) {
  for (const char* value :
       {"", "{", "[]", "null", "{}", R"({"region":5})", R"({"region":"Sfax"})",
        R"({"region":"sfax","x":1})", R"({"region":"a","region":"b"})",
        "{\"region\":\"\xff\"}"}) {
    EXPECT_FALSE(DecodeRecord(kZoneKey, value)) << value;
  }
  const std::string target = "/comfreyshift/inventory/target/t";
  EXPECT_TRUE(DecodeRecord(target, R"({"zone":"a","slots":1})"));
  for (const char* slots : {"0", "-1", "1.0", "4294967297", "\"1\"", "null"}) {
    const std::string value =
        R"({"zone":"a","slots":)" + std::string(slots) + "}";
    EXPECT_FALSE(DecodeRecord(target, value)) << value;
  }
}

TEST(InventoryRecordTest, RejectsFaultyKeys) {
  const std::string prefix(kInventoryPrefix);
  for (const std::string& key :
       {std::string(), prefix, prefix + "zone", prefix + "zone/",
        prefix + "zone/A", prefix + "zone/a/b", prefix + "zones/a",
        std::string("/other/zone/a")}) {
    EXPECT_FALSE(DecodeRecord(key, R"({"region":"sfax"})")) << key;
  }
}

// The last of repeated names would win unseen.
TEST(InventoryRecordTest, RejectsFaultyWholeInventories) {
  EXPECT_TRUE(InventoryFromJson("body", "{}"));
  EXPECT_FALSE(InventoryFromJson("body", "[]"));
  EXPECT_FALSE(InventoryFromJson("body", R"({"zone":{}})"));
  EXPECT_FALSE(InventoryFromJson("body", R"({"zones":[]})"));
  EXPECT_FALSE(InventoryFromJson(
      "body", R"({"zones":{"a":{"region":"r"},"a":{"region":"s"}}})"));
  EXPECT_FALSE(
      InventoryFromJson("body", R"({"targets":{"t":{"zone":"none"}}})"));
}

TEST(InventoryDiffTest, ShowsWhatChanged) {
  Inventory from;
  from.m_zones["medina"] = {"sfax", true};
  from.m_zones["thyna"] = {"sfax", true};
  Inventory to = from;
  to.m_zones["medina"].m_open = false;
  to.m_zones.erase("thyna");
  to.m_requests["report"] = {true};
  const std::vector<InventoryChange> changes = Diff(from, to);
  EXPECT_EQ(DiffToText(changes),
            "+ request report\n    idempotent: true\n"
            "~ zone medina\n    open: true -> false\n"
            "- zone thyna\n");
  EXPECT_NE(
      DiffToJson(changes).find(R"("after":{"open":false,"region":"sfax"},)"
                               R"("before":{"open":true,"region":"sfax"},)"),
      std::string::npos)
      << DiffToJson(changes);
}

// Replicas are built from single records and must equal what was applied.
RC_GTEST_PROP(InventoryRecordProperty, RoundTrip, ()) {
  const Inventory inventory = MakeInventory();
  Inventory copy;
  for (const auto& [key, value] : EncodeInventory(inventory)) {
    const auto record = DecodeRecord(key, value);
    RC_ASSERT(record.has_value());
    RC_ASSERT(RecordKey(record.value().m_name, record.value().m_entry) == key);
    ApplyRecord(copy, record.value());
  }
  RC_ASSERT(copy == inventory);
  const auto whole = InventoryFromJson("a", InventoryToJson(inventory));
  RC_ASSERT(whole.has_value());
  RC_ASSERT(whole.value() == inventory);
}

// Applying a diff must give exactly the other inventory.
RC_GTEST_PROP(InventoryDiffProperty, LeadsFromOneToTheOther, ()) {
  const Inventory from = MakeInventory();
  const Inventory to = MakeInventory();
  Inventory changed = from;
  for (const InventoryChange& change : Diff(from, to)) {
    if (change.m_after) {
      ApplyRecord(changed, DecodeRecord(change.m_key, *change.m_after).value());
    } else {
      RC_ASSERT(RemoveRecord(changed, change.m_key));
    }
  }
  RC_ASSERT(changed == to);
  RC_ASSERT(Diff(to, to).empty());
}

// Damaged records must give errors or valid records, never a crash.
RC_GTEST_PROP(InventoryRecordProperty, SurvivesMutations, ()) {
  const Inventory inventory = MakeInventory();
  for (const auto& [key, value] : EncodeInventory(inventory)) {
    const auto record =
        DecodeRecord(Mutate(key, "/."), Mutate(value, "{}[]\":,\\\n0-"));
    if (record) {
      const InventoryEntry& entry = record.value().m_entry;
      const auto again = DecodeRecord(RecordKey(record.value().m_name, entry),
                                      EncodeRecord(entry));
      RC_ASSERT(again.has_value());
      RC_ASSERT(again.value() == record.value());
    } else {
      RC_ASSERT(!record.error().m_problems.empty());
    }
  }
}

// Writing such a value into the list of problems overflowed the stack.
TEST(InventoryRecordTest, ValuesThatNestTooDeepAreRejected) {
  constexpr size_t kTooDeep = 400'000;
  const std::string deep =
      std::string(kTooDeep, '[') + std::string(kTooDeep, ']');
  const auto inventory =
      InventoryFromJson("body", R"({"zones":{"z":{"open":)" + deep + "}}}");
  ASSERT_FALSE(inventory);
  EXPECT_FALSE(inventory.error().m_problems.empty());
}

}  // namespace
}  // namespace comfreyshift
