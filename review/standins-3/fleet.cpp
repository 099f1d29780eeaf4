#include "fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char* kZones[] = {"medina", "sakiet", "thyna", "chihia"};
constexpr const char* kStoreIp = "127.41.200.7";

std::string EntryIp(int index) {
  return "127.41.1." + std::to_string(11 + index);
}

std::string AgentIp(int index) {
  return "127.41.2." + std::to_string(11 + index);
}

std::string RunnerIp(int index) {
  return "127.41.3." + std::to_string(11 + index);
}

}  // namespace

Record::Record(const std::string& path) : m_file(path) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  m_file << SteadyMs() - m_start << " ms  " << text << std::endl;
}

Process::Process(std::string program,
                 std::string role,
                 std::string name,
                 std::string folder,
                 uint16_t metrics_port,
                 const std::string& settings)
    : m_program(std::move(program)),
      m_role(std::move(role)),
      m_name(std::move(name)),
      m_folder(std::move(folder)),
      m_metrics_port(metrics_port) {
  std::ofstream(m_folder + "/" + m_name + ".conf") << settings;
  Start();
}

Process::~Process() {
  Kill();
}

void Process::Start() {
  const std::string log = m_folder + "/" + m_name + ".log";
  const std::string variable =
      "COMFREYSHIFT_SETTINGS=" + m_folder + "/" + m_name + ".conf";
  const std::string port = std::to_string(m_metrics_port);
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    const char* arguments[] = {m_program.c_str(), m_role.c_str(),
                               "--metrics-port", port.c_str(), nullptr};
    const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin",
                                 "LANG=C.UTF-8", nullptr};
    execve(m_program.c_str(), const_cast<char**>(arguments),
           const_cast<char**>(environment));
    _exit(127);
  }
}

void Process::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void Process::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
}

bool Process::HasExited() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = 0;
  }
  return m_pid == 0;
}

int64_t Process::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atoll(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options)),
      m_front_port(FreePort()),
      m_ready_port(FreePort()),
      m_control_port(FreePort()),
      m_link_port(FreePort()),
      m_app_port(FreePort()),
      m_store_port(FreePort()),
      m_metrics_port(FreePort()) {
  m_store = std::make_unique<Store>(Endpoint{kStoreIp, m_store_port});
  const Json route{{"name", "q1"},      {"hostname", kHost},
                   {"prefix", kPrefix}, {"service", kService},
                   {"priority", 1},     {"max_attempts", 3},
                   {"stretch", 1.6},    {"target_latency_ms", 60}};
  m_store->Put(
      "op/config",
      Json{{"version", 7},
           {"routes", Json::array({route})},
           {"services",
            Json::array({{{"name", kService}, {"admission_check", false}}})},
           {"limits", {{"max_body_bytes", 262144}}}}
          .dump());
  for (int i = 0; i < m_options.agents; ++i) {
    const std::string name =
        std::string("side-") + kZones[i % 4] + "-" + std::to_string(1 + i / 4);
    m_agents.push_back(std::make_unique<Process>(
        m_options.program, "platform-agent", name, m_options.folder,
        m_metrics_port, Settings("agent", name, AgentIp(i), i % 4)));
  }
  for (int i = 0; i < m_options.entries; ++i) {
    const std::string name = std::string("frontend-") + kZones[i % 4] + "-" +
                             std::to_string(1 + i / 4);
    m_entries.push_back(std::make_unique<Process>(
        m_options.program, "platform-entry", name, m_options.folder,
        m_metrics_port, Settings("entry", name, EntryIp(i), i % 4)));
  }
  for (int i = 0; i < m_options.agents; ++i) {
    RunnerOptions runner;
    char id[16];
    std::snprintf(id, sizeof(id), "i-%08x", 0x7f3a91c2 + 977 * i);
    runner.id = id;
    runner.service = kService;
    runner.zone = kZones[i % 4];
    runner.rack =
        "r" + std::to_string(1 + i % 4) + "-" + std::to_string(1 + i / 12);
    runner.cpu = m_options.runner_cpu;
    runner.mem_mb = m_options.runner_mem_mb;
    runner.app = {RunnerIp(i), m_app_port};
    runner.control = Control(i);
    m_runners.push_back(std::make_unique<Runner>(runner));
  }
}

