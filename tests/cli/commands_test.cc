#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/cli.h"
#include "cli/report.h"
#include "http/http.h"
#include "inventory/inventory.h"
#include "tests/http/raw_server.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

const std::string kToken = "operator-secret";

TEST(ExitCodeTest, KeepsTheDocumentedNumbers) {
  EXPECT_EQ(static_cast<int>(ExitCode::kDone), 0);
  EXPECT_EQ(static_cast<int>(ExitCode::kFailed), 1);
  EXPECT_EQ(static_cast<int>(ExitCode::kUsage), 2);
  EXPECT_EQ(static_cast<int>(ExitCode::kNotRun), 3);
  EXPECT_EQ(static_cast<int>(ExitCode::kUnknown), 4);
  EXPECT_EQ(static_cast<int>(ExitCode::kConflict), 5);
  EXPECT_EQ(static_cast<int>(ExitCode::kUnavailable), 6);
}

TEST(TableTest, LinesUpColumns) {
  Table table({"name", "open"});
  table.AddRow({"medina", "yes"});
  table.AddRow({"a", ""});
  EXPECT_EQ(table.ToString(), "NAME    OPEN\nmedina  yes\na\n");
}

// A log file or a pipe must not fill with progress.
TEST(ProgressLineTest, ShowsOnlyOnATerminal) {
  std::ostringstream out;
  std::ostringstream error;
  const Terminal pipe{out, error};
  ProgressLine(pipe).Update("working");
  EXPECT_EQ(error.str(), "");
  const Terminal screen{out, error, true};
  ProgressLine(screen).Update("working");
  EXPECT_EQ(error.str(), "\r\x1b[Kworking\r\x1b[K");
}

// A stand-in for the operator API of an entry.
class CommandsTest : public testing::Test {
 protected:
  CommandsTest() {
    Route("GET", "/v1/inventory", [this](const auto& request) {
      request->ReplyJson(
          200,
          {{"revision", 7},
           {"inventory", Json::parse(InventoryToJson(m_inventory))}},
          {{"ETag", "\"7\""}});
    });
    Route("PUT", "/v1/inventory", [this](const auto& request) {
      m_put_body = request->body();
      AnswerEdit(*request);
    });
    Route("POST", "/v1/zones/{}/close",
          [this](const auto& request) { AnswerEdit(*request); });
    Route("POST", "/v1/clients/{}/retire",
          [this](const auto& request) { AnswerEdit(*request); });
    Route("GET", "/v1/retirements/client/{}", [this](const auto& request) {
      ++m_proof_reads;
      const bool is_done = m_reads_until_done <= m_proof_reads;
      request->ReplyJson(
          200, {{"kind", "client"},
                {"name", "crews"},
                {"state", is_done ? "done" : "not_yet"},
                {"processes", {{{"name", "agent-1"}, {"state", "pending"}}}}});
    });
    m_address = m_server.Listen({"127.0.0.1", 0}).value();
    m_url = "http://" + m_address.ToString();
    Write("token", kToken + "\n");
    m_inventory.m_zones["medina"] = {"sfax", true};
  }

  ~CommandsTest() override {
    for (const char* name :
         {"token", "inventory.ini", "faulty.ini", "node.ini", "ok.ini"}) {
      std::filesystem::remove(PathOf(name));
    }
  }

  void Route(std::string_view method,
             std::string_view pattern,
             HttpHandler handler) {
    m_server.AddRoute(method, pattern, OperatorAccess{kToken},
                      std::move(handler));
  }

  // Answers with the next of m_answers, and 200 after the last.
  void AnswerEdit(HttpRequest& request) {
    m_edit_ids.push_back(request.Header("Edit-Id").value_or(""));
    m_if_match = request.Header("If-Match").value_or("");
    m_dry_run = request.Query("dry_run").value_or("");
    if (m_answers.empty()) {
      request.ReplyJson(200, {{"edit_id", m_edit_ids.back()},
                              {"revision", 8},
                              {"changes", Json::array()}});
      return;
    }
    const auto [status, body] = m_answers.front();
    m_answers.erase(m_answers.begin());
    request.ReplyJson(status, body);
  }

  static std::string Write(const std::string& name, const std::string& text) {
    std::string path = PathOf(name);
    std::ofstream(path) << text;
    return path;
  }

  // Other checkouts may run the same tests at the same time.
  static std::string PathOf(const std::string& name) {
    return testing::TempDir() + "cli_test_" + std::to_string(getpid()) + "_" +
           name;
  }

