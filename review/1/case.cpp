// Another writer's heartbeat, of a service that the configuration doesn't name,
// reaches an agent. The agent takes its sender for its runner's next life. Rule
// TWICE.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int kHeartbeats = 6;

} // namespace

int main() {
  Begin();
  Fleet fleet;
  fleet.AddSite();
  fleet.Start();
  fleet.BeginTraffic(25, 4, 500);
  for (int round = 0; round < kHeartbeats; ++round) {
    SleepMs(3000);
    if (!TroubleIsOn()) {
      continue;
    }
    const Machine &machine = fleet.agent(static_cast<size_t>(round));
    const std::string id = "x-" + std::to_string(round + 1);
    const Json body{{"service", "of-another-writer"},
                    {"address", machine.m_ip + ":9"},
                    {"zone", machine.m_zone},
                    {"version", "v1"},
                    {"slots", 1},
                    {"state", "ready"},
                    {"cold_left_ms", 0},
                    {"capacity", {{"cpu", 1000}, {"mem_mb", 1024}, {"gpu", 0}}},
                    {"labels", Json::array()},
                    {"clock_ms", 1000},
                    {"born", UnixMs()},
                    {"seq", 1}};
    const Response response =
        Call(machine.m_control, "PUT", "/api/instances/" + id, body.dump(), "",
             1000);
    Record("another writer: heartbeat of %s at %s answered %d", id.c_str(),
           machine.m_name.c_str(), response.m_status);
  }
  SleepMs(4000);
  const int64_t end = NowMs();
  fleet.EndTraffic();

  const std::vector<RunEntry> runs = fleet.log().Entries();
  for (size_t i = 0; i < kHeartbeats; ++i) {
    const std::string &id = fleet.agent(i).m_runner->options().m_id;
    const auto late = std::ranges::count_if(runs, [&](const RunEntry &run) {
      return run.m_runner == id && run.m_started_at > end - 4000;
    });
    Record("check: %s got %lld starts in the last four seconds", id.c_str(),
           static_cast<long long>(late));
  }
  const size_t pairs = CountRunsAtTheSameTime(runs);
  Record("check: %zu runs, %zu pairs at the same time, %llu jobs served",
         runs.size(), pairs, static_cast<unsigned long long>(fleet.served()));
  if (fleet.served() == 0) {
    Finish(2);
  }
  Finish(pairs > 0 ? 1 : 0);
}
