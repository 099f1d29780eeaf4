#include "settings/settings.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>

namespace comfreyshift {
namespace {

constexpr std::string_view kEntry = R"(# An entry.
[process]
role = entry
name = entry-1
zone = medina
rack = r1
worker = w1
log_level = warning
[listen]
http = 127.0.0.1:8080
operator_http = 127.0.0.1:8081
rpc = 127.0.0.1:8082
datagram = 127.0.0.1:8082
[fleet]
key_file = fleet.key
seeds = 127.0.0.1:9001, [::1]:9002
[store]
endpoints = 127.0.0.1:2379, http://127.0.0.1:2380/
timeout_ms = 500
[operators]
token_file = operators.token
[limits]
retention_s = 60
)";

constexpr std::string_view kAgent = R"([process]
role = agent
name = agent-1
zone = medina
rack = r1
worker = w1
[listen]
operator_http = 127.0.0.1:8081
rpc = 127.0.0.1:8082
datagram = 127.0.0.1:8082
[fleet]
key_file = fleet.key
seeds = 127.0.0.1:9001
[target]
name = runner-1
address = 127.0.0.1:7000
slots = 4
)";

std::string Replace(std::string_view text,
                    std::string_view from,
                    std::string_view to) {
  std::string changed(text);
  const size_t position = changed.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return changed.replace(position, from.size(), to);
}

// Returns the errors of a text that must not be valid.
std::string Errors(const std::string& text) {
  const auto result = ParseSettings("node.ini", text);
  EXPECT_FALSE(result.has_value());
  return result ? "" : result.error().ToString();
}

void ExpectNames(const std::string& errors,
                 std::string_view section,
                 std::string_view key) {
  const std::string place = "node.ini: section [" + std::string(section) +
                            "], key \"" + std::string(key) + "\"";
  EXPECT_NE(errors.find(place), std::string::npos) << errors;
}

TEST(SettingsTest, ReadsAnEntry) {
  const auto result = ParseSettings("node.ini", kEntry);
  ASSERT_TRUE(result) << result.error().ToString();
  const Settings& settings = result.value();
  EXPECT_EQ(settings.m_process.m_role, Role::kEntry);
  EXPECT_EQ(settings.m_process.m_log_level, LogLevel::kWarning);
  EXPECT_EQ(settings.m_listen.m_http, Address::Parse("127.0.0.1:8080"));
  EXPECT_EQ(settings.m_fleet.m_seeds.size(), 2U);
  ASSERT_TRUE(settings.m_store);
  EXPECT_EQ(settings.m_store->m_endpoints,
            (std::vector<std::string>{"http://127.0.0.1:2379",
                                      "http://127.0.0.1:2380"}));
  EXPECT_EQ(settings.m_store->m_timeout, Milliseconds(500));
  EXPECT_EQ(settings.m_limits.m_retention, std::chrono::seconds(60));
  EXPECT_EQ(settings.m_freshness.m_lease, Milliseconds(4000));
  EXPECT_FALSE(settings.m_target);
}

TEST(SettingsTest, ReadsAnAgent) {
  const auto result = ParseSettings("node.ini", kAgent);
  ASSERT_TRUE(result) << result.error().ToString();
  ASSERT_TRUE(result.value().m_target);
  EXPECT_EQ(result.value().m_target->m_name, "runner-1");
  EXPECT_EQ(result.value().m_target->m_slots, 4U);
  EXPECT_EQ(result.value().m_target->m_connections, 64U);
  EXPECT_FALSE(result.value().m_store);
}

// An operator must not need one run for each fault.
TEST(SettingsTest, ReportsAllFaultsTogether) {
  std::string text = Replace(kEntry, "role = entry", "role = boss");
  text = Replace(text, "name = entry-1", "name = Entry 1");
  text = Replace(text, "rpc = 127.0.0.1:8082", "rpc = localhost:8082");
  text = Replace(text, "retention_s = 60", "retention_s = 60s\ntypo = 1");
  text += "[typo]\na = b\n";
  const std::string errors = Errors(text);
  ExpectNames(errors, "process", "role");
  ExpectNames(errors, "process", "name");
  ExpectNames(errors, "listen", "rpc");
  ExpectNames(errors, "limits", "retention_s");
  ExpectNames(errors, "limits", "typo");
  EXPECT_NE(errors.find("section [typo]"), std::string::npos);
  EXPECT_EQ(std::ranges::count(errors, '\n'), 6) << errors;
}

