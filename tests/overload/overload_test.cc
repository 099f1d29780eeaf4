// Sends what misbehaving clients send to each listening address of an entry and
// two agents, which run as processes with lowered limits. Checks that they
// live, stay within limits.memory_mb and limits.max_fds, finish the job in
// progress, release the memory and serve an ordinary job afterwards. Nothing
// here depends on the speed of the machine.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "link/link.h"
#include "tests/overload/crowd.h"
#include "tests/platform/platform_fleet.h"
#include "tests/standins/platform_documents.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

// A process that has served a job peaks at 16 MB and 20 descriptors. This
// leaves room for ordinary work, and small crowds exceed it if nothing limits
// them.
constexpr size_t kMemoryMb = 64;
constexpr size_t kMaxFds = 400;
// What a process may keep after a crowd has left.
constexpr size_t kReleasedMb = 40;
constexpr size_t kMaxBodyBytes = 262'144;

// Far above what any step takes, so that a slow machine fails no test.
constexpr Milliseconds kLimit = std::chrono::seconds(60);
constexpr Milliseconds kReleaseLimit = std::chrono::seconds(10);
// Above the time for which a process does not read its connections.
constexpr Milliseconds kQuietTime{500};
constexpr Milliseconds kJobRunTime{1500};

// The crowds.
constexpr size_t kBodies = 300;
constexpr size_t kTinyChunkClients = 20;
constexpr size_t kTinyChunks = 40'000;
constexpr size_t kLargeBodies = 24;
constexpr size_t kLargeBodyBytes = size_t{4} << 20;
constexpr size_t kHeaderFieldClients = 100;
// Heads of more than 64 KiB are closed without an answer.
constexpr size_t kHeaderFields = 12'000;
constexpr size_t kMemberClients = 100;
constexpr size_t kLargeHeartbeats = 60;
constexpr size_t kLargeHeartbeatBytes = size_t{1} << 20;
constexpr size_t kPipeliningClients = 20;
constexpr size_t kPipelinedRequests = 4'000;
constexpr size_t kConnections = 500;
constexpr uint64_t kLinkMessages = 80'000;
constexpr uint64_t kRelayedReads = 40'000;

constexpr size_t kAnyPiece = size_t{64} << 10;

// Where a crowd connects and what it requests there.
struct Endpoint {
  const char* m_name;
  // Place in the range of test ports.
  size_t m_port_offset;
  // With a body.
  const char* m_write;
  // Without a body.
  const char* m_read;
};

constexpr Endpoint kRoute{"Route", 0, "POST /p/00000000000000c0", "GET /p/"};
constexpr Endpoint kUnknownPath{"UnknownPath", 0, "POST /other/c0",
                                "GET /other"};
constexpr Endpoint kReadiness{"Readiness", 1, "POST /api/readyz",
                              "GET /api/readyz"};
constexpr Endpoint kControl{"Control", 2, "PUT /api/instances/c0",
                            "DELETE /api/instances/c0"};
constexpr Endpoint kEntryMetrics{"EntryMetrics", 10, "POST /metrics",
                                 "GET /metrics"};
constexpr Endpoint kAgentMetrics{"AgentMetrics", 11, "POST /metrics",
                                 "GET /metrics"};
// Speaks length-prefixed frames instead of HTTP.
constexpr Endpoint kLink{"Link", 7, "", ""};

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint) {
  return out << endpoint.m_name;
}

std::string EndpointName(const testing::TestParamInfo<Endpoint>& endpoint) {
  return endpoint.param.m_name;
}

std::string Head(const char* request, const std::string& fields) {
  return std::string(request) + " HTTP/1.1\r\nHost: h.example\r\n" + fields +
         "\r\n";
}

std::string HeadWithLength(const Endpoint& endpoint, size_t body_bytes) {
  return Head(endpoint.m_write,
              "Content-Length: " + std::to_string(body_bytes) + "\r\n");
}

