#ifndef BENCH_PLACEMENT_BENCH_CENTRAL_H_
#define BENCH_PLACEMENT_BENCH_CENTRAL_H_

#include "bench/placement_bench_workload.h"

namespace comfreyshift::bench {

// Which job the central scheduler serves first.
enum class CentralOrder : uint8_t {
  kShortestRemaining,  // Least work that has not started.
  kFirstCome,
  kSlowdown,  // Earliest arrival + 2 x ideal.
};

// What the central scheduler knows of run times.
enum class CentralKnowledge : uint8_t {
  kTrue,      // Each run time on each target.
  kDeclared,  // The speeds, and the best line from declared to true run times.
};

struct CentralPolicy {
  CentralOrder m_order = CentralOrder::kShortestRemaining;
  CentralKnowledge m_knowledge = CentralKnowledge::kTrue;
};

// The omniscient bound: one scheduler that knows every true run time on every
// target, all slots and the moment at which each gets free. At each arrival and
// each end it goes over the waiting tasks, jobs in `order` and the longest task
// of a job first, and gives each the slot with the earliest end; a task takes a
// slot that is free now, or waits for a faster one, for which it is planned
// again at the next event. A task reaches its slot without a delay. Only link
// delays of the way in and out, the rules (own rack, closed zone) and the rule
// that a started task stays hold for it too. It knows of a failing target and
// a closed zone at once.
Outcome RunCentral(const Deployment& deployment,
                   const Scenario& scenario,
                   const Workload& workload,
                   CentralPolicy policy);

}  // namespace comfreyshift::bench

#endif  // BENCH_PLACEMENT_BENCH_CENTRAL_H_
