// The three failed requests of docs/OPERATIONS.md, and what else ends a job,
// are explained from log lines alone.

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "cli/cli.h"
#include "cli/explanation.h"

namespace comfreyshift {
namespace {

constexpr const char* kRefused =
    R"({"time":"2026-12-04T20:00:48.184Z","process":"entry-1","event":"job_not_completed","job":"6f4b9fef03889257","request":"b908b86d912f23c7","result":"overloaded","after_us":63115,"placements":0,"tasks":3,"usable_agents":11,"free_cpu_millis":-85500})";
constexpr const char* kFailed =
    R"(  12.1 s entry-1 {"time":"2026-12-04T20:00:57.189Z","process":"entry-1","event":"job_not_completed","job":"fa17efa8c455b0c4","request":"5355eb353a5291af","result":"failed","placements":5}
{"time":"2026-12-04T20:00:57.161Z","process":"agent-1","event":"run_not_done","job":"fa17efa8c455b0c4","index":0,"outcome":"failed"}
{"time":"2026-12-04T20:00:57.187Z","process":"agent-1","event":"run_not_done","job":"fa17efa8c455b0c4","index":0,"outcome":"failed"})";
constexpr const char* kLostEntry =
    R"({"time":"2026-12-04T20:01:06.458Z","process":"agent-2","event":"entry_disconnected","entry":"entry-2"}
{"time":"2026-12-04T20:01:06.958Z","process":"agent-2","event":"run_not_done","job":"00000000000000aa","index":1,"outcome":"stopped","entry":"entry-2"}
{"time":"2026-12-04T19:00:00.000Z","process":"agent-2","event":"entry_disconnected","entry":"entry-2"})";

std::vector<LogRecord> RecordsOf(const std::string& id) {
  std::stringstream log;
  log << kFailed << '\n' << kRefused << '\n' << kLostEntry << '\n';
  JobLogs logs(id);
  logs.Read(log);
  EXPECT_EQ(logs.unreadable_lines(), 0U);
  return logs.Records();
}

std::string Explain(const std::string& line) {
  std::stringstream log(line);
  JobLogs logs("a");
  logs.Read(log);
  return ExplainRecords(logs.Records());
}

TEST(ExplainTest, ARefusalUnderLoad) {
  const auto records = RecordsOf("b908b86d912f23c7");
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(ExplainRecords(records),
            "refused after 63 ms: load above capacity, with 11 usable agents "
            "and work for 85500 thousandths of a core waiting for room; "
            "nothing was started");
}

// Agents know the job's id only, and log before the entry does.
TEST(ExplainTest, AJobThatASickRunnerFailed) {
  const auto records = RecordsOf("5355eb353a5291af");
  ASSERT_EQ(records.size(), 3U);
  EXPECT_EQ(records[0].m_process, "agent-1");
  EXPECT_EQ(records[2].m_process, "entry-1");
  EXPECT_EQ(ExplainRecords(records),
            "failed: a task failed as often as its queue allows (2 times "
            "beside agent-1)");
}

TEST(ExplainTest, AJobOfALostEntry) {
  const auto records = RecordsOf("00000000000000aa");
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[0].m_event, "entry_disconnected");
  EXPECT_EQ(ExplainRecords(records),
            "no answer was logged; agents lost entry-2, and stopped its runs: "
            "that entry or its machine was lost");
}

TEST(ExplainTest, OtherEnds) {
  EXPECT_EQ(
      Explain(
          R"({"job":"a","event":"job_completed","after_us":90500,"waited_us":7000})"),
      "completed after 90 ms, its first task started after 7 ms");
  EXPECT_EQ(
      Explain(
          R"({"job":"a","event":"job_rejected","reason":"steps is missing"})"),
      "rejected, nothing was run: steps is missing");
  EXPECT_EQ(Explain(R"({"job":"a","event":"client_gone","after_us":5000})"),
            "the client closed its connection after 5 ms; its runs were "
            "stopped");
  EXPECT_NE(
      Explain(
          R"({"job":"a","event":"job_not_completed","result":"lost","tasks":3,"done":1})")
          .find("1 of 3 tasks"),
      std::string::npos);
  EXPECT_NE(
      Explain(R"({"job":"a","event":"job_not_completed","result":"no_runner"})")
          .find("no runner"),
      std::string::npos);
  EXPECT_EQ(
      Explain(
          R"({"job":"a","event":"request_refused","reason":"no_configuration"})"),
      "refused, nothing was run: the entry had no configuration yet");
  EXPECT_EQ(Explain(R"({"job":"b","event":"client_gone"})"),
            "no line of the logs names it");
}

// A log file may hold anything: cut lines, other programs' output, wrong types.
TEST(ExplainTest, LinesThatAreNoLogLinesAreCounted) {
  std::stringstream log(
      "started\n{\"job\":\"a\",\n{\"job\":7,\"event\":[],\"time\":{}}\n\n");
  JobLogs logs("a");
  logs.Read(log);
  EXPECT_EQ(logs.unreadable_lines(), 2U);
  EXPECT_TRUE(logs.Records().empty());
}

TEST(ExplainTest, TheCommandReadsFilesAndPrintsBothForms) {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("explain-" + std::to_string(getpid()) + ".log");
  std::ofstream(path) << kRefused << '\n';
  std::ostringstream out;
  std::ostringstream error;
  const Terminal terminal{out, error};
  EXPECT_EQ(
      RunCommand(LogCommands(), {"explain", "b908b86d912f23c7", "--log", path},
                 terminal),
      ExitCode::kDone);
  EXPECT_NE(out.str().find("job_not_completed"), std::string::npos);
  EXPECT_NE(out.str().find("b908b86d912f23c7: refused after 63 ms"),
            std::string::npos);
  out.str("");
  EXPECT_EQ(RunCommand(LogCommands(),
                       {"explain", "6f4b9fef03889257", "--log", path, "--json"},
                       terminal),
            ExitCode::kDone);
  const auto json = nlohmann::json::parse(out.str());
  EXPECT_EQ(json["records"].size(), 1U);
  EXPECT_EQ(
      RunCommand(LogCommands(), {"explain", "none", "--log", path}, terminal),
      ExitCode::kFailed);
  EXPECT_EQ(
      RunCommand(LogCommands(), {"explain", "x", "--log", "/none"}, terminal),
      ExitCode::kUsage);
  EXPECT_EQ(RunCommand(LogCommands(), {"explain"}, terminal), ExitCode::kUsage);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace comfreyshift
