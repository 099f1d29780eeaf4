#include "cli/load.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

namespace comfreyshift {
namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

std::vector<Microseconds> AllTimes(LoadSchedule schedule) {
  std::vector<Microseconds> times;
  while (const auto time = schedule.Next()) {
    times.push_back(*time);
  }
  return times;
}

TEST(LoadScheduleTest, KeepsConstantGaps) {
  EXPECT_EQ(AllTimes(LoadSchedule(ConstantGaps{}, 4, 1s)),
            (std::vector<Microseconds>{250ms, 500ms, 750ms}));
}

// Two runs must offer the same load to be comparable.
TEST(LoadScheduleTest, RepeatsAPoissonScheduleOfTheSameSeed) {
  const auto times = AllTimes(LoadSchedule(PoissonGaps{7}, 1000, 10s));
  EXPECT_EQ(times, AllTimes(LoadSchedule(PoissonGaps{7}, 1000, 10s)));
  EXPECT_NE(times, AllTimes(LoadSchedule(PoissonGaps{8}, 1000, 10s)));
  // 10,000 jobs expected, with a standard deviation of 100.
  EXPECT_NEAR(static_cast<double>(times.size()), 10'000, 400);
  double long_gaps = 0;
  for (size_t i = 1; i < times.size(); ++i) {
    ASSERT_LE(times[i - 1], times[i]);
    long_gaps += times[i] - times[i - 1] > 1ms ? 1 : 0;
  }
  EXPECT_NEAR(long_gaps / static_cast<double>(times.size()), std::exp(-1),
              0.02);
}

HttpCallResult Response(int status, const std::string& body) {
  return HttpResponse{status, body, {}};
}

TEST(JobAnswerTest, KeepsTheOutcomesApart) {
  const CallerAnswer complete = ReadCallerAnswer(Response(
      200, R"({"state":"complete","answers":[{"status":200,"body":"x"}]})"));
  EXPECT_EQ(complete.m_outcome, JobOutcome::kComplete);
  ASSERT_EQ(complete.m_answers.size(), 1U);
  EXPECT_EQ(complete.m_answers[0].m_body, "x");
  const CallerAnswer failed = ReadCallerAnswer(
      Response(502, R"({"state":"failed","failure":"task_failed"})"));
  EXPECT_EQ(failed.m_outcome, JobOutcome::kFailed);
  EXPECT_EQ(failed.m_reason, "task_failed");
  const CallerAnswer unknown = ReadCallerAnswer(
      Response(502, R"({"state":"failed","failure":"unknown_may_have_run"})"));
  EXPECT_EQ(unknown.m_outcome, JobOutcome::kUnknown);
  const CallerAnswer refused = ReadCallerAnswer(Response(
      429,
      R"({"state":"not_run","reason":"overloaded","scope":"submission"})"));
  EXPECT_EQ(refused.m_outcome, JobOutcome::kNotRun);
  EXPECT_TRUE(refused.m_covers_submission);
  EXPECT_EQ(ExitOf(refused.m_outcome), ExitCode::kNotRun);
  const CallerAnswer stopping = ReadCallerAnswer(
      Response(503, R"({"error":{"code":"stopping","message":"m"}})"));
  EXPECT_EQ(stopping.m_outcome, JobOutcome::kNotRun);
  EXPECT_FALSE(stopping.m_covers_submission);
}

// An answer that nobody understands must not be taken for "not run".
TEST(JobAnswerTest, TakesUnclearAnswersForUnknown) {
  for (const char* body :
       {"", "null", "[]", "{}", R"({"state":"complete"})",
        R"({"state":"complete","answers":[{}]})", R"({"state":5})",
        R"({"error":{"code":"internal"}})"}) {
    for (const int status : {200, 500, 502, 504}) {
      EXPECT_EQ(ReadCallerAnswer(Response(status, body)).m_outcome,
                JobOutcome::kUnknown)
          << status << " " << body;
    }
  }
  EXPECT_EQ(ReadCallerAnswer(HttpCallError{HttpCallState::kMayHaveBeenProcessed,
                                           HttpCallFailure::kConnection, ""})
                .m_outcome,
            JobOutcome::kUnknown);
  EXPECT_EQ(ReadCallerAnswer(HttpCallError{HttpCallState::kNotSent,
                                           HttpCallFailure::kConnection, ""})
                .m_outcome,
            JobOutcome::kNotRun);
}

RC_GTEST_PROP(JobAnswerProperty, SurvivesMutations, ()) {
  std::string body =
      R"({"state":"complete","answers":[{"status":200,"body":"x"}]})";
  const int count = *rc::gen::inRange(1, 5);
  for (int i = 0; i < count; ++i) {
    body[*rc::gen::inRange<size_t>(0, body.size())] =
        *rc::gen::oneOf(rc::gen::element('{', '}', '[', ']', '"', ':', ','),
                        rc::gen::arbitrary<char>());
  }
  const CallerAnswer answer = ReadCallerAnswer(Response(200, body));
  RC_ASSERT(answer.m_outcome == JobOutcome::kComplete ||
            answer.m_outcome == JobOutcome::kUnknown);
}

class LoadTest : public testing::Test {
 protected:
  LoadTest() {
    m_server.AddRoute("POST", "/v1/jobs", PublicAccess{},
                      [this](const auto& request) { Answer(*request); });
    HttpClientOptions options;
    options.m_base_url =
        "http://" + m_server.Listen({"127.0.0.1", 0}).value().ToString();
    options.m_connections = 64;
    m_client = HttpClient::Make(options).value();
    m_options.m_gaps = ConstantGaps{};
    m_options.m_rate = 200;
    m_options.m_length = 500ms;
    m_options.m_tasks_per_job = 3;
    m_options.m_request = "report";
  }

  void Answer(HttpRequest& request) {
    ++m_requests;
    m_keys.insert(request.Header("Idempotency-Key").value_or(""));
    if (m_requests == m_stall_at) {
      std::this_thread::sleep_for(100ms);
    }
    if (m_requests % 10 == 0) {
      request.ReplyJson(429, {{"state", "not_run"}, {"reason", "overloaded"}});
      return;
    }
    const Json tasks = Json::parse(request.body())["tasks"];
    Json answers = Json::array();
    for (size_t i = 0; i < tasks.size(); ++i) {
      answers.push_back({{"status", 200}, {"body", tasks[i]["payload"]}});
    }
    request.ReplyJson(200, {{"state", "complete"}, {"answers", answers}});
  }

  LoadResult Run() {
    return RunLoad({m_client}, m_options, Terminal{m_out, m_out});
  }

  HttpServer m_server{1 << 20};
  std::shared_ptr<HttpClient> m_client;
  LoadOptions m_options;
  std::ostringstream m_out;
  std::set<std::string> m_keys;
  int m_requests = 0;
  int m_stall_at = 0;
};

TEST_F(LoadTest, CountsEveryJobOnce) {
  const LoadResult report = Run();
  EXPECT_EQ(report.m_jobs, 99U);
  EXPECT_EQ(m_requests, 99);
  EXPECT_EQ(m_keys.size(), 99U);
  EXPECT_EQ(report.m_outcomes.at("complete"), 90U);
  EXPECT_EQ(report.m_outcomes.at("not_run"), 9U);
  EXPECT_EQ(report.m_reasons.at("not_run overloaded"), 9U);
  EXPECT_EQ(report.m_wrong_answers, 0U);
  EXPECT_EQ(report.m_latency.count(), 90U);
  EXPECT_EQ(Json::parse(LoadResultToJson(m_options, report))["jobs"], 99);
  EXPECT_NE(LoadResultToText(m_options, report).find("not_run: 9"),
            std::string::npos);
}

// A stall must count for all jobs that were due in it, not only for the one
// that hit it. At 200 jobs a second, 100 ms make 20 of 99 jobs late.
TEST_F(LoadTest, CountsAStallFromTheScheduledTimes) {
  m_stall_at = 20;
  const LoadResult report = Run();
  EXPECT_GT(report.m_latency.Quantile(0.95), 50ms);
}

TEST_F(LoadTest, CountsUnsentJobsAsNotRun) {
  HttpClientOptions options;
  options.m_base_url = "http://127.0.0.1:1";
  m_client = HttpClient::Make(options).value();
  m_options.m_length = 100ms;
  EXPECT_EQ(Run().m_reasons.at("not_run connection"), 19U);
}

}  // namespace
}  // namespace comfreyshift