std::string ChunkedHead(const Endpoint& endpoint) {
  return Head(endpoint.m_write, "Transfer-Encoding: chunked\r\n");
}

// `count` chunks of `bytes` each, without the end of the body.
std::string Chunks(size_t count, size_t bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  const std::string chunk = size + std::string(bytes, ' ') + "\r\n";
  std::string text;
  for (size_t i = 0; i < count; ++i) {
    text += chunk;
  }
  return text;
}

std::string Repeat(const std::string& text, size_t count) {
  std::string all;
  for (size_t i = 0; i < count; ++i) {
    all += text;
  }
  return all;
}

// An object of about `bytes` that holds as many members as fit.
std::string JsonOfShortMembers(size_t bytes) {
  const std::string start = R"({"a":[{})";
  const std::string end = "]}";
  const std::string member = ",{}";
  return start +
         Repeat(member, (bytes - start.size() - end.size()) / member.size()) +
         end;
}

std::string FramePrefix(size_t bytes) {
  std::string prefix;
  for (int shift = 0; shift < 32; shift += 8) {
    prefix.push_back(static_cast<char>((bytes >> shift) & 0xFF));
  }
  return prefix;
}

// Returns a field of /proc/PID/status that is in kB, in MB.
size_t ReadStatusMb(pid_t pid, const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(field + ":")) {
      return std::stoul(line.substr(field.size() + 1)) / 1024;
    }
  }
  return 0;
}

size_t CountFds(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator fds(
      "/proc/" + std::to_string(pid) + "/fd", error);
  return static_cast<size_t>(std::distance(begin(fds), end(fds)));
}

// Ordinary work changes memory in MB and descriptors by this little.
bool IsAlike(size_t a, size_t b) {
  return std::max(a, b) - std::min(a, b) <= 4;
}