// A value that is silently out of range or cut would change a guarantee.
TEST(SettingsTest, RejectsNumbersOutOfRange) {
  for (const char* value :
       {"-1", "0", "99999999999999999999", "1.5", "1 2", "0x10", ""}) {
    const std::string errors = Errors(Replace(
        kEntry, "retention_s = 60", std::string("max_jobs = ") + value));
    ExpectNames(errors, "limits", "max_jobs");
  }
}

// GKeyFile keeps the last of repeated keys, so an old value would win unseen.
TEST(SettingsTest, RejectsRepeatedKeysAndSections) {
  ExpectNames(Errors(Replace(kEntry, "rack = r1", "rack = r1\nrack = r2")),
              "process", "rack");
  EXPECT_NE(Errors(std::string(kEntry) + "[store]\n").find("repeated section"),
            std::string::npos);
}

TEST(SettingsTest, RejectsImpossibleCombinations) {
  ExpectNames(Errors(Replace(kAgent, "rpc =", "http = 127.0.0.1:1\nrpc =")),
              "listen", "http");
  EXPECT_NE(Errors(std::string(kAgent) + "[store]\nendpoints = 127.0.0.1:1\n")
                .find("section [store]"),
            std::string::npos);
  ExpectNames(Errors(Replace(kAgent, "slots = 4", "slots = 65")), "target",
              "slots");
  ExpectNames(Errors(Replace(kAgent, "seeds = 127.0.0.1:9001", "seeds =")),
              "fleet", "seeds");
  ExpectNames(Errors(Replace(kEntry, "8081", "8080")), "listen",
              "operator_http");
  ExpectNames(Errors(Replace(kEntry, "timeout_ms = 500", "timeout_ms = 5000")),
              "store", "timeout_ms");
  ExpectNames(Errors(std::string(kEntry) + "drain_s = 61\n"), "limits",
              "drain_s");
  ExpectNames(Errors(std::string(kEntry) + "[freshness]\nlease_ms = 1000\n"),
              "freshness", "ping_interval_ms");
  ExpectNames(Errors(std::string(kEntry) + "[tls]\ncertificate = a.pem\n"),
              "tls", "private_key");
}

TEST(SettingsTest, NamesAFileThatCannotBeRead) {
  const auto result = ReadSettings("/nonexistent/node.ini");
  ASSERT_FALSE(result);
  EXPECT_NE(result.error().ToString().find("/nonexistent/node.ini: found"),
            std::string::npos);
  EXPECT_FALSE(ReadSettings("/"));
}

// A missing key file must be found by check-config, not at the first start.
TEST(SettingsTest, ReportsMissingFiles) {
  const Settings settings = ParseSettings("node.ini", kEntry).value();
  const std::vector<SettingsProblem> problems = CheckFiles(settings);
  ASSERT_EQ(problems.size(), 2U);
  EXPECT_EQ(problems[0].m_key, "key_file");
  EXPECT_EQ(problems[1].m_key, "token_file");
}

// Damaged files must give errors or valid settings, never a crash.
RC_GTEST_PROP(SettingsProperty, SurvivesMutations, ()) {
  std::string text(*rc::gen::element(kEntry, kAgent));
  const int count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < count; ++i) {
    const size_t position = *rc::gen::inRange<size_t>(0, text.size());
    const char character = *rc::gen::oneOf(
        rc::gen::element('[', ']', '=', '\n', ',', '#', '\0', '\\'),
        rc::gen::arbitrary<char>());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text[position] = character;
        break;
      case 1:
        text.insert(position, 1, character);
        break;
      default:
        text.erase(position, *rc::gen::inRange<size_t>(1, 40));
        break;
    }
  }
  const auto result = ParseSettings("node.ini", text);
  if (result) {
    RC_ASSERT(CheckSettings(result.value()).empty());
  } else {
    RC_ASSERT(!result.error().m_problems.empty());
  }
}

}  // namespace
}  // namespace comfreyshift
