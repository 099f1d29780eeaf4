#ifndef TOOLS_SOAK_WORLD_H_
#define TOOLS_SOAK_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http/http.h"
#include "tests/platform/runner_standin.h"
#include "tests/standins/fault_proxy.h"
#include "tests/standins/platform_documents.h"
#include "tests/standins/platform_store_standin.h"
#include "tests/standins/role_process.h"
#include "tools/soak/runner_faults.h"

namespace comfreyshift {

// One job as its client sees it.
struct SoakJob {
  std::string m_id;
  uint64_t m_tasks = 1;
  Milliseconds m_task_time{0};
  MonoTime m_sent_at;
  // Its client sends it no more, and expects no answer, after this.
  MonoTime m_give_up_at;
  // Answered with success, or as failed.
  bool m_is_done = false;
  // Answered as not accepted: nothing ran of that sending.
  bool m_is_refused = false;
  // A sending ended without an answer that says what became of it.
  bool m_may_have_run = false;
};

// A small fleet: the real program as separate processes, stand-ins of the store
// and the runners in this process, and a proxy with faults on every link.
class SoakWorld {
 public:
  static constexpr size_t kEntries = 2;
  static constexpr size_t kAgents = 3;

  // Ports are `first_port` and the next 30.
  SoakWorld(uint64_t seed, uint16_t first_port);
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  // Runs the main loop, with jobs coming in all the while.
  void RunFor(Milliseconds time);
  // Does one or more things drawn at random, and undoes them later; tells what.
  std::string Strike();
  // Undoes all faults and starts what is missing.
  void Heal();
  // Sends no more jobs and waits for answers.
  void Settle();
  // Promises that were broken, in words.
  const std::set<std::string>& violations() const { return m_violations; }
  // Time since the start, for timelines.
  Milliseconds elapsed() const;
  // What the processes that run now have logged, by their names.
  std::map<std::string, std::string> Logs() const;
  // Checks what can only be said at the end; `calm_since` is when the last
  // fault ended.
  void CheckEnd(MonoTime calm_since);
  size_t jobs() const { return m_jobs.size(); }
  size_t served() const { return m_served; }

 private:
  // Ports of this run, by their place in its range.
  Address Loopback(size_t offset) const;
  void WriteConfig();
  void StartEntry(size_t index);
  void StartAgent(size_t index);
  void RestartExited();
  void SubmitDue(MonoTime now);
  Milliseconds DrawTaskTime();
  void Send(size_t job);
  void OnAnswer(size_t job, const HttpCallResult& result);
  void CheckRunning();
  void CheckExit(const PlatformProcess& process);
  void CheckLog(const PlatformProcess& process);
  void Violate(const std::string& what);
  void At(MonoTime due, std::function<void()> action);
  void StrikeProcess(std::unique_ptr<PlatformProcess>& process, int choice);
  std::string StrikeOutside();
  FaultProxy& AnyProxy();

  MonoTime m_start = BootClock::now();
  // The last turn of the loop, and the longest pause between two since then.
  MonoTime m_last_turn = m_start;
  Microseconds m_longest_pause{0};
  std::mt19937_64 m_random;
  std::mt19937_64 m_task_times;
  uint16_t m_first_port;
  uint64_t m_config_version = 0;
  PlatformStoreStandin m_store;
  std::vector<std::unique_ptr<RunnerStandin>> m_runners;
  std::vector<std::unique_ptr<FaultProxy>> m_store_links;
  std::vector<std::unique_ptr<FaultProxy>> m_runner_links;
  std::vector<std::unique_ptr<FaultProxy>> m_agent_links;
  RunnerFaults m_runner_faults;
  std::vector<std::unique_ptr<PlatformProcess>> m_entries;
  std::vector<std::unique_ptr<PlatformProcess>> m_agents;
  std::vector<std::shared_ptr<HttpClient>> m_clients;
  std::vector<SoakJob> m_jobs;
  MonoTime m_next_job_at;
  bool m_is_sending = true;
  size_t m_served = 0;
  std::multimap<MonoTime, std::function<void()>> m_later;
  std::set<std::string> m_violations;
};

}  // namespace comfreyshift

#endif  // TOOLS_SOAK_WORLD_H_
