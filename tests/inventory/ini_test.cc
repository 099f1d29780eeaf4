#include "inventory/ini.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>

#include "tests/inventory/generators.h"

namespace comfreyshift {
namespace {

const char* const kInventory = R"(# Two zones.
[zone medina]
region = sfax
[zone sakiet]
region = sfax
open = false
[client crews]
token_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
starts_per_second = 500
[target runner-1]
zone = medina
slots = 4
[target runner-2]
zone = sakiet
lifecycle = leaving
[request report]
idempotent = true
[rule crews-everywhere]
client = crews
targets = runner-1, runner-2
)";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

// Returns the errors of the inventory above with one part replaced.
std::string ErrorsWith(const std::string& from, const std::string& to) {
  const auto result =
      ParseInventory("fleet.ini", Replace(kInventory, from, to));
  EXPECT_FALSE(result.has_value()) << to;
  return result ? "" : result.error().ToString();
}

void ExpectError(const std::string& errors,
                 const std::string& section,
                 const std::string& key) {
  const std::string place =
      "fleet.ini: section [" + section + "]" +
      (key.empty() ? ":" : ", key \"" + key + "\": found ");
  EXPECT_NE(errors.find(place), std::string::npos) << errors;
  EXPECT_NE(errors.find("; accepted: "), std::string::npos) << errors;
}

TEST(InventoryIniTest, ReadsAnInventory) {
  const auto result = ParseInventory("fleet.ini", kInventory);
  ASSERT_TRUE(result) << result.error().ToString();
  const Inventory& inventory = result.value();
  EXPECT_TRUE(inventory.m_zones.at("medina").m_open);
  EXPECT_FALSE(inventory.m_zones.at("sakiet").m_open);
  EXPECT_EQ(inventory.m_clients.at("crews").m_starts_per_second, 500U);
  EXPECT_EQ(inventory.m_targets.at("runner-1").m_slots, 4U);
  EXPECT_EQ(inventory.m_targets.at("runner-2").m_lifecycle,
            Lifecycle::kLeaving);
  EXPECT_EQ(inventory.m_rules.at("crews-everywhere").m_targets.size(), 2U);
}

// A faulty value that is taken for its default could open a zone or let a
// request run twice.
TEST(InventoryIniTest, NamesSectionAndKeyOfFaultyValues) {
  ExpectError(ErrorsWith("open = false", "open = no"), "zone sakiet", "open");
  ExpectError(ErrorsWith("open = false", "opne = false"), "zone sakiet",
              "opne");
  ExpectError(ErrorsWith("region = sfax", "region ="), "zone medina", "region");
  ExpectError(ErrorsWith("89abcdef\n", "89ABCDEF\n"), "client crews",
              "token_sha256");
  ExpectError(ErrorsWith("= 500", "= 5e2"), "client crews",
              "starts_per_second");
  ExpectError(ErrorsWith("slots = 4", "slots = 4294967297"), "target runner-1",
              "slots");
  ExpectError(ErrorsWith("= leaving", "= gone"), "target runner-2",
              "lifecycle");
  ExpectError(ErrorsWith("idempotent = true", ""), "request report",
              "idempotent");
  ExpectError(ErrorsWith("targets = runner-1,", "targets = *,"),
              "rule crews-everywhere", "targets");
  ExpectError(ErrorsWith("targets = runner-1,", "targets = runner-2,"),
              "rule crews-everywhere", "targets");
}

// An unknown reference would silently deny all starts.
TEST(InventoryIniTest, RejectsUnknownReferences) {
  ExpectError(ErrorsWith("zone = medina", "zone = thyna"), "target runner-1",
              "zone");
  ExpectError(ErrorsWith("client = crews", "client = crew"),
              "rule crews-everywhere", "client");
  ExpectError(ErrorsWith("targets = runner-1", "targets = runner-3"),
              "rule crews-everywhere", "targets");
}

// The last of repeated sections or keys would win unseen.
TEST(InventoryIniTest, RejectsRepeatedSectionsAndKeys) {
  ExpectError(ErrorsWith("[zone sakiet]", "[zone medina]"), "zone medina", "");
  ExpectError(ErrorsWith("slots = 4", "slots = 4\nslots = 5"),
              "target runner-1", "slots");
  ExpectError(ErrorsWith("[zone sakiet]", "[zone  medina]"), "zone medina", "");
}

TEST(InventoryIniTest, RejectsUnknownSectionsAndNames) {
  ExpectError(ErrorsWith("[zone medina]", "[zones medina]"), "zones medina",
              "");
  ExpectError(ErrorsWith("[zone medina]", "[zone]"), "zone", "");
  ExpectError(ErrorsWith("[zone medina]", "[zone Medina]"), "zone Medina", "");
  ExpectError(ErrorsWith("[zone medina]", "[zone a/b]"), "zone a/b", "");
  ExpectError(
      ErrorsWith("[zone medina]", "[zone " + std::string(65, 'a') + "]"),
      "zone " + std::string(65, 'a'), "");
  EXPECT_NE(ErrorsWith("[zone medina]", "[zone medina").find("line 2"),
            std::string::npos);
  EXPECT_NE(ErrorsWith("# Two zones.", "stray = 1").find("line 1"),
            std::string::npos);
}

TEST(InventoryIniTest, ReportsAllFaultsTogether) {
  std::string text = Replace(kInventory, "open = false", "open = no");
  text = Replace(text, "slots = 4", "slots = 0");
  const auto result = ParseInventory("fleet.ini", text);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_problems.size(), 2U);
}

// A file written by `inventory show` must apply without any change.
RC_GTEST_PROP(InventoryIniProperty, RoundTrip, ()) {
  const Inventory inventory = MakeInventory();
  const auto result = ParseInventory("a", FormatInventory(inventory));
  RC_ASSERT(result.has_value());
  RC_ASSERT(result.value() == inventory);
}

// Damaged files must give errors or valid inventories, never a crash.
RC_GTEST_PROP(InventoryIniProperty, SurvivesMutations, ()) {
  const std::string text = *rc::gen::arbitrary<bool>()
                               ? FormatInventory(MakeInventory())
                               : std::string(kInventory);
  const auto result = ParseInventory("a", Mutate(text, "[]=\n,#; *"));
  if (result) {
    RC_ASSERT(CheckInventory(result.value()).empty());
    const auto again = ParseInventory("a", FormatInventory(result.value()));
    RC_ASSERT(again.has_value());
    RC_ASSERT(again.value() == result.value());
  } else {
    RC_ASSERT(!result.error().m_problems.empty());
  }
}

}  // namespace
}  // namespace comfreyshift
