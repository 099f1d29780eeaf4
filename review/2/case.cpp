// An operator takes an evacuated zone back and evacuates it again while an
// entry is frozen. When the entry wakes, its watch returns both changes at
// once. Rule EVAC.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int64_t kEvacuateMs = 5000;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kFreezeMs = 3500;

}  // namespace

int main() {
  Begin();
  Fleet fleet;
  fleet.AddSite();
  fleet.Start();
  fleet.BeginTraffic(170, 2, 200);

  SleepMs(1000);
  fleet.store().Put("op/evacuate/zona-sur", "{}");
  Record("operator: evacuate zona-sur");
  SleepMs(8000);

  const int64_t frozen_at = NowMs();
  if (TroubleIsOn()) {
    fleet.entry(0).m_process->Signal(SIGSTOP, "frozen");
  }
  // The watch that waits in the store ends meanwhile.
  SleepUntil(frozen_at + 2000);
  fleet.store().Remove("op/evacuate/zona-sur");
  Record("operator: zona-sur is taken back");
  SleepMs(500);
  const int64_t evacuated_at = fleet.store().Put("op/evacuate/zona-sur", "{}");
  Record("operator: evacuate zona-sur again");
  SleepUntil(frozen_at + kFreezeMs);
  if (TroubleIsOn()) {
    fleet.entry(0).m_process->Signal(SIGCONT, "awake");
  }
  const int64_t awake_at = NowMs();
  SleepUntil(awake_at + 16'000);
  const int64_t end = NowMs();
  fleet.EndTraffic();

  // The agents of zona-sur have not been disturbed. So that the frozen entry is
  // in touch again too, the check begins contact_ms after it woke.
  const int64_t from =
      std::max(evacuated_at + kEvacuateMs, awake_at + kContactMs);
  size_t wrong = 0;
  size_t right = 0;
  for (const RunEntry& run : fleet.log().Entries()) {
    if (run.m_started_at > from && run.m_started_at < end) {
      ++(run.m_zone == "zona-sur" ? wrong : right);
    }
  }
  Record(
      "check: from %lld to %lld: %zu starts in zona-sur, %zu elsewhere; %llu "
      "jobs served in all",
      static_cast<long long>(from), static_cast<long long>(end), wrong, right,
      static_cast<unsigned long long>(fleet.served()));
  if (wrong + right == 0) {
    Finish(2);
  }
  Finish(wrong > 0 ? 1 : 0);
}
