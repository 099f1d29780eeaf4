#include "tools/soak/runner_faults.h"

namespace comfreyshift {

namespace {

// Added to the seed, so that these draws differ from the soak's others.
constexpr uint64_t kSeedOffset = 0x36;
constexpr Milliseconds kShortestFault{500};
constexpr uint64_t kFaultSpreadMs = 3500;
constexpr Milliseconds kLongestFault{4000};

const char* NameOf(Unanswered requests) {
  switch (requests) {
    case Unanswered::kStops:
      return "stops";
    case Unanswered::kStarts:
      return "starts";
    case Unanswered::kAll:
      return "everything";
    default:
      return "nothing";
  }
}

}  // namespace

RunnerFaults::RunnerFaults(uint64_t seed, Runners& runners, Links& links)
    : m_random(seed + kSeedOffset), m_runners(runners), m_links(links) {}

std::string RunnerFaults::Strike() {
  const uint64_t choice = m_random() % 10;
  const size_t index = m_random() % m_runners.size();
  RunnerStandin& runner = *m_runners[index];
  const std::string name = "runner " + std::to_string(index);
  switch (choice) {
    case 0:
      runner.SendHeartbeatAs("i-other");
      return name + " is named i-other by a heartbeat";
    case 1:
      runner.SendLeave();
      return name + " is said to leave";
    case 2:
      return name + StartAgain(index);
    case 3:
    case 4:
    case 5:
      return name + LeaveUnanswered(runner, Unanswered::kStops);
    case 6:
      return name + LeaveUnanswered(runner, Unanswered::kStarts);
    case 7:
      return name + LeaveUnanswered(runner, Unanswered::kAll);
    default:
      return "";
  }
}

bool RunnerFaults::StrikeAllStops() {
  if (m_random() % 8 != 0) {
    return false;
  }
  const MonoTime until = BootClock::now() + kLongestFault;
  for (const auto& runner : m_runners) {
    runner->LeaveUnanswered(Unanswered::kStops, until);
  }
  return true;
}

void RunnerFaults::Heal() {
  for (const auto& runner : m_runners) {
    runner->LeaveUnanswered(Unanswered::kNothing, BootClock::now());
  }
}

// Its connections break with it.
std::string RunnerFaults::StartAgain(size_t index) {
  m_runners[index]->Restart();
  m_links[index]->SetFault(LinkFault::kReset);
  m_links[index]->SetFault(LinkFault::kNone);
  return " starts again under its id";
}

std::string RunnerFaults::LeaveUnanswered(RunnerStandin& runner,
                                          Unanswered requests) {
  const Milliseconds length =
      kShortestFault + Milliseconds(m_random() % kFaultSpreadMs);
  runner.LeaveUnanswered(requests, BootClock::now() + length);
  return std::string(" leaves ") + NameOf(requests) + " unanswered for " +
         std::to_string(length.count()) + " ms";
}

}  // namespace comfreyshift
