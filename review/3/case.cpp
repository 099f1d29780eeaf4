// A runner crashes and its supervisor starts it again under the same id. Starts
// that reach the new life before its first heartbeat are reported as stopped
// while they run. Rule TWICE.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int64_t kHeartbeatMs = 1500;
// How long the runner is down.
constexpr int64_t kDownMs = 100;
constexpr int kCrashes = 18;
// The heartbeat keeps its rhythm, so that the new life's first one comes at any
// time in the first interval; each crash has another in its first half.
constexpr int64_t kPhaseStepMs = kHeartbeatMs / 2 / kCrashes;

}  // namespace

int main() {
  Begin();
  Fleet fleet;
  RunnerOptions options;
  options.m_heartbeat_ms = kHeartbeatMs;
  fleet.AddSite(options);
  fleet.Start();
  fleet.BeginTraffic(25, 4, 500);
  for (int crash = 0; crash < kCrashes; ++crash) {
    SleepMs(4000);
    if (TroubleIsOn()) {
      Runner& runner =
          *fleet.agent(static_cast<size_t>(crash) % fleet.agents()).m_runner;
      runner.Crash();
      SleepMs(kDownMs);
      runner.Start(crash * kPhaseStepMs);
    }
  }
  SleepMs(3000);
  fleet.EndTraffic();

  const std::vector<RunEntry> runs = fleet.log().Entries();
  const size_t pairs = CountRunsAtTheSameTime(runs);
  Record("check: %zu runs, %zu pairs at the same time, %llu jobs served",
         runs.size(), pairs, static_cast<unsigned long long>(fleet.served()));
  if (fleet.served() == 0) {
    Finish(2);
  }
  Finish(pairs > 0 ? 1 : 0);
}