class OverloadTest : public PlatformFleet,
                     public testing::WithParamInterface<Endpoint> {
 protected:
  std::string ExtraSettings() const override {
    return "limits.memory_mb=" + std::to_string(kMemoryMb) +
           "\nlimits.max_fds=" + std::to_string(kMaxFds) + "\n";
  }

  void SetUp() override {
    PlatformFleet::SetUp();
    ConfigureAndWaitUntilReady();
    Json config = Json::parse(ConfigText(kConfigVersion));
    config["limits"]["max_body_bytes"] = kMaxBodyBytes;
    m_store.Put("op/config", config.dump());
    ASSERT_TRUE(RunUntil([this]() {
      return m_entry->Log().find("\"version\":" +
                                 std::to_string(kConfigVersion)) !=
             std::string::npos;
    }));
  }

  // Exposes the processes to a crowd at the endpoint, and checks what must
  // hold.
  void Expose(const Endpoint& endpoint, const CrowdPlan& plan) {
    const std::shared_ptr<PendingResponse> job = Submit(kJobRunTime);
    ASSERT_TRUE(RunUntil([&]() { return StartCount() > 0; }));
    {
      const Crowd crowd(TestAddress(endpoint.m_port_offset), plan);
      ASSERT_TRUE(RunAndObserve([&]() { return crowd.HasSettled(); }));
      WaitUntilQuiet();
      EXPECT_TRUE(crowd.connected() > 0 || plan.m_clients == 0);
      ASSERT_TRUE(RunAndObserve([&]() { return job->m_has_arrived; }));
      EXPECT_EQ(job->m_status, 200) << "job during the crowd: " << job->m_body;
      EXPECT_EQ(job->m_body, R"({"state":"completed"})");
    }
    WaitUntilQuiet();
    EXPECT_TRUE(RunAndObserve(
        [this]() {
          return MaxOfProcesses([](pid_t pid) {
                   return ReadStatusMb(pid, "VmRSS");
                 }) <= kReleasedMb;
        },
        kReleaseLimit))
        << "memory is not released";
    CheckOrdinaryService();
    CheckPeaks();
  }

 private:
  static constexpr uint64_t kConfigVersion = 8;

  std::vector<PlatformProcess*> Processes() const {
    return {m_entry.get(), m_agents[0].get(), m_agents[1].get()};
  }

  size_t MaxOfProcesses(const std::function<size_t(pid_t)>& measure) const {
    size_t max = 0;
    for (const PlatformProcess* process : Processes()) {
      max = std::max(max, measure(process->pid()));
    }
    return max;
  }

  // Runs the main loop until `condition` holds and counts descriptors all the
  // while. Returns false if it takes too long or a process exits.
  bool RunAndObserve(const std::function<bool()>& condition,
                     Milliseconds limit = kLimit) {
    bool is_alive = true;
    const bool holds = RunUntil(
        [&]() {
          m_max_fds = std::max(m_max_fds, MaxOfProcesses(&CountFds));
          is_alive = std::ranges::none_of(
              Processes(), [](auto* process) { return process->HasExited(); });
          return !is_alive || condition();
        },
        limit);
    EXPECT_TRUE(is_alive) << "a process has exited";
    return holds && is_alive;
  }

  // Waits until the processes have taken in what was sent, or the end of its
  // connections: their memory and descriptors do not change for a while.
  void WaitUntilQuiet() {
    std::vector<size_t> last(6);
    MonoTime quiet_at;
    EXPECT_TRUE(RunAndObserve([&]() {
      std::vector<size_t> now;
      for (const PlatformProcess* process : Processes()) {
        now.push_back(ReadStatusMb(process->pid(), "VmRSS"));
        now.push_back(CountFds(process->pid()));
      }
      if (!std::ranges::equal(now, last, &IsAlike)) {
        last = now;
        quiet_at = BootClock::now() + kQuietTime;
      }
      return BootClock::now() >= quiet_at;
    })) << "memory or descriptors keep changing";
  }

  // A client of its own that waits as long as the test does.
  static std::shared_ptr<PendingResponse> Request(const Address& address,
                                                  const std::string& method,
                                                  const std::string& path,
                                                  const std::string& body) {
    HttpClientOptions options;
    options.m_base_url = "http://" + address.ToString();
    const auto client = HttpClient::Make(options).value();
    HttpCall call;
    call.m_method = method;
    call.m_path = path;
    call.m_body = body;
    call.m_headers = {{"Host", "h.example"},
                      {"Deadline-Remaining", std::to_string(kLimit.count())}};
    call.m_deadline = BootClock::now() + kLimit;
    auto response = std::make_shared<PendingResponse>();
    // The callback keeps the client, whose end would break the connection.
    client->Send(std::move(call), [response, client](const auto& result) {
      response->m_has_arrived = true;
      if (result) {
        response->m_status = result.value().m_status;
        response->m_body = result.value().m_body;
      }
    });
    return response;
  }

  std::shared_ptr<PendingResponse> Submit(Milliseconds run_time) {
    const std::string id = std::to_string(1'000'000'000'000'000 + ++m_jobs);
    return Request(m_client_address, "POST", "/p/" + id,
                   JobText(2, run_time, TimedTaskText(run_time)));
  }

  void CheckOrdinaryService() {
    // After a pause in which a process did not run, connections between entry
    // and agents are made anew.
    EXPECT_TRUE(RunAndObserve([this]() { return IsReady(); }));
    const auto readiness =
        Request(m_readiness_address, "GET", "/api/readyz", "");
    const auto job = Submit(Milliseconds(50));
    EXPECT_TRUE(RunAndObserve(
        [&]() { return readiness->m_has_arrived && job->m_has_arrived; }));
    EXPECT_EQ(readiness->m_status, 200);
    EXPECT_EQ(job->m_status, 200) << "job after the crowd: " << job->m_body;
  }

  void CheckPeaks() {
    const size_t peak_mb =
        MaxOfProcesses([](pid_t pid) { return ReadStatusMb(pid, "VmHWM"); });
    const size_t rss_mb =
        MaxOfProcesses([](pid_t pid) { return ReadStatusMb(pid, "VmRSS"); });
    EXPECT_LE(peak_mb, kMemoryMb);
    EXPECT_LE(m_max_fds, kMaxFds);
    std::cout << "peak " << peak_mb << " MB, then " << rss_mb
              << " MB; descriptors " << m_max_fds << '\n';
  }

  size_t m_max_fds = 0;
  uint64_t m_jobs = 0;
};

// Guards against bounds that a process without any crowd does not keep.
TEST_F(OverloadTest, NoCrowd) {
  Expose(kRoute, {});
}

// Guards against memory for bodies that stop one byte short, which was neither
// limited nor released.
TEST_P(OverloadTest, UnfinishedBodies) {
  Expose(GetParam(), {kBodies, HeadWithLength(GetParam(), kMaxBodyBytes) +
                                   std::string(kMaxBodyBytes - 1, ' ')});
}

// The same from many addresses: guards against a limit for each address only.
TEST_F(OverloadTest, UnfinishedBodiesFromManyAddresses) {
  Expose(kRoute, {kBodies,
                  HeadWithLength(kRoute, kMaxBodyBytes) +
                      std::string(kMaxBodyBytes - 1, ' '),
                  kAnyPiece, Milliseconds(0), 100});
}

// Guards against overhead for each piece in which a body arrives.
TEST_P(OverloadTest, UnfinishedBodiesInSmallPieces) {
  Expose(GetParam(), {kBodies,
                      HeadWithLength(GetParam(), kMaxBodyBytes) +
                          std::string(kMaxBodyBytes - 1, ' '),
                      size_t{2} << 10});
}

// Guards against overhead for each chunk: chunks of one byte take far more
// memory than the body has bytes.
TEST_P(OverloadTest, TinyChunks) {
  Expose(GetParam(),
         {kTinyChunkClients, ChunkedHead(GetParam()) + Chunks(kTinyChunks, 1)});
}

// Guards against a body that is kept although its declared length is far over
// the limit.
TEST_P(OverloadTest, BodiesFarOverTheLimit) {
  Expose(GetParam(),
         {kLargeBodies, HeadWithLength(GetParam(), kLargeBodyBytes) +
                            std::string(kLargeBodyBytes - 1, ' ')});
}

// The same for a body that grows over the limit without a declared length.
TEST_P(OverloadTest, ChunkedBodiesFarOverTheLimit) {
  Expose(GetParam(), {kLargeBodies,
                      ChunkedHead(GetParam()) +
                          Chunks(kLargeBodyBytes / kAnyPiece - 1, kAnyPiece)});
}

// Guards against memory for very many short header fields.
TEST_P(OverloadTest, ManyHeaderFields) {
  Expose(GetParam(),
         {kHeaderFieldClients,
          Head(GetParam().m_write,
               "Content-Length: 2\r\n" + Repeat("a:b\r\n", kHeaderFields)) +
              "{"});
}

// Guards against memory for very many short members of a body of legal size.
TEST_P(OverloadTest, ManyJsonMembers) {
  const std::string body = JsonOfShortMembers(kMaxBodyBytes);
  Expose(GetParam(),
         {kMemberClients, HeadWithLength(GetParam(), body.size()) + body});
}

// The same with the largest body that the control address has taken: its tree
// is many times as large.
TEST_F(OverloadTest, ManyJsonMembersInALargeHeartbeat) {
  const std::string body = JsonOfShortMembers(kLargeHeartbeatBytes);
  Expose(kControl,
         {kLargeHeartbeats, HeadWithLength(kControl, body.size()) + body});
}

// Guards against memory for requests ahead of their turn and for answers that
// nobody reads.
TEST_P(OverloadTest, PipelinedRequests) {
  Expose(GetParam(), {kPipeliningClients,
                      Repeat(Head(GetParam().m_read, ""), kPipelinedRequests)});
}

// Guards against running out of descriptors: connections that send nothing.
TEST_P(OverloadTest, SilentConnections) {
  Expose(GetParam(), {kConnections, ""});
}

// The same with connections whose head arrives very slowly and stops half-way.
TEST_P(OverloadTest, SlowHeads) {
  Expose(GetParam(), {kConnections, Head(GetParam().m_write, "").substr(0, 20),
                      1, Milliseconds(50)});
}

// The same with connections whose body arrives very slowly and stops half-way.
TEST_P(OverloadTest, SlowBodies) {
  const std::string head = HeadWithLength(GetParam(), kMaxBodyBytes);
  Expose(GetParam(), {kConnections, head + std::string(1000, ' '), head.size(),
                      Milliseconds(100)});
}

INSTANTIATE_TEST_SUITE_P(Endpoints,
                         OverloadTest,
                         testing::Values(kRoute,
                                         kUnknownPath,
                                         kReadiness,
                                         kControl,
                                         kEntryMetrics,
                                         kAgentMetrics),
                         &EndpointName);

using OverloadLinkTest = OverloadTest;

// Guards against memory for frames that stop one byte short.
TEST_F(OverloadLinkTest, UnfinishedFrames) {
  Expose(kLink, {kBodies, FramePrefix(kMaxBodyBytes) +
                              std::string(kMaxBodyBytes - 1, ' ')});
}

// The same with the largest frames that the codec accepts.
TEST_F(OverloadLinkTest, UnfinishedFramesOfTheLargestSize) {
  Expose(kLink, {kLargeBodies, FramePrefix(kLargeBodyBytes) +
                                   std::string(kLargeBodyBytes - 1, ' ')});
}

// The same in small pieces.
TEST_F(OverloadLinkTest, UnfinishedFramesInSmallPieces) {
  Expose(kLink,
         {kBodies,
          FramePrefix(kMaxBodyBytes) + std::string(kMaxBodyBytes - 1, ' '),
          size_t{2} << 10});
}

// Guards against a frame that is read although it is over the limit.
TEST_F(OverloadLinkTest, FramesOverTheLimit) {
  Expose(kLink, {kLargeBodies, FramePrefix(2 * kLargeBodyBytes) +
                                   std::string(kLargeBodyBytes, ' ')});
}

// Guards against memory for very many short messages in one frame, which stand
// for as many entries.
TEST_F(OverloadLinkTest, ManyMessagesInAFrame) {
  std::vector<LinkMessage> messages;
  for (uint64_t i = 0; i < kLinkMessages; ++i) {
    messages.emplace_back(Hello{{"x", i}});
  }
  std::string text;
  EncodeBatch(messages, BootClock::now(), text);
  Expose(kLink, {4, text});
}

// Guards against memory for reads through the agent whose answers nobody takes.
TEST_F(OverloadLinkTest, PipelinedReads) {
  std::vector<LinkMessage> messages{Hello{{"x", 1}}};
  for (uint64_t i = 0; i < kRelayedReads; ++i) {
    messages.emplace_back(
        RelayRead{i, "/api/kv-range?prefix=op/", BootClock::now() + kLimit});
  }
  std::string text;
  EncodeBatch(messages, BootClock::now(), text);
  Expose(kLink, {1, text});
}

// Guards against running out of descriptors.
TEST_F(OverloadLinkTest, SilentConnections) {
  Expose(kLink, {kConnections, ""});
}

TEST_F(OverloadLinkTest, SlowFrames) {
  Expose(kLink, {kConnections, FramePrefix(kMaxBodyBytes) + "0123456789", 1,
                 Milliseconds(50)});
}

}  // namespace
}  // namespace comfreyshift
