#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "placement/placement.h"

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{};
constexpr uint32_t kSlots = 8;

std::vector<PlacementTarget> MakeTargets(uint32_t count) {
  std::vector<PlacementTarget> targets(count);
  for (uint32_t i = 0; i < count; ++i) {
    targets[i].m_name = "target-" + std::to_string(i);
    targets[i].m_agent = {"agent-" + std::to_string(i), 1};
    targets[i].m_slots = kSlots;
    targets[i].m_link_delay = Milliseconds(1);
  }
  return targets;
}

Placer MakePlacer(uint32_t count) {
  Placer placer(1);
  placer.SetTargets(kNow, MakeTargets(count));
  return placer;
}

PlacementRequest LargeJobRequest() {
  PlacementRequest request;
  request.m_tasks_left = 1000;
  return request;
}

LoadReport MakeLoad(uint32_t running, uint32_t queued) {
  LoadReport load;
  load.m_running = running;
  load.m_queued = queued;
  load.m_slots = kSlots;
  return load;
}

void SendAndFinish(Placer& placer, MonoTime now, TargetIndex target, bool ok) {
  placer.OnSent(now, target);
  placer.OnDone(now, target, ok ? Milliseconds(300) : Milliseconds(5), ok);
}

uint32_t CountEjected(const Placer& placer, MonoTime now, uint32_t count) {
  uint32_t ejected = 0;
  for (TargetIndex i = 0; i < count; ++i) {
    ejected += placer.ejected(now, i) ? 1 : 0;
  }
  return ejected;
}

// Guards against a start in a closed zone or on the owner's own rack, against
// outstanding counts that wrap below 0 and make a target look full forever, and
// against ejecting so many targets that the remaining ones are overloaded.
TEST(PlacerTest, AnyEventsKeepRulesCountsAndEjectionCap) {
  rc::check([] {
    const auto count = *rc::gen::inRange<uint32_t>(1, 100);
    Placer placer = MakePlacer(count);
    std::vector<uint32_t> outstanding(count);
    std::vector<bool> allowed(count);
    for (uint32_t i = 0; i < count; ++i) {
      allowed[i] = *rc::gen::inRange(0, 3) > 0;
    }
    MonoTime now = kNow;
    for (int step = 0; step < 200; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 500));
      const auto target = *rc::gen::inRange<uint32_t>(0, count);
      const auto event = *rc::gen::inRange(0, 6);
      PlacementRequest request;
      request.m_allowed = &allowed;
      request.m_tasks_left = *rc::gen::inRange(1, 441);
      if (event < 3) {
        const auto chosen = placer.Choose(now, request);
        if (chosen) {
          RC_ASSERT(allowed[*chosen]);
          placer.OnSent(now, *chosen);
          ++outstanding[*chosen];
        }
      } else if (event == 3) {
        placer.OnDone(now, target, Milliseconds(100),
                      *rc::gen::inRange(0, 2) > 0);
        outstanding[target] -= outstanding[target] > 0 ? 1 : 0;
      } else if (event == 4) {
        placer.OnNotStarted(now, target);
        outstanding[target] -= outstanding[target] > 0 ? 1 : 0;
      } else {
        placer.OnLoad(
            now, target,
            MakeLoad(*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9)));
      }
      RC_ASSERT(placer.outstanding(target) == outstanding[target]);
      RC_ASSERT(3 * CountEjected(placer, now, count) <= count);
    }
  });
}

// Guards against a random sample of many targets that misses the few allowed
// ones.
TEST(PlacerTest, FindsTheOnlyAllowedTargetOfMany) {
  Placer placer = MakePlacer(2400);
  std::vector<bool> allowed(2400, false);
  allowed[1777] = true;
  PlacementRequest request;
  request.m_allowed = &allowed;
  EXPECT_EQ(placer.Choose(kNow, request), TargetIndex{1777});
  allowed[1777] = false;
  EXPECT_EQ(placer.Choose(kNow, request), std::nullopt);
}

// Guards against sending a task to a target without the memory or accelerator
// that it needs.
TEST(PlacerTest, ChoosesOnlyTargetsThatCanRunTheTask) {
  Placer placer(1);
  std::vector<PlacementTarget> targets = MakeTargets(4);
  targets[1].m_accelerators = 1;
  targets[2].m_memory_mb = 64000;
  targets[3].m_accelerators = 1;
  targets[3].m_memory_mb = 64000;
  placer.SetTargets(kNow, targets);
  PlacementRequest request;
  request.m_memory_mb = 1000;
  request.m_needs_accelerator = true;
  EXPECT_EQ(placer.Choose(kNow, request), TargetIndex{3});
  request.m_memory_mb = 65000;
  EXPECT_EQ(placer.Choose(kNow, request), std::nullopt);
}

