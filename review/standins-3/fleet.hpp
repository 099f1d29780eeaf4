#ifndef REVIEW_STANDINS_3_FLEET_HPP_
#define REVIEW_STANDINS_3_FLEET_HPP_

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"
#include "runner.hpp"
#include "store.hpp"

namespace review {

constexpr const char* kService = "svc41a";
constexpr const char* kHost = "nony24.example";
constexpr const char* kPrefix = "/lohu930/";

// Writes lines with the time since the start to record.txt.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  int64_t Since(int64_t steady_ms) const { return steady_ms - m_start; }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  int64_t m_start = SteadyMs();
};

// A process of the project's own program, with a command of the deploy file.
class Process {
 public:
  Process(std::string program,
          std::string role,
          std::string name,
          std::string folder,
          uint16_t metrics_port,
          const std::string& settings);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int signal) const;
  // Ends it by SIGKILL and waits for its end.
  void Kill();
  bool HasExited();
  pid_t pid() const { return m_pid; }
  // VmRSS in MB; 0 if it has ended.
  int64_t MemoryMb() const;
  const std::string& name() const { return m_name; }

 private:
  std::string m_program;
  std::string m_role;
  std::string m_name;
  std::string m_folder;
  uint16_t m_metrics_port;
  pid_t m_pid = 0;
};

struct FleetOptions {
  std::string program = "target/comfreyshift";
  std::string folder;  // temporary
  int entries = 4;
  int agents = 11;
  int64_t runner_cpu = 16000;
  int64_t runner_mem_mb = 32768;
};

// Entries and agents on addresses of their own in 127.0.0.0/8, with the figures
// of sfax-enquetes, its store and its runners.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);

  // Waits until every entry answers /api/readyz with 200 and every runner is
  // registered and has been told to start something, or the time is over.
  bool WaitUntilReady(int64_t timeout_ms);
  Endpoint Front(int entry) const;
  Endpoint Control(int agent) const;
  bool IsReady(int entry) const;

  Store& store() { return *m_store; }
  std::vector<std::unique_ptr<Runner>>& runners() { return m_runners; }
  std::vector<std::unique_ptr<Process>>& entries() { return m_entries; }
  std::vector<std::unique_ptr<Process>>& agents() { return m_agents; }
  std::vector<Run> Runs();
  // Ends all processes that were started.
  void End();

 private:
  std::string Settings(const std::string& role,
                       const std::string& name,
                       const std::string& ip,
                       int zone) const;

  FleetOptions m_options;
  uint16_t m_front_port;
  uint16_t m_ready_port;
  uint16_t m_control_port;
  uint16_t m_link_port;
  uint16_t m_app_port;
  uint16_t m_store_port;
  uint16_t m_metrics_port;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::vector<std::unique_ptr<Process>> m_entries;
  std::vector<std::unique_ptr<Process>> m_agents;
};

// The platform's part in the memory of processes: ends one that exceeds its
// memory_mb, and starts again whatever has ended, after a short delay.
class MemoryGuard {
 public:
  MemoryGuard(std::vector<std::unique_ptr<Process>>& processes,
              int64_t memory_mb,
              Record& record);
  ~MemoryGuard();
  // How often each process was ended.
  std::vector<int> Ends();

 private:
  void Run();

  std::vector<std::unique_ptr<Process>>& m_processes;
  int64_t m_memory_mb;
  Record& m_record;
  std::mutex m_mutex;
  std::vector<int> m_ends;
  std::vector<int64_t> m_restart_at;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

// Ordinary clients: a job every `interval_ms`, at one entry after the other. A
// job is sent once.
class Traffic {
 public:
  struct Job {
    int tasks = 2;
    int64_t cpu = 1600;
    int64_t mem_mb = 64;
    int64_t run_ms = 200;
  };
  Traffic(Fleet& fleet,
          int entries,
          int64_t interval_ms,
          Job job,
          Record& record);
  // Stops sending and waits for the answers.
  void Stop();
  int sent() const { return m_sent; }
  int served() const { return m_served; }

 private:
  void Run();

  Fleet& m_fleet;
  int m_entries;
  int64_t m_interval_ms;
  Job m_job;
  Record& m_record;
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_served = 0;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

// Says what came of one sending of a job.
std::string Describe(const Answer& answer);

std::string JobId(uint64_t number);
// A best-effort job of one step.
std::string JobBody(int tasks,
                    int64_t cpu,
                    int64_t mem_mb,
                    int64_t estimate_ms,
                    const std::string& task_spec);
// Sends a job as a client of the platform does, and waits for the answer.
Answer SendJob(const Endpoint& front,
               const std::string& id,
               const std::string& body,
               int64_t deadline_ms);
// The text of such a request.
std::string JobRequest(const std::string& id,
                       const std::string& body,
                       int64_t deadline_ms);
bool IsCompleted(const Answer& answer);

// The command line of a case: PROGRAM FOLDER RECORD; TROUBLE=0 in the
// environment leaves out the disruption.
struct CaseArguments {
  std::string program;
  std::string folder;
  std::string record;
  bool trouble = true;
};
CaseArguments ReadArguments(int argc, char** argv);

}  // namespace review

#endif  // REVIEW_STANDINS_3_FLEET_HPP_
