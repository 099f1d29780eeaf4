#ifndef BENCH_PLACEMENT_BENCH_SIM_H_
#define BENCH_PLACEMENT_BENCH_SIM_H_

#include <string>

#include "bench/placement_bench_workload.h"

namespace comfreyshift::bench {

// Runs one policy at 11 owners that decide independently of one another. Each
// learns only from replies to its own tasks and from the loads on the acks of
// its pings: one ping every 200 ms, to the peers in shuffled round robin. Each
// process learns of a closed or opened zone 0.3 s to 2.6 s after the edit.
Outcome RunOwners(const Deployment& deployment,
                  const Scenario& scenario,
                  const Workload& workload,
                  const std::string& policy,
                  uint64_t seed);

}  // namespace comfreyshift::bench

#endif  // BENCH_PLACEMENT_BENCH_SIM_H_
