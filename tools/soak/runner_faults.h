#ifndef TOOLS_SOAK_RUNNER_FAULTS_H_
#define TOOLS_SOAK_RUNNER_FAULTS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/platform/runner_standin.h"
#include "tests/standins/fault_proxy.h"

namespace comfreyshift {

// Faults of the runners, and messages to their agents by other writers, drawn
// at random.
class RunnerFaults {
 public:
  using Runners = std::vector<std::unique_ptr<RunnerStandin>>;
  using Links = std::vector<std::unique_ptr<FaultProxy>>;

  // `links` lead to the runners, in the same order; both outlive this.
  RunnerFaults(uint64_t seed, Runners& runners, Links& links);

  // Strikes one runner, or none at times; tells what, empty for nothing. Faults
  // that last end by themselves.
  std::string Strike();
  // At times, all runners leave stops unanswered for long; returns whether.
  bool StrikeAllStops();
  // Ends the faults that last.
  void Heal();

 private:
  std::string StartAgain(size_t index);
  std::string LeaveUnanswered(RunnerStandin& runner, Unanswered requests);

  std::mt19937_64 m_random;
  Runners& m_runners;
  Links& m_links;
};

}  // namespace comfreyshift

#endif  // TOOLS_SOAK_RUNNER_FAULTS_H_