  ExitCode Run(std::vector<std::string> arguments, bool connects = true) {
    if (connects) {
      arguments.insert(arguments.end(),
                       {"--entry", m_url, "--token-file", PathOf("token")});
    }
    m_out.str("");
    m_error.str("");
    const ExitCode exit =
        RunCommand(OperatorCommands(), arguments, Terminal{m_out, m_error});
    EXPECT_EQ((m_out.str() + m_error.str()).find(kToken), std::string::npos);
    return exit;
  }

  HttpServer m_server{1 << 20};
  Address m_address;
  std::string m_url;
  Inventory m_inventory;
  std::vector<std::pair<int, Json>> m_answers;
  std::vector<std::string> m_edit_ids;
  std::string m_if_match;
  std::string m_dry_run;
  std::string m_put_body;
  int m_proof_reads = 0;
  int m_reads_until_done = 1;
  std::ostringstream m_out;
  std::ostringstream m_error;
};

TEST_F(CommandsTest, EveryCommandHasHelp) {
  for (const Command& command : OperatorCommands()) {
    std::istringstream words{std::string(command.m_name)};
    std::vector<std::string> arguments{
        std::istream_iterator<std::string>(words), {}};
    arguments.emplace_back("--help");
    EXPECT_EQ(Run(arguments, false), ExitCode::kDone) << command.m_name;
    EXPECT_NE(m_out.str().find(command.m_name), std::string::npos);
  }
  EXPECT_EQ(Run({"--help"}, false), ExitCode::kDone);
  EXPECT_NE(m_out.str().find("zone close"), std::string::npos);
}

TEST_F(CommandsTest, RejectsFaultyCommandLines) {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"zone"},
      {"zone", "shut", "medina"},
      {"zone", "close"},
      {"zone", "close", "a", "b"},
      {"zone", "close", "../b"},
      {"zone", "close", "medina", "--no-such-option"},
      {"audit", "--limit", "many"},
      {"status", "--entry", "not a url"},
      {"status", "--token-file", "/nonexistent"}};
  for (const std::vector<std::string>& line : lines) {
    EXPECT_EQ(Run(line, false), ExitCode::kUsage) << m_error.str();
    EXPECT_NE(m_error.str(), "");
  }
}

TEST_F(CommandsTest, AppliesAnInventory) {
  Inventory wanted = m_inventory;
  wanted.m_zones["medina"].m_open = false;
  const std::string file = Write("inventory.ini", FormatInventory(wanted));
  EXPECT_EQ(Run({"inventory", "diff", file}), ExitCode::kDone);
  EXPECT_EQ(m_out.str(), "~ zone medina\n    open: true -> false\n");
  EXPECT_EQ(Run({"inventory", "apply", file, "--dry-run"}), ExitCode::kDone);
  EXPECT_EQ(m_dry_run, "true");
  EXPECT_EQ(Run({"inventory", "apply", file}), ExitCode::kDone);
  EXPECT_EQ(m_dry_run, "");
  // Without If-Match a faster operator's edit would be undone unseen.
  EXPECT_EQ(m_if_match, "\"7\"");
  EXPECT_EQ(InventoryFromJson("put", m_put_body).value(), wanted);
}

TEST_F(CommandsTest, ShowsAnInventoryThatCanBeApplied) {
  EXPECT_EQ(Run({"inventory", "show"}), ExitCode::kDone);
  EXPECT_EQ(ParseInventory("show", m_out.str()).value(), m_inventory);
}

// A faulty file must be refused before anything is sent.
TEST_F(CommandsTest, SendsNoFaultyInventory) {
  const std::string file = Write("faulty.ini", "[zone medina]\nopen = no\n");
  EXPECT_EQ(Run({"inventory", "apply", file}), ExitCode::kUsage);
  EXPECT_NE(m_error.str().find("section [zone medina], key \"open\""),
            std::string::npos);
  EXPECT_TRUE(m_edit_ids.empty());
  EXPECT_EQ(Run({"inventory", "apply", testing::TempDir()}), ExitCode::kUsage);
}

TEST_F(CommandsTest, ReportsConflictsAndOutages) {
  m_answers = {{409,
                {{"error", {{"code", "conflict"}, {"message", "was faster"}}},
                 {"current", {{"open", false}}}}}};
  EXPECT_EQ(Run({"zone", "close", "medina", "--json"}), ExitCode::kConflict);
  EXPECT_EQ(Json::parse(m_out.str())["current"]["open"], false);
  m_answers = {{503,
                {{"error", {{"code", "store_unavailable"}, {"message", "m"}}},
                 {"detail", "no answer for 3 s"}}}};
  EXPECT_EQ(Run({"zone", "close", "medina"}), ExitCode::kUnavailable);
  EXPECT_NE(m_error.str().find("no answer for 3 s"), std::string::npos);
  EXPECT_EQ(m_edit_ids.size(), 2U);
}

