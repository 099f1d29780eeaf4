#include "executor/runner_description.h"

#include <gtest/gtest.h>

#include <string>

namespace comfreyshift {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kInterval{1500};

RunnerHeartbeat Heartbeat(const std::string& service,
                          uint64_t sequence,
                          bool is_draining = false) {
  RunnerHeartbeat heartbeat;
  heartbeat.m_service = service;
  heartbeat.m_sequence = sequence;
  heartbeat.m_is_draining = is_draining;
  return heartbeat;
}

// Guards against a service of another writer that came first and locks out the
// runner's own until the runner restarts.
TEST(RunnerDescriptionTest, RepeatedServiceReplacesTheFirstOne) {
  RunnerDescription description;
  EXPECT_TRUE(description.Add(Heartbeat("foreign", 1000), kStart));
  EXPECT_FALSE(description.Add(Heartbeat("own", 1), kStart + kInterval));
  EXPECT_FALSE(description.Add(Heartbeat("own", 2), kStart + 2 * kInterval));
  EXPECT_TRUE(description.Add(Heartbeat("own", 3), kStart + 3 * kInterval));
  EXPECT_EQ(description.Current().m_service, "own");
  // Its numbers count from here, not from those of the other writer.
  EXPECT_FALSE(description.Add(Heartbeat("own", 3), kStart + 4 * kInterval));
  EXPECT_TRUE(description.Add(Heartbeat("own", 4), kStart + 4 * kInterval));
}

// Guards against a burst of foreign heartbeats that takes the runner's place
// between two heartbeats of the runner.
TEST(RunnerDescriptionTest, ForeignServiceBetweenHeartbeatsChangesNothing) {
  RunnerDescription description;
  uint64_t foreign = 1000;
  for (uint64_t sequence = 1; sequence < 20; ++sequence) {
    const MonoTime now = kStart + sequence * kInterval;
    EXPECT_TRUE(description.Add(Heartbeat("own", sequence), now));
    for (int i = 0; i < 10; ++i) {
      EXPECT_FALSE(description.Add(Heartbeat("foreign", ++foreign),
                                   now + i * Milliseconds(140)));
    }
    EXPECT_EQ(description.Current().m_service, "own");
  }
}

// Guards against a start after an acknowledged draining: it may be the runner's
// own while the service in force is that of another writer.
TEST(RunnerDescriptionTest, DrainingCountsUntilTheServiceIsCertain) {
  RunnerDescription description;
  description.Add(Heartbeat("foreign", 1000), kStart);
  description.Add(Heartbeat("own", 1, /*is_draining=*/true), kStart);
  EXPECT_TRUE(description.Current().m_is_draining);
  description.Add(Heartbeat("foreign", 1001), kStart + Milliseconds(10));
  EXPECT_TRUE(description.Current().m_is_draining);
}

// Guards against a foreign draining that keeps a runner without work.
TEST(RunnerDescriptionTest, ForeignDrainingDoesNotCountAgainstACertainService) {
  RunnerDescription description;
  for (uint64_t sequence = 1; sequence < 4; ++sequence) {
    description.Add(Heartbeat("own", sequence), kStart + sequence * kInterval);
  }
  description.Add(Heartbeat("foreign", 1000, /*is_draining=*/true),
                  kStart + 4 * kInterval);
  EXPECT_FALSE(description.Current().m_is_draining);
}

// Guards against memory that grows with the services another writer names, and
// against names that push out the runner's own.
TEST(RunnerDescriptionTest, ManyForeignServicesDoNotPushOutTheRunnersOwn) {
  RunnerDescription description;
  description.Add(Heartbeat("foreign", 1000), kStart);
  uint64_t name = 0;
  for (uint64_t sequence = 1; sequence < 4; ++sequence) {
    const MonoTime now = kStart + sequence * kInterval;
    description.Add(Heartbeat("own", sequence), now);
    for (int i = 0; i < 10; ++i) {
      const std::string service = "foreign-" + std::to_string(++name);
      description.Add(Heartbeat(service, 1), now + Milliseconds(1));
    }
  }
  EXPECT_EQ(description.Current().m_service, "own");
}

}  // namespace
}  // namespace comfreyshift
