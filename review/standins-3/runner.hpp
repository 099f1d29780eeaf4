#ifndef REVIEW_STANDINS_3_RUNNER_HPP_
#define REVIEW_STANDINS_3_RUNNER_HPP_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace review {

// Tasks carry their run time and demand in task_spec: "MS CPU MEM".
std::string TaskSpec(int64_t run_ms, int64_t cpu, int64_t mem_mb);

// One start that a runner has carried out.
struct Run {
  std::string runner;
  int64_t born = 0;
  std::string task;
  uint64_t run_id = 0;
  std::string task_spec;
  int64_t cpu = 0;
  int64_t mem_mb = 0;
  int64_t started_ms = 0;  // steady clock
  int64_t ended_ms = 0;    // 0 while it is at work
  std::string how;
};

struct RunnerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  int64_t cpu = 16000;
  int64_t mem_mb = 32768;
  Endpoint app;
  // The `control` address on its machine.
  Endpoint control;
};

// A runner without admission check, as PROTOCOL.md describes it.
class Runner {
 public:
  explicit Runner(RunnerOptions options);
  ~Runner();

  // The fields of a heartbeat, with the next sequence number.
  std::string HeartbeatBody();
  // Reports `draining` from now on; returns when an acknowledgement of it has
  // arrived (steady clock), 0 if none has within `timeout_ms`.
  int64_t Drain(int64_t timeout_ms);
  // Sends DELETE; then runs nothing and answers nothing.
  void Leave();
  // Crashes and starts again under its id, with another capacity.
  void Restart(int64_t cpu, int64_t mem_mb);
  // Leaves all requests unanswered and carries none out.
  void SetSilent(bool silent);
  // Number of calls that arrived.
  uint64_t starts() const { return m_starts; }

  std::vector<Run> Runs();
  // What has been in use at most, when more than its capacity was in use.
  std::vector<std::string> Overloads();
  const RunnerOptions& options() const { return m_options; }

 private:
  struct End {
    uint64_t number = 0;
    std::string task;
    uint64_t run_id = 0;
    std::string how;
  };

  std::optional<Response> Handle(const Request& request);
  Response Start(const Request& request);
  Response Stop(const Request& request);
  std::optional<Response> Hold(const Request& request);
  // These need m_mutex.
  int64_t Clock() const { return SteadyMs() - m_started_at; }
  void Extend(int64_t deadline);
  bool IsFenced(uint64_t token);
  void Finish(size_t run, const std::string& how);
  void Advance();
  void CheckCapacity();
  std::string ListsJson(uint64_t acked);
  void Tick();
  bool SendHeartbeat();

  RunnerOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int64_t m_started_at = SteadyMs();
  int64_t m_born = UnixMs();
  uint64_t m_sequence = 0;
  uint64_t m_token = 0;
  int64_t m_lease = 0;
  uint64_t m_last_end = 0;
  std::deque<End> m_ends;
  // Highest run of a task that was stopped or ended here.
  std::map<std::string, uint64_t> m_highest;
  std::vector<Run> m_runs;
  std::vector<size_t> m_active;
  std::vector<std::string> m_overloads;
  std::atomic<bool> m_draining = false;
  std::atomic<bool> m_left = false;
  std::atomic<bool> m_silent = false;
  std::atomic<bool> m_stopping = false;
  std::atomic<uint64_t> m_starts = 0;
  std::atomic<int64_t> m_drain_acknowledged_at = 0;
  std::unique_ptr<Server> m_server;
  std::thread m_ticker;
  std::thread m_heartbeats;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_RUNNER_HPP_