// An edit whose outcome is unknown must be repeated under the same id.
TEST_F(CommandsTest, RepeatsALostEditWithTheSameId) {
  const Json lost = {
      {"error", {{"code", "store_unavailable"}, {"message", "m"}}},
      {"may_have_applied", true}};
  m_answers = {{503, lost}};
  EXPECT_EQ(Run({"zone", "close", "medina"}), ExitCode::kDone);
  ASSERT_EQ(m_edit_ids.size(), 2U);
  EXPECT_TRUE(SubmissionKey::Parse(m_edit_ids[0]));
  EXPECT_EQ(m_edit_ids[0], m_edit_ids[1]);
  m_answers = {{503, lost}, {503, lost}, {503, lost}};
  EXPECT_EQ(Run({"zone", "close", "medina"}), ExitCode::kUnknown);
  EXPECT_NE(m_error.str().find("--edit-id " + m_edit_ids.back()),
            std::string::npos);
  const std::string id = m_edit_ids.back();
  EXPECT_EQ(Run({"zone", "close", "medina", "--edit-id", id}), ExitCode::kDone);
  EXPECT_EQ(m_edit_ids.back(), id);
}

// A later refusal must not make an edit that may have been applied certain.
TEST_F(CommandsTest, StaysUnknownAfterALostEdit) {
  const Json error = {
      {"error", {{"code", "store_unavailable"}, {"message", "m"}}}};
  Json lost = error;
  lost["may_have_applied"] = true;
  m_answers = {{503, lost}, {503, error}, {500, error}};
  EXPECT_EQ(Run({"zone", "close", "medina"}), ExitCode::kUnknown);
}

TEST_F(CommandsTest, TellsUnsentEditsFromLostOnes) {
  RawServer raw;
  m_url = raw.url();
  raw.m_actions = {RawAction::kCloseAfterReading, RawAction::kCloseAfterReading,
                   RawAction::kCloseAfterReading};
  EXPECT_EQ(Run({"zone", "close", "medina"}), ExitCode::kUnknown);
  EXPECT_EQ(raw.requests(), 3);
  m_url = "http://127.0.0.1:1";
  EXPECT_EQ(Run({"zone", "close", "medina"}), ExitCode::kUnavailable);
  EXPECT_EQ(Run({"status"}), ExitCode::kUnavailable);
}

// "Not yet" must never be reported as done.
TEST_F(CommandsTest, WaitsForTheProofOfRetirement) {
  m_reads_until_done = 2;
  EXPECT_EQ(Run({"client", "retire", "crews"}), ExitCode::kDone);
  EXPECT_EQ(m_proof_reads, 2);
  EXPECT_NE(m_out.str().find("client crews: done"), std::string::npos);
  m_reads_until_done = 1000;
  EXPECT_EQ(Run({"client", "retire", "crews", "--wait-ms", "1"}),
            ExitCode::kFailed);
  EXPECT_NE(m_out.str().find("not_yet"), std::string::npos);
  m_proof_reads = 0;
  EXPECT_EQ(Run({"client", "retire", "crews", "--dry-run"}), ExitCode::kDone);
  EXPECT_EQ(m_proof_reads, 0);
}

TEST_F(CommandsTest, ChecksConfigurations) {
  const std::string file = Write("node.ini", "[process]\nrole = boss\n");
  EXPECT_EQ(Run({"check-config", file}, false), ExitCode::kUsage);
  EXPECT_NE(m_error.str().find(file + ": section [process], key \"role\""),
            std::string::npos);
  const std::string inventory = Write("ok.ini", FormatInventory(m_inventory));
  EXPECT_EQ(Run({"check-config", "--inventory", inventory}, false),
            ExitCode::kDone);
  EXPECT_EQ(Run({"check-config", inventory, "--json"}, false),
            ExitCode::kUsage);
  EXPECT_TRUE(Json::parse(m_out.str()).contains("error"));
}

// An entry of another version must not crash the commands.
TEST(ReportTest, SurvivesUnexpectedAnswers) {
  for (const char* text :
       {"{}", R"({"zones":5,"members":[1,"x",null]})",
        R"({"records":[{"time_ms":"x","changes":[{"before":3}]},7]})",
        R"({"changes":[{"key":5,"after":{}}],"affected":{"targets":[1]}})",
        R"({"processes":[[]],"since_ms":9223372036854775807})"}) {
    const Json body = Json::parse(text);
    EXPECT_NE(EditToText(body), "");
    EXPECT_NE(StatusToText(body), "");
    EXPECT_NE(RetirementToText(body), "");
    AuditToText(body);
  }
  EXPECT_EQ(TimeToText(1'796'382'000'123), "2026-12-04 11:00:00.123");
}

}  // namespace
}  // namespace comfreyshift
