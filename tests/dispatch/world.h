#ifndef TESTS_DISPATCH_WORLD_H_
#define TESTS_DISPATCH_WORLD_H_

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

// Several owners and starters on a fake network with faults, and an oracle that
// sees every start at a target and every answer. Problems are collected as
// text; an empty list means that all guarantees held.
class World {
 public:
  World(uint64_t seed, const std::vector<std::string>& racks);

  // Faults and requests. `pick` chooses among what there is.
  void Submit(uint32_t pick);
  void Resubmit(uint32_t pick);
  void CancelJob(uint32_t pick);
  void Kill(uint32_t pick);
  void KillRack(uint32_t pick);
  void Cut(uint32_t pick);
  void HealCuts();
  void Pause(uint32_t pick);
  void Resume();
  void DeclareDead(uint32_t pick);
  void Rejoin();
  void Leave(uint32_t pick);
  void EditInventory(uint32_t pick);
  void Advance(Milliseconds time);

  // Ends all faults and waits for the answers of all jobs.
  void Finish();

  const std::vector<std::string>& problems() const { return m_problems; }
  size_t starts() const { return m_starts.size(); }
  const std::map<std::string, int>& answers() const { return m_answer_counts; }

 private:
  using Step = std::function<void()>;

  struct Process {
    Member m_member;
    std::unique_ptr<Owner> m_owner;
    std::unique_ptr<Starter> m_starter;
    bool m_alive = true;
    bool m_paused = false;
    bool m_leaving = false;
    int m_side = 0;
    Revision m_revision = 0;
    Milliseconds m_clock_error{0};
    MonoTime m_ticked;
  };
  // A configuration, and when more than half of the witnesses confirmed it.
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
  // One start or settle: whether its owner has the outcome.
  struct Call {
    ProcessId m_from;
    ProcessId m_to;
    SubmissionKey m_key;
    bool m_replied = false;
    bool m_broken = false;
    bool m_ended = false;
  };
  struct Event {
    MonoTime m_at;
    uint64_t m_order = 0;
    Step m_step;

    bool operator>(const Event& other) const {
      return std::tie(m_at, m_order) > std::tie(other.m_at, other.m_order);
    }
  };

  uint64_t Random(uint64_t below) { return m_random() % below; }
  bool Chance(uint32_t percent) { return Random(100) < percent; }
  Milliseconds Delay();
  WallTime WallOf(const Process& process) const;
  const Config& current() const { return m_configs.back(); }
  Process* Find(const ProcessId& id);
  Process* PickListed(uint32_t pick);
  bool Connected(const ProcessId& from, const ProcessId& to);

  void At(MonoTime at, Step step);
  // Runs `step` at a process that is alive, when it is not paused.
  void RunAt(const ProcessId& id, const std::function<void(Process&)>& step);
  // Delivers a message late, sometimes twice, and not at all between processes
  // that are cut off from each other: that breaks its call.
  void Send(const ProcessId& from,
            const ProcessId& to,
            const std::shared_ptr<Call>& call,
            const std::function<void(Process&)>& step);

  void StartProcess(Member member);
  void Stop(Process& process, bool clean);
  void Change(const TableChange& change);
  void CountLoss(const Member& member);
  void AddConfig(PartitionTable table, Inventory inventory);
  void Refresh(const ProcessId& id);
  void TryLeave(const ProcessId& id, std::set<ProcessId> refused);
  void SendSubmission(SubmissionKey key, const ProcessId& to);
  void CallersResubmit();

  void Pump(Process& process);
  void Do(Process& process, const SendStart& action);
  void Do(Process& process, const SendSettle& action);
  void Do(Process& process, const SendCancel& action);
  void Do(Process& process, const SendCollect& action);
  void Do(Process& process, const SendAdopt& action);
  void Do(Process& process, const JobEnded& action);
  void Do(Process& process, const JobDropped& action);
  void Do(Process& process, const RunTask& action);
  void Do(Process& process, const ReplyStart& action);
  std::shared_ptr<Call> StartCall(const Process& from,
                                  const ProcessId& to,
                                  const std::function<void(Process&)>& lost);
  template <class Command>
  void Ask(
      const Process& from,
      const ProcessId& to,
      const Command& command,
      const std::function<void(Process&, ReplyToken, const Command&)>& step);
  void WatchCall(const std::shared_ptr<Call>& call,
                 const std::function<void(Process&)>& lost);

  void CheckStart(const Process& process, const RunTask& run);
  void CheckAnswer(const SubmissionKey& key, const JobAnswer& answer);
  void CheckUnknown(const Job& job);
  void Problem(const std::string& text) { m_problems.push_back(text); }

  std::mt19937_64 m_random;
  MonoTime m_now;
  MonoTime m_began;
  bool m_faults = true;
  uint64_t m_order = 0;
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
  std::vector<std::string> m_problems;
};

}  // namespace comfreyshift

#endif  // TESTS_DISPATCH_WORLD_H_