std::string Fleet::Settings(const std::string& role,
                            const std::string& name,
                            const std::string& ip,
                            int zone) const {
  const bool is_entry = role == "entry";
  std::ostringstream text;
  text << "node_name=" << name << "\nrole=" << role
       << "\nmachine_class=" << (is_entry ? "frontend" : "side")
       << "\nserves=" << (is_entry ? "frontend" : "side") << "\nip=" << ip
       << "\nzone=" << kZones[zone] << "\nregion=sfax\n";
  for (const char* name_of_zone : kZones) {
    text << "zones." << name_of_zone << "=sfax\n";
  }
  if (is_entry) {
    text << "listen.front=" << ip << ":" << m_front_port
         << "\nlisten.ready_addr=" << ip << ":" << m_ready_port << "\n";
  } else {
    const int index = std::atoi(ip.c_str() + ip.rfind('.') + 1) - 11;
    text << "listen.control=" << ip << ":" << m_control_port
         << "\napp=" << RunnerIp(index) << ":" << m_app_port << "\n";
  }
  text << "port_range=" << m_link_port << "," << m_link_port
       << "\nseeds=\nbootstrap=true\nin_fault_budget=false"
       << "\nlimits.cpu_share=" << (is_entry ? "0.25" : "0.15")
       << "\nlimits.cores=1\nlimits.memory_mb=" << (is_entry ? 260 : 128)
       << "\nlimits.max_fds=" << (is_entry ? 4100 : 4096)
       << "\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=local"
          "\nentry=vip\nheartbeat_ms=1500"
          "\ncontracts=base,drain,config,cost,recover,sched,places,platform"
          "\nfault_tolerance.machines=2\nfault_tolerance.zones=1"
          "\nfault_tolerance.regions=0\nbounds.seed_lag_s=3"
          "\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000"
          "\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6"
          "\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000"
          "\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000"
          "\nbounds.cold_overrun=1.5\nbounds.cold_slack=5"
          "\nbounds.evacuate_ms=5000\nbounds.recovery_s=12"
          "\nbounds.max_hold_ms=1000\nbounds.stop_ms=50"
          "\nbounds.gang_wait_ms=3000\nbounds.cancel_ms=3000"
          "\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14"
          "\nbounds.status_s=120\nbounds.remote_factor=1.5"
          "\nbounds.checkpoint_s=1\nbounds.restore_ms=250"
          "\nbounds.require_fencing=false\nbounds.lease_ms=3000"
          "\nbounds.retransmit_ms=1300\norders=invoke\nplatform.address="
       << kStoreIp << ":" << m_store_port
       << "\nplatform.form=kv\nplatform.writes_per_s=400"
          "\nplatform.reads_per_s=2000\nplatform.history_s=20"
          "\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
  return text.str();
}

Endpoint Fleet::Front(int entry) const {
  return {EntryIp(entry), m_front_port};
}

Endpoint Fleet::Control(int agent) const {
  return {AgentIp(agent), m_control_port};
}

bool Fleet::IsReady(int entry) const {
  return Call({EntryIp(entry), m_ready_port}, "GET", "/api/readyz",
              {{"Host", "ready"}}, "", 1000)
             .status == 200;
}

bool Fleet::WaitUntilReady(int64_t timeout_ms) {
  const int64_t until = SteadyMs() + timeout_ms;
  uint64_t job = 0xfeed000000000000;
  while (SteadyMs() < until) {
    bool is_ready = m_store->CountKeys("") > m_agents.size();
    for (int i = 0; i < m_options.entries && is_ready; ++i) {
      is_ready = IsReady(i);
    }
    if (is_ready) {
      // Jobs wide enough to reach every runner.
      for (int i = 0; i < m_options.entries; ++i) {
        is_ready &= IsCompleted(
            SendJob(Front(i), JobId(job++),
                    JobBody(32, 1600, 64, 900, TaskSpec(900, 1600, 64)), 1500));
      }
      for (const auto& runner : m_runners) {
        is_ready &= runner->starts() > 0;
      }
      if (is_ready) {
        return true;
      }
    }
    SleepMs(100);
  }
  return false;
}

std::vector<Run> Fleet::Runs() {
  std::vector<Run> all;
  for (const auto& runner : m_runners) {
    for (Run& run : runner->Runs()) {
      all.push_back(std::move(run));
    }
  }
  return all;
}

void Fleet::End() {
  for (auto* processes : {&m_entries, &m_agents}) {
    for (auto& process : *processes) {
      process->Kill();
    }
  }
}

MemoryGuard::MemoryGuard(std::vector<std::unique_ptr<Process>>& processes,
                         int64_t memory_mb,
                         Record& record)
    : m_processes(processes),
      m_memory_mb(memory_mb),
      m_record(record),
      m_ends(processes.size()),
      m_restart_at(processes.size()),
      m_thread([this]() { Run(); }) {}

MemoryGuard::~MemoryGuard() {
  m_stopping = true;
  m_thread.join();
}

std::vector<int> MemoryGuard::Ends() {
  const std::lock_guard lock(m_mutex);
  return m_ends;
}