// Guards against a target that attracts work because its tasks fail fast, and
// against its return to full load without a probe.
TEST(PlacerTest, FailingTargetIsEjectedAndProbedBeforeItReturns) {
  Placer placer = MakePlacer(4);
  for (TargetIndex i = 0; i < 4; ++i) {
    SendAndFinish(placer, kNow, i, true);
  }
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(placer.ejected(kNow, 0)) << "after " << i << " failures";
    SendAndFinish(placer, kNow, 0, false);
  }
  EXPECT_TRUE(placer.ejected(kNow, 0));
  for (int i = 0; i < 20; ++i) {
    const auto chosen = placer.Choose(kNow, LargeJobRequest());
    ASSERT_TRUE(chosen.has_value());
    EXPECT_NE(*chosen, 0U);
    SendAndFinish(placer, kNow, *chosen, true);
  }
  std::vector<bool> allowed = {true, false, false, false};
  PlacementRequest request = LargeJobRequest();
  request.m_allowed = &allowed;
  const MonoTime later = kNow + std::chrono::seconds(6);
  ASSERT_EQ(placer.Choose(later, request), TargetIndex{0});
  placer.OnSent(later, 0);
  EXPECT_EQ(placer.Choose(later, request), std::nullopt)
      << "a second task was sent before the probe ended";
  placer.OnDone(later, 0, Milliseconds(300), true);
  placer.OnSent(later, 0);
  EXPECT_TRUE(placer.Choose(later, request).has_value());
}

// Guards against work for a target whose probe failed, and against an ejection
// time that does not grow with each failed probe.
TEST(PlacerTest, FailedProbeEjectsForLonger) {
  Placer placer = MakePlacer(4);
  for (int i = 0; i < 3; ++i) {
    SendAndFinish(placer, kNow, 0, false);
  }
  const MonoTime probe = kNow + std::chrono::seconds(6);
  // Successes of another target keep the overall failure rate below the limit
  // for ejections.
  for (int i = 0; i < 64; ++i) {
    SendAndFinish(placer, probe, 1, true);
  }
  SendAndFinish(placer, probe, 0, false);
  EXPECT_TRUE(placer.ejected(probe + std::chrono::seconds(9), 0));
  EXPECT_FALSE(placer.ejected(probe + std::chrono::seconds(11), 0));
}

// Guards against a faulty job, whose tasks fail on every target, ejecting all
// targets.
TEST(PlacerTest, FailuresEverywhereEjectAtMostAThird) {
  Placer placer = MakePlacer(11);
  for (int round = 0; round < 20; ++round) {
    for (TargetIndex i = 0; i < 11; ++i) {
      SendAndFinish(placer, kNow, i, false);
    }
  }
  EXPECT_LE(CountEjected(placer, kNow, 11), 3U);
  EXPECT_TRUE(placer.Choose(kNow, LargeJobRequest()).has_value());
}

// Guards against quick failures that lower the expected run time.
TEST(PlacerTest, FailuresDoNotCountAsSpeed) {
  Placer placer = MakePlacer(2);
  for (int i = 0; i < 50; ++i) {
    SendAndFinish(placer, kNow, 0, true);
  }
  const RunTime before = placer.ExpectedRun(Milliseconds(0));
  SendAndFinish(placer, kNow, 0, false);
  EXPECT_EQ(placer.ExpectedRun(Milliseconds(0)), before);
}

// Guards against a load report that predates the last starts. Such a report
// made a full target look empty, and a whole job was sent there.
TEST(PlacerTest, StartsInFlightStayCountedAfterALoadReport) {
  Placer placer = MakePlacer(1);
  placer.OnLoad(kNow, 0, MakeLoad(kSlots, 0));
  uint32_t sent = 0;
  while (sent < 100 && placer.Choose(kNow, LargeJobRequest())) {
    placer.OnSent(kNow, 0);
    ++sent;
    placer.OnLoad(kNow, 0, MakeLoad(kSlots, 0));
  }
  EXPECT_EQ(sent, 2U);
}

