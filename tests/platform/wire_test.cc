#include "platform/wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace comfreyshift::platform {
namespace {

using Json = nlohmann::json;

constexpr const char* kHeartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,)"
    R"("mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,)"
    R"("born":1789171779000,"seq":4})";

TEST(WireTest, ReadsAHeartbeat) {
  const auto report = DecodeHeartbeat("i-1", kHeartbeat);
  ASSERT_TRUE(report);
  EXPECT_EQ(report.value().m_life, (RunnerLife{"i-1", 1789171779000}));
  EXPECT_EQ(report.value().m_capacity, (Resources{16000, 32768, 0}));
  EXPECT_EQ(report.value().m_labels, (std::vector<std::string>{"a", "r1-3"}));
  EXPECT_EQ(report.value().m_sequence, 4U);
  EXPECT_FALSE(report.value().m_is_draining);
}

// Other writers use the same interface; what they write must name no runner.
TEST(WireTest, RefusesHeartbeatsWithWrongOrMissingFields) {
  for (const char* field : {"service", "address", "seq", "state", "capacity"}) {
    Json json = Json::parse(kHeartbeat);
    json.erase(field);
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field;
    json[field] = Json::array({true});
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field;
  }
  Json json = Json::parse(kHeartbeat);
  json["state"] = "asleep";
  EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump()));
  json = Json::parse(kHeartbeat);
  json["born"] = "yesterday";
  EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump()));
  EXPECT_FALSE(DecodeHeartbeat("i-1", "\xff\xfe"));
  EXPECT_FALSE(DecodeHeartbeat("i-1", "[]"));
}

constexpr const char* kJob =
    R"({"task_spec":"text","best_effort":true,"steps":[{"count":4,"cpu":500,)"
    R"("mem_mb":256,"est_runtime_ms":900}]})";

TEST(WireTest, ReadsAJob) {
  const auto job = DecodeJob(kJob);
  ASSERT_TRUE(job);
  ASSERT_EQ(job.value().m_steps.size(), 1U);
  EXPECT_EQ(job.value().m_steps[0].m_count, 4U);
  EXPECT_EQ(job.value().m_steps[0].m_demand, (Resources{500, 256, 0}));
  EXPECT_EQ(job.value().m_payload, "text");
}

// A job whose meaning is not understood must never run as something else.
TEST(WireTest, RefusesFeaturesThatAreNotBuilt) {
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

TEST(WireTest, RefusesJobsThatCannotBeRead) {
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

TEST(WireTest, TaskNamesGoBothWays) {
  const TaskKey task{"5c0e7a21d94b36f8", 0, 17};
  EXPECT_EQ(TaskName(task), "5c0e7a21d94b36f8.0.0.17");
  EXPECT_EQ(ParseTaskName("5c0e7a21d94b36f8.0.0.17"), task);
  for (const char* name :
       {"", "x", "x.0.0", "x.0.0.1.2", "x.0.0.-1", "x.0..1"}) {
    EXPECT_FALSE(ParseTaskName(name)) << name;
  }
}

// Rows that cannot be read must not hide the others.
TEST(WireTest, ReadsListsAndSkipsStrangeRows) {
  const auto lists = DecodeLists(
      R"({"clock_ms":5,"born":7,"running":[["j.0.0.1",2,"",41,6200],7,["x"]],)"
      R"("ended":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.9",1,"lapsed",""],)"
      R"([60,"j.0.0.9",1,"vanished",""]]})");
  ASSERT_TRUE(lists);
  EXPECT_EQ(lists.value().m_born_ms, 7);
  ASSERT_EQ(lists.value().m_running.size(), 1U);
  EXPECT_EQ(lists.value().m_running[0].m_percent, 41.0);
  ASSERT_EQ(lists.value().m_ended.size(), 2U);
  EXPECT_EQ(lists.value().m_ended[0].m_outcome, RunOutcome::kDone);
  EXPECT_EQ(lists.value().m_ended[1].m_outcome, RunOutcome::kStopped);
  EXPECT_FALSE(DecodeLists(R"({"clock_ms":5,"running":[]})"));
}

TEST(WireTest, ReadsAConfiguration) {
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

TEST(WireTest, ReadsWhatTheStoreHolds) {
  const auto range =
      DecodeRange(R"({"items":[{"key":"k","value":"bm9kZS0x","revision":412}],)"
                  R"("has_more":true,"at_rev":530})");
  ASSERT_TRUE(range);
  EXPECT_EQ(range.value().m_items[0].m_value, "node-1");
  EXPECT_TRUE(range.value().m_has_more);
  EXPECT_EQ(range.value().m_revision, 530U);
  const auto events =
      DecodeEvents(R"({"events":[{"key":"k","revision":413,"tombstone":true}],)"
                   R"("at_rev":413})");
  ASSERT_TRUE(events);
  EXPECT_EQ(events.value().m_removed, std::vector<std::string>{"k"});
  EXPECT_FALSE(DecodeRange("{}"));
}

// After a restart an agent must not wait for the runner's next report.
TEST(WireTest, AgentRecordsKeepTheRunnersReport) {
  const Address address{"10.1.0.14", 7720};
  const auto record =
      DecodeAgentRecord(EncodeAgentRecord(address, "i-1", kHeartbeat));
  ASSERT_TRUE(record);
  EXPECT_EQ(record.value().m_address, address);
  ASSERT_TRUE(record.value().m_runner);
  EXPECT_EQ(record.value().m_runner->m_life,
            (RunnerLife{"i-1", 1789171779000}));
  const auto without = DecodeAgentRecord(EncodeAgentRecord(address, "", ""));
  ASSERT_TRUE(without);
  EXPECT_FALSE(without.value().m_runner);
  EXPECT_FALSE(DecodeAgentRecord("10.1.0.14:7720"));
}

TEST(WireTest, WritesOrders) {
  OrderLook look;
  look.m_fencing_token = 7;
  look.m_acknowledged_ends = 57;
  look.m_lease_until = RunnerTime(486000);
  EXPECT_EQ(Json::parse(EncodeLook(look, Milliseconds(150))),
            Json::parse(R"({"fencing_token":7,"acked_upto":57,)"
                        R"("deadline_ms":486000,"wait_ms":150})"));
  const Json put = Json::parse(EncodePut("k", "node-1", 9));
  EXPECT_EQ(put["puts"][0]["value"], "bm9kZS0x");
  EXPECT_EQ(put["puts"][0]["lease_id"], 9);
}

}  // namespace
}  // namespace comfreyshift::platform