void MemoryGuard::Run() {
  constexpr int64_t kRestartDelayMs = 500;
  while (!m_stopping) {
    for (size_t i = 0; i < m_processes.size(); ++i) {
      Process& process = *m_processes[i];
      if (m_restart_at[i] != 0) {
        if (SteadyMs() >= m_restart_at[i]) {
          m_restart_at[i] = 0;
          process.Start();
          m_record.Line(process.name() + " is started again");
        }
        continue;
      }
      const int64_t used = process.MemoryMb();
      const bool has_ended = process.HasExited();
      if (used > m_memory_mb || has_ended) {
        m_record.Line(process.name() +
                      (has_ended ? " has ended by itself"
                                 : " uses " + std::to_string(used) + " of " +
                                       std::to_string(m_memory_mb) +
                                       " MB and is ended"));
        process.Kill();
        m_restart_at[i] = SteadyMs() + kRestartDelayMs;
        const std::lock_guard lock(m_mutex);
        ++m_ends[i];
      }
    }
    SleepMs(2);
  }
}

Traffic::Traffic(Fleet& fleet,
                 int entries,
                 int64_t interval_ms,
                 Job job,
                 Record& record)
    : m_fleet(fleet),
      m_entries(entries),
      m_interval_ms(interval_ms),
      m_job(job),
      m_record(record),
      m_thread([this]() { Run(); }) {}

void Traffic::Stop() {
  m_stopping = true;
  m_thread.join();
}

void Traffic::Run() {
  constexpr int64_t kDeadlineMs = 1500;
  constexpr uint64_t kFirstId = 0x5c0e000000000000;
  std::vector<std::thread> clients;
  for (int n = 0; !m_stopping; ++n) {
    ++m_sent;
    clients.emplace_back([this, n]() {
      const std::string id = JobId(kFirstId + static_cast<uint64_t>(n));
      const int entry = n % m_entries;
      const int64_t start = SteadyMs();
      const Answer answer =
          SendJob(m_fleet.Front(entry), id,
                  JobBody(m_job.tasks, m_job.cpu, m_job.mem_mb, m_job.run_ms,
                          TaskSpec(m_job.run_ms, m_job.cpu, m_job.mem_mb)),
                  kDeadlineMs);
      m_served += IsCompleted(answer) ? 1 : 0;
      m_record.Line("job " + id + " at entry " + std::to_string(entry) +
                    ", sent at " + std::to_string(m_record.Since(start)) +
                    " ms: " + Describe(answer));
    });
    SleepMs(m_interval_ms);
  }
  for (std::thread& client : clients) {
    client.join();
  }
}

std::string Describe(const Answer& answer) {
  return answer.status == 0
             ? "no answer"
             : std::to_string(answer.status) + " " + answer.body.substr(0, 120);
}

std::string JobId(uint64_t number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(number));
  return id;
}

std::string JobBody(int tasks,
                    int64_t cpu,
                    int64_t mem_mb,
                    int64_t estimate_ms,
                    const std::string& task_spec) {
  Json step{{"count", tasks}, {"est_runtime_ms", estimate_ms}};
  if (cpu > 0) {
    step["cpu"] = cpu;
  }
  if (mem_mb > 0) {
    step["mem_mb"] = mem_mb;
  }
  return Json{{"task_spec", task_spec},
              {"best_effort", true},
              {"steps", Json::array({step})}}
      .dump();
}

std::string JobRequest(const std::string& id,
                       const std::string& body,
                       int64_t deadline_ms) {
  return RequestText(
      "POST", kPrefix + id,
      {{"Host", kHost}, {"Deadline-Remaining", std::to_string(deadline_ms)}},
      body);
}

Answer SendJob(const Endpoint& front,
               const std::string& id,
               const std::string& body,
               int64_t deadline_ms) {
  const int fd = ConnectTo(front);
  if (fd < 0) {
    return {};
  }
  Answer answer;
  if (SendAll(fd, JobRequest(id, body, deadline_ms))) {
    answer = ReadAnswer(fd, static_cast<int>(deadline_ms));
  }
  close(fd);
  return answer;
}

bool IsCompleted(const Answer& answer) {
  return answer.status == 200 &&
         answer.body.find("\"completed\"") != std::string::npos;
}

// Some cases hold more connections than the usual soft limit.
void RaiseDescriptorLimit() {
  constexpr rlim_t kDescriptors = 8192;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur =
      std::max(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, kDescriptors));
  setrlimit(RLIMIT_NOFILE, &limit);
}

CaseArguments ReadArguments(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: CASE PROGRAM FOLDER RECORD\n");
    std::exit(2);
  }
  RaiseDescriptorLimit();
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3],
          trouble == nullptr || std::strcmp(trouble, "0") != 0};
}

}  // namespace review