// Guards against sending a whole job to busy targets at once, where its tasks
// wait although slots elsewhere become free.
TEST(PlacerTest, TasksWaitAtTheOwnerWhileTheTargetIsFull) {
  Placer placer = MakePlacer(1);
  uint32_t sent = 0;
  while (sent < 100 && placer.Choose(kNow, LargeJobRequest())) {
    placer.OnSent(kNow, 0);
    ++sent;
  }
  // All sent tasks count as queued until a reply shows which of them run.
  EXPECT_EQ(sent, kSlots);
  LoadReport load = MakeLoad(kSlots, 0);
  load.m_queued_of_owner = 0;
  placer.OnLoad(kNow + Milliseconds(10), 0, load);
  EXPECT_TRUE(placer.Choose(kNow + Milliseconds(10), LargeJobRequest()));
}

// Guards against a slow target that delays the end of a job.
TEST(PlacerTest, LastTasksAvoidASlowTarget) {
  Placer placer = MakePlacer(2);
  for (int i = 0; i < 200; ++i) {
    placer.OnSent(kNow, 0);
    placer.OnDone(kNow, 0, Milliseconds(100), true);
    placer.OnSent(kNow, 1);
    placer.OnDone(kNow, 1, Milliseconds(400), true);
  }
  placer.OnLoad(kNow, 0, MakeLoad(kSlots, 60));
  placer.OnLoad(kNow, 1, MakeLoad(0, 0));
  EXPECT_NE(placer.Choose(kNow, PlacementRequest()), TargetIndex{1});
  EXPECT_EQ(placer.Choose(kNow, LargeJobRequest()), TargetIndex{1});
}

// Guards against a tight loop of starts at a target that refuses them, such as
// one in a zone that was closed without this owner knowing it yet.
TEST(PlacerTest, RefusedStartsPauseTheTarget) {
  Placer placer = MakePlacer(1);
  MonoTime now = kNow;
  uint32_t starts = 0;
  for (; now < kNow + std::chrono::seconds(2); now += Milliseconds(3)) {
    if (placer.Choose(now, LargeJobRequest())) {
      placer.OnSent(now, 0);
      placer.OnNotStarted(now, 0);
      ++starts;
    }
  }
  EXPECT_LE(starts, 6U);
}

// Guards against losing the counts of sent tasks when the member list changes:
// the owner would send a full load on top of the running tasks.
TEST(PlacerTest, CountsFollowTheAgentWhenTargetsChange) {
  Placer placer = MakePlacer(3);
  placer.OnSent(kNow, 2);
  std::vector<PlacementTarget> targets = MakeTargets(3);
  std::swap(targets[0], targets[2]);
  targets[1].m_agent.m_incarnation = 2;
  placer.SetTargets(kNow, targets);
  EXPECT_EQ(placer.outstanding(0), 1U);
  EXPECT_EQ(placer.outstanding(2), 0U);
}

// Guards against misleading declared run times: they must be used only as far
// as they correlate with the actual ones.
TEST(RunTimeEstimatorTest, UsesDeclarationsOnlyWhenTheyAreInformative) {
  RunTimeEstimator correlated;
  RunTimeEstimator uncorrelated;
  TargetSlowdown first;
  TargetSlowdown second;
  for (int i = 0; i < 2000; ++i) {
    const Milliseconds run(100 << (i % 4));
    correlated.Learn(first, run, 3 * run);
    uncorrelated.Learn(second, run, Milliseconds(100 << ((i / 4) % 4)));
  }
  EXPECT_GT(correlated.slope(), 0.8F);
  EXPECT_GT(correlated.ExpectedRun(Milliseconds(2400)),
            4 * correlated.ExpectedRun(Milliseconds(300)));
  EXPECT_LT(uncorrelated.slope(), 0.1F);
}

// Guards against an agent's queue that loses, repeats or reorders tasks.
TEST(StartQueueTest, PopsByDueTimeThenArrival) {
  rc::check([] {
    StartQueue queue;
    std::map<std::pair<int, StartId>, bool> model;
    const auto dues =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
    for (StartId id = 0; id < dues.size(); ++id) {
      RC_ASSERT(queue.Push(id, kNow + Milliseconds(dues[id])));
      RC_ASSERT(!queue.Push(id, kNow));
      model[{dues[id], id}] = true;
    }
    for (StartId id = 0; id < dues.size(); id += 3) {
      RC_ASSERT(queue.Remove(id));
      RC_ASSERT(!queue.Remove(id));
      model.erase({dues[id], id});
    }
    for (const auto& [key, queued] : model) {
      RC_ASSERT(queue.Pop() == key.second);
    }
    RC_ASSERT(!queue.Pop());
  });
}

}  // namespace
}  // namespace comfreyshift
