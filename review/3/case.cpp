// A start gets no answer and is carried out late, and the runner crashes and
// starts again under the same id in between. The new life has seen no fencing
// token, and the agent's token is still the one of the late start. Rule TWICE.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int64_t kLateMs = 2000;
constexpr int64_t kCrashAfterMs = 400;
constexpr int64_t kDownMs = 300;
// The longest work of one task in the site's sheet.
constexpr int64_t kTaskMs = 3600;
constexpr int kRounds = 6;

}  // namespace

int main() {
  Begin();
  Fleet fleet;
  fleet.AddSite();
  std::atomic<int> held_up = -1;
  std::atomic<bool> is_armed = false;
  for (size_t i = 0; i < fleet.agents(); ++i) {
    fleet.agent(i).m_runner->m_delay_start = [&, i](const Json&) -> int64_t {
      if (!TroubleIsOn() || !is_armed.exchange(false)) {
        return 0;
      }
      held_up = static_cast<int>(i);
      return kLateMs;
    };
  }
  fleet.Start();
  int served = 0;
  for (int round = 0; round < kRounds; ++round) {
    held_up = -1;
    is_armed = true;
    std::thread client([&]() {
      served += fleet.Submit(0, JobId(static_cast<uint64_t>(round) + 1), 1,
                             kTaskMs, 12'000) == 200;
    });
    SleepMs(kCrashAfterMs);
    if (held_up >= 0) {
      Runner& runner = *fleet.agent(static_cast<size_t>(held_up)).m_runner;
      runner.Crash();
      SleepMs(kDownMs);
      runner.Start();
    }
    client.join();
    SleepMs(2000);
  }

  const std::vector<RunEntry> runs = fleet.log().Entries();
  const size_t pairs = CountRunsAtTheSameTime(runs);
  Record("check: %zu runs, %zu pairs at the same time, %d of %d jobs served",
         runs.size(), pairs, served, kRounds);
  if (served == 0) {
    Finish(2);
  }
  Finish(pairs > 0 ? 1 : 0);
}
