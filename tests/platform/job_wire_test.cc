#include "platform/job_wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/platform/wire_texts.h"

namespace comfreyshift::platform {
namespace {

using Json = nlohmann::json;

constexpr const char* kJob =
    R"({"task_spec":"text","best_effort":true,"steps":[{"count":4,"cpu":500,)"
    R"("mem_mb":256,"est_runtime_ms":900}]})";

TEST(JobWireTest, ReadsAJob) {
  const auto job = DecodeJob(kJob);
  ASSERT_TRUE(job);
  ASSERT_EQ(job.value().m_steps.size(), 1U);
  EXPECT_EQ(job.value().m_steps[0].m_count, 4U);
  EXPECT_EQ(job.value().m_steps[0].m_demand, (Resources{500, 256, 0}));
  EXPECT_EQ(job.value().m_payload, "text");
}

// Guards against running a job without a feature that it asks for and that this
// version does not support.
TEST(JobWireTest, RejectsUnsupportedFeatures) {
  for (const char* field :
       {"gang", "speculative", "long_running", "fills", "same_rack"}) {
    Json json = Json::parse(kJob);
    json["steps"][0][field] = true;
    const auto job = DecodeJob(json.dump());
    ASSERT_FALSE(job) << field;
    EXPECT_TRUE(job.error().m_is_unsupported) << field;
  }
  Json json = Json::parse(kJob);
  json["steps"][0]["after"] = {0};
  EXPECT_FALSE(DecodeJob(json.dump()));
  json = Json::parse(kJob);
  json.erase("best_effort");
  EXPECT_TRUE(DecodeJob(json.dump()).error().m_is_unsupported);
}

// Guards against running a malformed job, and against rejecting it as one that
// uses an unsupported feature.
TEST(JobWireTest, RejectsMalformedJobs) {
  for (
      const char* body :
      {"", "[]", "{}", R"({"best_effort":true,"task_spec":1,"steps":[]})",
       R"({"best_effort":true,"task_spec":"t","steps":[{"count":0}]})",
       R"({"best_effort":true,"task_spec":"t","steps":[{"count":99999}]})",
       R"({"best_effort":true,"task_spec":"t","steps":[{"count":1,"cpu":-1}]})"}) {
    const auto job = DecodeJob(body);
    ASSERT_FALSE(job) << body;
    EXPECT_FALSE(job.error().m_is_unsupported) << body;
  }
}

// Guards against a task that starts on a runner without the label it needs:
// labels of another type were read as none.
TEST(JobWireTest, RejectsRequiredLabelsOfAnotherType) {
  Json json = Json::parse(kJob);
  for (const Json& value : {Json::array({"a"}), Json(7), Json(nullptr),
                            Json(false), Json::object()}) {
    json["steps"][0]["required_labels"] = value;
    const auto job = DecodeJob(json.dump());
    ASSERT_FALSE(job) << value;
    EXPECT_FALSE(job.error().m_is_unsupported) << value;
  }
  json["steps"][0]["required_labels"] = "a";
  const auto job = DecodeJob(json.dump());
  ASSERT_TRUE(job);
  EXPECT_EQ(job.value().m_steps[0].m_required_label, "a");
}

TEST(JobWireTest, ReadsAConfiguration) {
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[{"name":"r","hostname":"h.example",)"
      R"("prefix":"/p/","timeout_ms":1500,"target_latency_ms":60,)"
      R"("priority":1,"service":"s","max_attempts":2,"stretch":1.6}],)"
      R"("services":[],"limits":{"max_body_bytes":1000}})");
  ASSERT_TRUE(config);
  EXPECT_EQ(config.value().m_version, 7U);
  EXPECT_EQ(config.value().m_limits.m_max_body_bytes, 1000U);
  const QueueConfig* queue = config.value().FindQueue("h.example", "/p/1");
  ASSERT_NE(queue, nullptr);
  EXPECT_EQ(queue->m_max_attempts, 2U);
  EXPECT_EQ(queue->m_target_latency, Milliseconds(60));
  EXPECT_EQ(queue->m_stretch, 1.6);
  EXPECT_FALSE(DecodeConfig(R"({"routes":[]})"));
  EXPECT_FALSE(DecodeConfig("nonsense"));
}

// Guards against rejecting a job for a negative estimate: estimates are rough,
// and a negative one counts as none.
TEST(JobWireTest, TreatsNegativeEstimateAsNone) {
  Json json = Json::parse(kJob);
  json["steps"][0]["est_runtime_ms"] = -1;
  const auto job = DecodeJob(json.dump());
  ASSERT_TRUE(job);
  EXPECT_EQ(job.value().m_steps[0].m_estimated_run_time, Milliseconds(0));
}

// Guards against rejecting a whole configuration for a negative number: the
// entry would keep an outdated one.
TEST(JobWireTest, AcceptsConfigurationWithNegativeNumbers) {
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[{"name":"r","prefix":"/p/","priority":-1,)"
      R"("max_attempts":-1,"target_latency_ms":-1,"stretch":-1.0}]})");
  ASSERT_TRUE(config);
  EXPECT_EQ(config.value().m_queues[0].m_priority, -1);
  EXPECT_EQ(config.value().m_queues[0].m_max_attempts, 1U);
}

// Guards against a stack overflow: the body of one client would end the entry
// that serves all clients.
TEST(JobWireTest, RejectsTooDeeplyNestedBodies) {
  std::string text(kJob);
  text.insert(1, "\"more\":" + NestedArrays(kExcessiveDepth) + ",");
  ASSERT_FALSE(DecodeJob(text));
  EXPECT_FALSE(DecodeJob(text).error().m_is_unsupported);
  EXPECT_FALSE(DecodeConfig(R"({"version":7,"routes":[],"more":)" +
                            NestedArrays(kExcessiveDepth) + "}"));
}

// Guards against undefined behaviour in the conversion of such numbers.
TEST(JobWireTest, RejectsNumbersOutOfRange) {
  for (const char* field :
       {"count", "cpu", "mem_mb", "gpu", "est_runtime_ms"}) {
    for (const Json& value :
         {Json(1e300), Json(-1e300), Json(INT64_MAX), Json(UINT64_MAX)}) {
      Json json = Json::parse(kJob);
      json["steps"][0][field] = value;
      EXPECT_FALSE(DecodeJob(json.dump())) << field << value;
    }
  }
  for (const char* field :
       {"priority", "max_attempts", "target_latency_ms", "stretch"}) {
    Json json{{"version", 7},
              {"routes", Json::array({{{"name", "r"}, {"prefix", "/p/"}}})}};
    EXPECT_TRUE(DecodeConfig(json.dump())) << field;
    json["routes"][0][field] = 1e300;
    EXPECT_FALSE(DecodeConfig(json.dump())) << field;
  }
  EXPECT_FALSE(DecodeConfig(R"({"version":1e300,"routes":[]})"));
}

// A body of 256 KiB holds 40,000 members, which take over 100 bytes each.
TEST(JobWireTest, RejectsTooManyMembers) {
  nlohmann::json json = nlohmann::json::parse(kJob);
  for (int i = 0; i < 300; ++i) {
    json["field" + std::to_string(i)] = 0;
  }
  ASSERT_FALSE(DecodeJob(json.dump()));
  EXPECT_FALSE(DecodeJob(json.dump()).error().m_is_unsupported);
}

// Guards against a bound that a job of the largest number of tasks would meet.
TEST(JobWireTest, AcceptsAsManyStepsAsTasks) {
  nlohmann::json json = nlohmann::json::parse(kJob);
  json["steps"] = nlohmann::json::array();
  for (int i = 0; i < 4096; ++i) {
    json["steps"].push_back(
        {{"count", 1}, {"cpu", 1}, {"mem_mb", 1}, {"est_runtime_ms", 1}});
  }
  EXPECT_TRUE(DecodeJob(json.dump()));
}

// Guards against a text far beyond the protocol's limit, which each of 4,096
// tasks carries (review/11).
TEST(JobWireTest, TextAboveTheLimitIsMalformed) {
  const auto body = [](size_t bytes) {
    return R"({"task_spec":")" + std::string(bytes, 'x') +
           R"(","best_effort":true,"steps":[{"count":1,"cpu":1}]})";
  };
  EXPECT_TRUE(DecodeJob(body(4000)));
  const auto job = DecodeJob(body(4001));
  ASSERT_FALSE(job);
  EXPECT_FALSE(job.error().m_is_unsupported);
}

}  // namespace
}  // namespace comfreyshift::platform
