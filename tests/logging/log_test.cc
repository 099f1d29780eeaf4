#include "logging/log.h"
#include "logging/event_limiter.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <rapidcheck/gtest.h>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>
#include <vector>

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

// Returns the lines that `log` writes to standard error.
template <class Log>
std::vector<std::string> LinesOf(LogLevel level, Log log) {
  testing::internal::CaptureStderr();
  InitLogging("entry-1", level);
  log();
  std::istringstream output(testing::internal::GetCapturedStderr());
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(output, line)) {
    lines.push_back(line);
  }
  return lines;
}

TEST(LogTest, WritesOneJsonObjectALine) {
  const auto lines = LinesOf(LogLevel::kInfo, [] {
    LogEvent(LogLevel::kInfo, "http", "request_refused",
             {{"path", "/v1/jobs"},
              {"status", int64_t{-4}},
              {"bytes", std::numeric_limits<uint64_t>::max()},
              {"ratio", 0.5},
              {"retried", true}});
  });
  ASSERT_EQ(lines.size(), 1U);
  Json line = Json::parse(lines[0]);
  const std::string time = line["time"];
  EXPECT_TRUE(std::regex_match(
      time, std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)")))
      << time;
  line.erase("time");
  EXPECT_EQ(line, Json({{"level", "info"},
                        {"process", "entry-1"},
                        {"component", "http"},
                        {"event", "request_refused"},
                        {"path", "/v1/jobs"},
                        {"status", -4},
                        {"bytes", std::numeric_limits<uint64_t>::max()},
                        {"ratio", 0.5},
                        {"retried", true}}));
}

TEST(LogTest, LeavesOutLowerLevels) {
  const auto lines = LinesOf(LogLevel::kWarning, [] {
    LogEvent(LogLevel::kDebug, "c", "debug_event");
    LogEvent(LogLevel::kInfo, "c", "info_event");
    LogEvent(LogLevel::kWarning, "c", "warning_event");
    LogEvent(LogLevel::kError, "c", "error_event");
  });
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(Json::parse(lines[0])["event"], "warning_event");
  EXPECT_EQ(Json::parse(lines[1])["level"], "error");
}

// A second setup must replace the first, not write each line twice.
TEST(LogTest, CanBeSetUpAgain) {
  const auto lines = LinesOf(LogLevel::kInfo, [] {
    InitLogging("agent-1", LogLevel::kInfo);
    LogEvent(LogLevel::kInfo, "c", "e");
  });
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(Json::parse(lines[0])["process"], "agent-1");
}

TEST(LogTest, ReadsItsLevels) {
  EXPECT_EQ(ParseLogLevel("debug"), LogLevel::kDebug);
  EXPECT_EQ(ParseLogLevel("error"), LogLevel::kError);
  EXPECT_FALSE(ParseLogLevel("Error"));
  EXPECT_FALSE(ParseLogLevel(""));
}

// A number that JSON does not have must not break the line.
TEST(LogTest, WritesNumbersThatJsonLacks) {
  const auto lines = LinesOf(LogLevel::kInfo, [] {
    LogEvent(LogLevel::kInfo, "c", "e",
             {{"nan", std::nan("")},
              {"infinity", std::numeric_limits<double>::infinity()}});
  });
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_TRUE(Json::parse(lines[0])["nan"].is_null());
}

// Text from outside must neither forge a second line nor lose the first.
RC_GTEST_PROP(LogProperty, KeepsAnyTextOnOneLine, (const std::string& text)) {
  const auto lines = LinesOf(LogLevel::kInfo, [&] {
    LogEvent(LogLevel::kInfo, "c", "e", {{"text", text + "\n\xff{}"}});
  });
  RC_ASSERT(lines.size() == 1U);
  const Json line = Json::parse(lines[0], nullptr, false);
  RC_ASSERT(line.is_object());
  RC_ASSERT(line["event"] == "e");
}

// A reader that stands still must not stop the process that logs.
TEST(LogTest, AFullPipeLosesLinesInsteadOfBlocking) {
  int pipe_ends[2] = {};
  ASSERT_EQ(pipe(pipe_ends), 0);
  const int saved = dup(STDERR_FILENO);
  dup2(pipe_ends[1], STDERR_FILENO);
  InitLogging("entry-1", LogLevel::kInfo);
  const uint64_t dropped_before = DroppedLogLines();
  // Each kind of event has its own limit; together they exceed the pipe.
  const std::string filler(2000, 'x');
  for (int i = 0; i < 100; ++i) {
    LogEvent(LogLevel::kInfo, "test", "flood_" + std::to_string(i),
             {{"filler", filler}});
  }
  dup2(saved, STDERR_FILENO);
  close(saved);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  EXPECT_GT(DroppedLogLines(), dropped_before);
}

// Logs must not grow with the load, and must say what is missing.
TEST(EventLimiterTest, FrequentEventsAreLeftOutAndCounted) {
  EventLimiter limiter;
  const MonoTime start{std::chrono::hours(1)};
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += limiter.Admit("frequent", start) ? 1 : 0;
  }
  EXPECT_LT(admitted, 400);
  EXPECT_EQ(limiter.suppressed(), 1000U - static_cast<uint64_t>(admitted));
  EXPECT_EQ(limiter.Admit("rare", start), 0U);
  EXPECT_EQ(limiter.Admit("frequent", start + Milliseconds(100)),
            1000U - static_cast<uint64_t>(admitted));
}

}  // namespace
}  // namespace comfreyshift
