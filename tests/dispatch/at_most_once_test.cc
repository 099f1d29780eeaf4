#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>

#include "tests/dispatch/cluster_simulation.h"

namespace comfreyshift {
namespace {

constexpr int kCases = 1000;

// One random step: the operation, the selection of its process, job or setting,
// and how long the simulation runs after it.
struct RandomStep {
  uint32_t m_kind = 0;
  uint32_t m_pick = 0;
  uint32_t m_milliseconds = 0;
};

std::ostream& operator<<(std::ostream& out, const RandomStep& step) {
  return out << "{" << step.m_kind << ", " << step.m_pick << ", "
             << step.m_milliseconds << "}";
}

// Short waits are the most frequent, so that faults overlap.
rc::Gen<RandomStep> StepGen() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0U, 56U), rc::gen::inRange(0U, 60U),
                     rc::gen::inRange(0U, 10U), rc::gen::inRange(0U, 900U)),
      [](const std::tuple<uint32_t, uint32_t, uint32_t, uint32_t>& values) {
        const auto [kind, pick, length, wait] = values;
        return RandomStep{kind, pick, length == 0 ? wait * 8 : wait};
      });
}

void Apply(ClusterSimulation& world, const RandomStep& step) {
  using Operation = void (*)(ClusterSimulation&, uint32_t);
  static constexpr Operation kOperations[] = {
      [](ClusterSimulation& world, uint32_t pick) { world.Kill(pick); },
      [](ClusterSimulation& world, uint32_t pick) { world.KillRack(pick); },
      [](ClusterSimulation& world, uint32_t pick) { world.Isolate(pick); },
      [](ClusterSimulation& world, uint32_t pick) { world.Isolate(pick); },
      [](ClusterSimulation& world, uint32_t) { world.ReconnectAll(); },
      [](ClusterSimulation& world, uint32_t) { world.ReconnectAll(); },
      [](ClusterSimulation& world, uint32_t pick) { world.Pause(pick); },
      [](ClusterSimulation& world, uint32_t) { world.Resume(); },
      [](ClusterSimulation& world, uint32_t) { world.Resume(); },
      [](ClusterSimulation& world, uint32_t pick) { world.DeclareDead(pick); },
      [](ClusterSimulation& world, uint32_t pick) { world.DeclareDead(pick); },
      [](ClusterSimulation& world, uint32_t) { world.Rejoin(); },
      [](ClusterSimulation& world, uint32_t) { world.Rejoin(); },
      [](ClusterSimulation& world, uint32_t) { world.Rejoin(); },
      [](ClusterSimulation& world, uint32_t) { world.Rejoin(); },
      [](ClusterSimulation& world, uint32_t pick) { world.Leave(pick); },
      [](ClusterSimulation& world, uint32_t pick) {
        world.EditInventory(pick);
      },
      [](ClusterSimulation& world, uint32_t pick) {
        world.EditInventory(pick);
      },
      [](ClusterSimulation& world, uint32_t pick) { world.CancelJob(pick); },
      [](ClusterSimulation& world, uint32_t pick) { world.Resubmit(pick); },
      [](ClusterSimulation& world, uint32_t pick) { world.Resubmit(pick); },
  };
  if (step.m_kind < std::size(kOperations)) {
    kOperations[step.m_kind](world, step.m_pick);
  } else {
    world.Submit(step.m_pick);
  }
  world.Advance(Milliseconds(step.m_milliseconds));
}

// Runs the steps and the end of the simulation. Returns the violations, one a
// line.
std::string RunSteps(ClusterSimulation& world,
                     const std::vector<RandomStep>& steps) {
  world.Advance(Milliseconds(600));
  for (const RandomStep& step : steps) {
    Apply(world, step);
  }
  world.Finish();
  std::string text;
  for (const std::string& problem : world.violations()) {
    text += problem + "\n";
  }
  return text;
}

// Guards against violations, under random sequences of faults, of the
// guarantees of the design page that the dispatch library is responsible for.
// The checks are in ClusterSimulation.
TEST(AtMostOnceTest, GuaranteesHoldUnderRandomFaults) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  const char* environment = std::getenv("RC_PARAMS");
  const bool chosen =
      environment != nullptr &&
      std::string(environment).find("max_success") != std::string::npos;
  if (!chosen) {
    params.maxSuccess = kCases;
  }
  std::map<std::string, int> answers;
  size_t starts = 0;
  const std::vector<std::vector<std::string>> layouts = {
      {"r0", "r0", "r1", "r1", "r2"},
      {"r0", "r1", "r2"},
      {"r0", "r1", "r1"},
      {"r0", "r0"}};
  const auto property = [&] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto& racks = layouts[*rc::gen::inRange<size_t>(0, layouts.size())];
    const auto steps = *rc::gen::container<std::vector<RandomStep>>(StepGen());
    ClusterSimulation world(seed, racks);
    const std::string text = RunSteps(world, steps);
    for (const auto& [name, count] : world.answers()) {
      answers[name] += count;
    }
    starts += world.starts();
    RC_ASSERT(text == "");
  };
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::cout << "starts: " << starts;
  for (const auto& [name, count] : answers) {
    std::cout << ", " << name << ": " << count;
  }
  std::cout << std::endl;
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << message.str();
}

// Guards against a second start after a takeover that preferred the record of
// an owner two epochs before over the record of the running task.
TEST(AtMostOnceTest, RecordOfLaterPlacementOutranksOneFromAnEarlierOwner) {
  ClusterSimulation world(2038, {"r0", "r1", "r2"});
  EXPECT_EQ(RunSteps(world, {{0, 0, 232},
                             {0, 0, 4064},
                             {11, 0, 3376},
                             {9, 40, 142},
                             {21, 0, 2360},
                             {21, 0, 5232},
                             {21, 0, 637},
                             {21, 0, 533},
                             {2, 0, 1984},
                             {21, 2, 7080},
                             {11, 0, 264},
                             {9, 46, 0}}),
            "");
}

}  // namespace
}  // namespace comfreyshift
