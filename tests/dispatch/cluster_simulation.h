#ifndef TESTS_DISPATCH_CLUSTER_SIMULATION_H_
#define TESTS_DISPATCH_CLUSTER_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"

namespace comfreyshift {

// Simulates several owners and starters on a network with faults, and checks
// every start at a target and every answer. Violations of a guarantee are
// collected as text; the list is empty if all guarantees held.
class ClusterSimulation {
 public:
  ClusterSimulation(uint64_t seed, const std::vector<std::string>& racks);

  // Faults and requests. `pick` selects the process, job or setting, modulo
  // their number.
  void Submit(uint32_t pick);
  void Resubmit(uint32_t pick);
  void CancelJob(uint32_t pick);
  void Kill(uint32_t pick);
  void KillRack(uint32_t pick);
  void Isolate(uint32_t pick);
  void ReconnectAll();
  void Pause(uint32_t pick);
  void Resume();
  void DeclareDead(uint32_t pick);
  void Rejoin();
  void Leave(uint32_t pick);
  void EditInventory(uint32_t pick);
  void Advance(Milliseconds time);

  // Ends all faults, waits for the answers of all jobs and checks them.
  void Finish();

  const std::vector<std::string>& violations() const { return m_violations; }
  size_t starts() const { return m_starts.size(); }
  const std::map<std::string, int>& answers() const { return m_answer_counts; }

 private:
  using Callback = std::function<void()>;

  struct Process {
    Member m_member;
    std::unique_ptr<Owner> m_owner;
    std::unique_ptr<Starter> m_starter;
    bool m_alive = true;
    bool m_paused = false;
    bool m_leaving = false;
    int m_network_side = 0;
    Revision m_revision = 0;
    Milliseconds m_clock_error{0};
    MonoTime m_last_tick;
  };
  // A configuration, and when a majority of the witnesses confirmed it.
  struct Config {
    PartitionTable m_table;
    Inventory m_inventory;
    MonoTime m_confirmed_at;
  };
  struct Job {
    Submission m_submission;
    std::set<ProcessId> m_attached;
    bool m_answered = false;
    bool m_not_run = false;
    bool m_unknown = false;
    bool m_injected_loss = false;
  };
  // One RPC between two processes.
  struct Call {
    ProcessId m_from;
    ProcessId m_to;
    // Of the task, for a start or settle.
    SubmissionKey m_key;
    // The owner got the outcome before the job was answered as unknown.
    bool m_replied = false;
    bool m_broken = false;
    bool m_ended = false;
  };
  struct Event {
    MonoTime m_at;
    uint64_t m_sequence = 0;
    Callback m_callback;

    bool operator>(const Event& other) const {
      return std::tie(m_at, m_sequence) >
             std::tie(other.m_at, other.m_sequence);
    }
  };

  uint64_t Random(uint64_t below) { return m_random() % below; }
  bool Chance(uint32_t percent) { return Random(100) < percent; }
  Milliseconds Delay();
  WallTime WallTimeOf(const Process& process) const;
  const Config& current() const { return m_configs.back(); }
  Process* Find(const ProcessId& id);
  Process* PickMember(uint32_t pick);
  bool Connected(const ProcessId& from, const ProcessId& to);

  void ScheduleAt(MonoTime at, Callback callback);
  // Runs `callback` on a process if it is alive; once it is resumed, if it is
  // paused.
  void RunOnProcess(const ProcessId& id,
                    const std::function<void(Process&)>& callback);
  // Delivers a message after a delay, sometimes twice. Between processes that
  // are isolated from each other it is lost, which breaks its call.
  void Send(const ProcessId& from,
            const ProcessId& to,
            const std::shared_ptr<Call>& call,
            const std::function<void(Process&)>& callback);

  void StartProcess(Member member);
  void Stop(Process& process, bool clean);
  void Change(const TableChange& change);
  void RecordLoss(const Member& member);
  void AddConfig(PartitionTable table, Inventory inventory);
  void Refresh(const ProcessId& id);
  void TryLeave(const ProcessId& id, std::set<ProcessId> refused);
  void SendSubmission(SubmissionKey key, const ProcessId& to);
  void ResubmitUnanswered();

  void TickProcess(Process& process);
  void PerformAction(Process& process, const SendStart& action);
  void PerformAction(Process& process, const SendSettle& action);
  void PerformAction(Process& process, const SendCancel& action);
  void PerformAction(Process& process, const SendCollect& action);
  void PerformAction(Process& process, const SendAdopt& action);
  void PerformAction(Process& process, const JobEnded& action);
  void PerformAction(Process& process, const JobDropped& action);
  void PerformAction(Process& process, const RunTask& action);
  void PerformAction(Process& process, const ReplyStart& action);
  std::shared_ptr<Call> StartCall(const Process& from,
                                  const ProcessId& to,
                                  const std::function<void(Process&)>& lost);
  template <class Command>
  void SendTaskCommand(
      const Process& from,
      const ProcessId& to,
      const Command& command,
      const std::function<void(Process&, ReplyToken, const Command&)>&
          callback);
  void WatchCall(const std::shared_ptr<Call>& call,
                 const std::function<void(Process&)>& lost);

  void CheckStart(const Process& process, const RunTask& run);
  void CheckAnswer(const SubmissionKey& key, const JobAnswer& answer);
  void CheckUnknownOutcome(const Job& job);
  void ReportViolation(const std::string& text) {
    m_violations.push_back(text);
  }

  std::mt19937_64 m_random;
  MonoTime m_now;
  MonoTime m_start_time;
  bool m_faults = true;
  uint64_t m_next_id = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::map<ProcessId, Process> m_processes;
  std::vector<Member> m_waiting_to_join;
  std::vector<Config> m_configs;
  std::map<SubmissionKey, Job> m_jobs;
  std::vector<SubmissionKey> m_keys;
  std::map<TaskRef, std::string> m_starts;
  std::vector<std::shared_ptr<Call>> m_calls;
  std::map<ReplyToken, std::shared_ptr<Call>> m_tokens;
  std::set<ProcessId> m_lost;
  std::set<std::string> m_lost_racks;
  MonoTime m_first_loss = MonoTime::max();
  MonoTime m_last_loss;
  bool m_left_cleanly = false;
  bool m_had_one_rack = false;
  std::map<std::string, int> m_answer_counts;
  std::vector<std::string> m_violations;
};

}  // namespace comfreyshift

#endif  // TESTS_DISPATCH_CLUSTER_SIMULATION_H_
