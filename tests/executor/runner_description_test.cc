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

// Guards against a high sequence number of another writer that makes the
// runner's own draining look old (review/15).
TEST(RunnerDescriptionTest, HighForeignSequenceNumberHidesNoDraining) {
  RunnerDescription description;
  description.Add(Heartbeat("own", 1), kStart);
  description.Add(Heartbeat("own", UINT64_MAX), kStart);
  EXPECT_TRUE(description.Add(Heartbeat("own", 2, /*is_draining=*/true),
                              kStart + kInterval));
  EXPECT_TRUE(description.Current().m_is_draining);
  EXPECT_TRUE(description.Includes(Heartbeat("own", 2, /*is_draining=*/true)));
  EXPECT_FALSE(description.Includes(Heartbeat("own", 3)));
}

// Guards against another writer's zone, capacity or labels in the place of the
// runner's, and against a start on either while it is not known whose are.
TEST(RunnerDescriptionTest, ForeignPlacementReplacesNothing) {
  RunnerHeartbeat larger = Heartbeat("own", 1000);
  larger.m_capacity = {99'000, 99'000, 0};
  RunnerHeartbeat elsewhere = Heartbeat("own", 1000);
  elsewhere.m_zone = "elsewhere";
  RunnerHeartbeat relabelled = Heartbeat("own", 1000);
  relabelled.m_labels = {"b"};
  for (const RunnerHeartbeat& foreign : {larger, elsewhere, relabelled}) {
    RunnerDescription description;
    description.Add(foreign, kStart);
    EXPECT_FALSE(description.is_disputed());
    EXPECT_FALSE(description.Add(Heartbeat("own", 1), kStart));
    EXPECT_TRUE(description.is_disputed());
    EXPECT_FALSE(description.Includes(Heartbeat("own", 1)));
    description.Add(Heartbeat("own", 2), kStart + kInterval);
    description.Add(Heartbeat("own", 3), kStart + 2 * kInterval);
    EXPECT_FALSE(description.is_disputed());
    EXPECT_FALSE(description.Add(foreign, kStart + 2 * kInterval));
    EXPECT_FALSE(description.is_disputed());
    EXPECT_TRUE(description.Includes(Heartbeat("own", 3)));
  }
}

}  // namespace
}  // namespace comfreyshift
