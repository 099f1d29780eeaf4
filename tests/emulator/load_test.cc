// Replays load patterns against the decisions of entries and agents. The users'
// targets for days with trouble are a worth of 0.71 and 0.78; each pattern here
// must reach the higher one.

#include <gtest/gtest.h>

#include "emulator/emulator.h"

namespace comfreyshift {
namespace {

constexpr double kTargetWorth = 0.78;
constexpr Microseconds kLength{12'000'000};
constexpr Microseconds kThird = kLength / 3;

// Eleven runners of three speeds, a third of them half again as large.
FleetOptions TodaysFleet() {
  FleetOptions fleet;
  constexpr double kSlowness[] = {1.0, 1.0 / 1.6, 1.0 / 0.6};
  for (size_t i = 0; i < 11; ++i) {
    fleet.m_runner_cpus.push_back(i % 3 == 2 ? 96 : 64);
    fleet.m_runner_slowness.push_back(kSlowness[(i / 3) % 3]);
  }
  return fleet;
}

double WorthOf(const FleetEmulation& fleet) {
  const LoadSummary sum = fleet.Summarize();
  return sum.m_worth_earned / sum.m_worth_asked;
}

class LoadTest : public testing::Test {
 protected:
  // Plays today's load with one phase of more, and faults set up by `prepare`.
  double Play(const LoadPhase& phase,
              const std::function<void(FleetEmulation&)>& prepare) {
    LoadPattern pattern = TodaysLoad(1.0);
    pattern.m_length = kLength;
    pattern.m_phases = {phase};
    FleetEmulation fleet(TodaysFleet(), pattern);
    fleet.RunUntil(Milliseconds(20));
    fleet.AddLoad();
    prepare(fleet);
    fleet.RunUntil(kLength + std::chrono::seconds(4));
    EXPECT_EQ(fleet.double_runs(), 0U);
    EXPECT_EQ(fleet.overloads(), 0U);
    EXPECT_EQ(fleet.false_refusals(), 0U);
    return WorthOf(fleet);
  }
};

const LoadPhase kNoPhase{};

TEST_F(LoadTest, BurstOfEverything) {
  EXPECT_GE(Play({kThird, 2 * kThird, 1.8, ""}, [](FleetEmulation&) {}),
            kTargetWorth);
}

TEST_F(LoadTest, BurstOfLongJobs) {
  EXPECT_GE(Play({kThird, 2 * kThird, 2.5, "long"}, [](FleetEmulation&) {}),
            kTargetWorth);
}

TEST_F(LoadTest, SlowRunners) {
  EXPECT_GE(Play(kNoPhase,
                 [](FleetEmulation& fleet) {
                   fleet.At(kThird, [&fleet]() {
                     fleet.runner(0).set_slowness(6.5, fleet.now());
                     fleet.runner(4).set_slowness(6.5, fleet.now());
                   });
                 }),
            kTargetWorth);
}

TEST_F(LoadTest, RunnersThatFailEverything) {
  EXPECT_GE(Play(kNoPhase,
                 [](FleetEmulation& fleet) {
                   fleet.At(kThird, [&fleet]() {
                     fleet.runner(0).set_fails_all(true);
                     fleet.runner(4).set_fails_all(true);
                   });
                 }),
            kTargetWorth);
}

TEST_F(LoadTest, ARunnerOnWhichTasksStandStill) {
  EXPECT_GE(Play(kNoPhase,
                 [](FleetEmulation& fleet) {
                   fleet.At(kThird, [&fleet]() {
                     fleet.runner(0).set_hangs(true, fleet.now());
                   });
                 }),
            kTargetWorth);
}

TEST_F(LoadTest, OrdersThatGetNoAnswerAndAreCarriedOutLate) {
  EXPECT_GE(Play(kNoPhase,
                 [](FleetEmulation& fleet) {
                   fleet.At(kThird,
                            [&fleet]() { fleet.LoseOrders(0.06, kThird); });
                 }),
            kTargetWorth);
}

}  // namespace
}  // namespace comfreyshift
