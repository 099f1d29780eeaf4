#include "platform/runner_wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/platform/wire_texts.h"

namespace comfreyshift::platform {
namespace {

using Json = nlohmann::json;

TEST(RunnerWireTest, ReadsAHeartbeat) {
  const auto report = DecodeHeartbeat("i-1", kHeartbeat);
  ASSERT_TRUE(report);
  EXPECT_EQ(report.value().m_process_incarnation,
            (RunnerIncarnation{"i-1", 1789171779000}));
  EXPECT_EQ(report.value().m_capacity, (Resources{16000, 32768, 0}));
  EXPECT_EQ(report.value().m_labels, (std::vector<std::string>{"a", "r1-3"}));
  EXPECT_EQ(report.value().m_sequence, 4U);
  EXPECT_FALSE(report.value().m_is_draining);
}

// Guards against taking a message of another writer, which may use the same
// interface, for the heartbeat of a runner.
TEST(RunnerWireTest, RejectsHeartbeatsWithWrongOrMissingFields) {
  for (const char* field :
       {"service", "address", "seq", "state", "capacity", "zone", "labels"}) {
    Json json = Json::parse(kHeartbeat);
    json.erase(field);
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field;
    for (const Json& value :
         {Json::array({true}), Json::array(), Json::object(), Json(""),
          Json(nullptr), Json(true), Json(1.5)}) {
      json[field] = value;
      EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field << value;
    }
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

// Guards against taking a heartbeat of another writer for the runner's because
// only fields that no decision reads are wrong (review/15).
TEST(RunnerWireTest, RejectsHeartbeatsWithWrongFieldsThatNoDecisionReads) {
  for (const char* field : {"version", "slots", "cold_left_ms", "clock_ms"}) {
    Json json = Json::parse(kHeartbeat);
    json.erase(field);
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field;
    for (const Json& value :
         {Json::array({8}), Json::object(), Json(nullptr), Json(true)}) {
      json[field] = value;
      EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field << value;
    }
  }
  for (const char* field : {"slots", "cold_left_ms", "clock_ms"}) {
    for (const Json& value : {Json("eight"), Json(-1)}) {
      Json json = Json::parse(kHeartbeat);
      json[field] = value;
      EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field << value;
    }
  }
}

// Guards against a heartbeat of another writer that leaves out a part of a
// field: the runner would count as one without memory or without a label.
TEST(RunnerWireTest, RejectsHeartbeatsWithIncompleteCapacityOrLabels) {
  for (const char* field : {"cpu", "mem_mb"}) {
    Json json = Json::parse(kHeartbeat);
    json["capacity"].erase(field);
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field;
    for (const Json& value : {Json(0), Json("8"), Json(nullptr)}) {
      json["capacity"][field] = value;
      EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field << value;
    }
  }
  Json json = Json::parse(kHeartbeat);
  json["capacity"].erase("gpu");
  EXPECT_TRUE(DecodeHeartbeat("i-1", json.dump()));
  for (const Json& label : {Json(7), Json(""), Json(nullptr)}) {
    json = Json::parse(kHeartbeat);
    json["labels"].push_back(label);
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << label;
  }
}

// Guards against a name that is read as that of another task, and against
// accepting names of another format.
TEST(RunnerWireTest, TaskNamesRoundTrip) {
  const TaskKey task{"5c0e7a21d94b36f8", 0, 17};
  EXPECT_EQ(TaskName(task), "5c0e7a21d94b36f8.0.0.17");
  EXPECT_EQ(ParseTaskName("5c0e7a21d94b36f8.0.0.17"), task);
  for (const char* name :
       {"", "x", "x.0.0", "x.0.0.1.2", "x.0.0.-1", "x.0..1"}) {
    EXPECT_FALSE(ParseTaskName(name)) << name;
  }
}

// Guards against malformed rows that hide the valid ones.
TEST(RunnerWireTest, DecodesRunListsAndSkipsMalformedRows) {
  const auto lists = DecodeRunLists(
      R"({"clock_ms":5,"born":7,"running":[["j.0.0.1",2,"",41,6200],7,["x"]],)"
      R"("ended":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.9",1,"lapsed",""],)"
      R"([60,"j.0.0.9",1,"vanished",""]]})");
  ASSERT_TRUE(lists);
  EXPECT_EQ(lists.value().m_start_time_ms, 7);
  ASSERT_EQ(lists.value().m_running.size(), 1U);
  EXPECT_EQ(lists.value().m_running[0].m_progress_percent, 41.0);
  ASSERT_EQ(lists.value().m_ended.size(), 2U);
  EXPECT_EQ(lists.value().m_ended[0].m_outcome, RunOutcome::kDone);
  EXPECT_EQ(lists.value().m_ended[1].m_outcome, RunOutcome::kStopped);
  EXPECT_FALSE(DecodeRunLists(R"({"clock_ms":5,"running":[]})"));
}

// Guards against taking a run for ended because its progress cannot be read.
TEST(RunnerWireTest, RunWithMalformedProgressIsListed) {
  const auto lists = DecodeRunLists(
      R"({"clock_ms":5,"born":7,"running":[["j.0.0.1",2,"",null],)"
      R"(["j.0.0.2",2]],"ended":[]})");
  ASSERT_TRUE(lists);
  EXPECT_EQ(lists.value().m_running.size(), 2U);
}

TEST(RunnerWireTest, EncodesPollRequest) {
  PollRequest poll_request;
  poll_request.m_fencing_token = 7;
  poll_request.m_acknowledged_ends = 57;
  poll_request.m_lease_until = RunnerTime(486000);
  EXPECT_EQ(Json::parse(EncodePoll(poll_request, Milliseconds(150))),
            Json::parse(R"({"fencing_token":7,"acked_upto":57,)"
                        R"("deadline_ms":486000,"wait_ms":150})"));
}

// Guards against a stack overflow: copying such a heartbeat ended the agent.
TEST(RunnerWireTest, RejectsTooDeeplyNestedMessages) {
  std::string text(kHeartbeat);
  text.insert(1, "\"more\":" + NestedArrays(kExcessiveDepth) + ",");
  EXPECT_FALSE(DecodeHeartbeat("i-1", text));
  EXPECT_FALSE(DecodeRunLists(R"({"clock_ms":5,"running":[],"ended":)" +
                              NestedArrays(kExcessiveDepth) + "}"));
  EXPECT_EQ(DecodeStartRejection(R"({"reason":)" +
                                 NestedArrays(kExcessiveDepth) + "}"),
            StartResult::kRejected);
}

// Guards against undefined behaviour in the conversion of such numbers: a
// heartbeat with them was accepted.
TEST(RunnerWireTest, RejectsHeartbeatsWithNumbersOutOfRange) {
  for (const char* field : {"seq", "born"}) {
    for (const Json& value :
         {Json(1e300), Json(-1e300), Json(UINT64_MAX), Json(-1)}) {
      Json json = Json::parse(kHeartbeat);
      json[field] = value;
      EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field << value;
    }
  }
  for (const char* field : {"cpu", "mem_mb", "gpu"}) {
    for (const Json& value :
         {Json(1e300), Json(INT64_MAX), Json(UINT64_MAX), Json(-1)}) {
      Json json = Json::parse(kHeartbeat);
      json["capacity"][field] = value;
      EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << field << value;
    }
  }
  for (const char* address : {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1",
                              "10.0.0.9:99999999999"}) {
    Json json = Json::parse(kHeartbeat);
    json["address"] = address;
    EXPECT_FALSE(DecodeHeartbeat("i-1", json.dump())) << address;
  }
}

// Guards against malformed rows that hide the valid ones or identify a wrong
// run.
TEST(RunnerWireTest, SkipsRowsWithNumbersOutOfRange) {
  const auto lists = DecodeRunLists(
      R"({"clock_ms":5,"running":[["j.0.0.1",-2,"",41],["j.0.0.2",1e300,"",41],)"
      R"(["j.0.0.4",2.7,"",41],)"
      R"(["j.0.0.3",2,"",41]],"ended":[[-58,"j.0.0.9",1,"done",""],)"
      R"([58,"j.0.0.9",1.5,"done",""],[58.5,"j.0.0.9",1,"done",""],)"
      R"([59,"j.0.0.9",18446744073709551615,"done",""]]})");
  ASSERT_TRUE(lists);
  ASSERT_EQ(lists.value().m_running.size(), 1U);
  EXPECT_EQ(lists.value().m_running[0].m_run.m_task.m_index, 3U);
  EXPECT_TRUE(lists.value().m_ended.empty());
  EXPECT_FALSE(DecodeRunLists(R"({"clock_ms":1e300,"running":[],"ended":[]})"));
}

// A heartbeat of 1 MiB could hold 500,000 values.
TEST(RunnerWireTest, RejectsHeartbeatsWithTooManyValues) {
  std::string text = kHeartbeat;
  std::string labels = "\"labels\":[";
  for (int i = 0; i < 1100; ++i) {
    labels += "\"x\",";
  }
  text.replace(text.find("\"labels\":["), 10, labels);
  EXPECT_FALSE(DecodeHeartbeat("r1", text));
  EXPECT_TRUE(DecodeHeartbeat("r1", kHeartbeat));
}

}  // namespace
}  // namespace comfreyshift::platform
