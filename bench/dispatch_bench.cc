// Measures the dispatch library on one core, without I/O: starts a second,
// bytes and time for each task, and the cost of tables and takeovers. Prints
// one JSON object a line. Seeds are fixed.

#include <malloc.h>

#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dispatch/dispatch.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::ordered_json;

constexpr WallTime kWall(Milliseconds(1'796'378'400'000));
constexpr MonoTime kNow(std::chrono::hours(1));
constexpr Milliseconds kRetention = std::chrono::minutes(10);
constexpr uint32_t kTasksPerJob = 100;
constexpr int kAgentsPerRack = 30;
constexpr size_t kAnswerBytes = 64;

// Processor time of this process.
double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

Member MakeAgent(int number) {
  Member member;
  member.m_id = {"agent-" + std::to_string(number), 1'796'378'400'000ULL};
  member.m_datagram_address = {"10.20.30.40", 7401};
  member.m_rpc_address = {"10.20.30.40", 7402};
  member.m_zone = "zona-oriente";
  member.m_rack = "rack-" + std::to_string(number / kAgentsPerRack);
  member.m_worker = "worker-" + std::to_string(number);
  member.m_target = "runner-" + std::to_string(number);
  return member;
}

PartitionTable MakeTable(int agents, int agents_per_rack = kAgentsPerRack) {
  TableChange change;
  for (int i = 0; i < agents; ++i) {
    change.m_joining.push_back(MakeAgent(i));
    change.m_joining.back().m_rack =
        "rack-" + std::to_string(i / agents_per_rack);
  }
  return ApplyChange(MakeEmptyTable(kDefaultPartitionCount), change, kWall,
                     kRetention);
}

std::shared_ptr<const Inventory> MakeInventory(int agents) {
  auto inventory = std::make_shared<Inventory>();
  inventory->m_zones["zona-oriente"] = {};
  inventory->m_clients["despacho"] = {};
  inventory->m_requests["route"] = {};
  inventory->m_rules["all"] = {"despacho", {"*"}};
  for (int i = 0; i < agents; ++i) {
    inventory->m_targets["runner-" + std::to_string(i)].m_zone = "zona-oriente";
  }
  return inventory;
}

Submission MakeSubmission(uint64_t number) {
  Submission submission;
  submission.m_first_sent = kWall;
  submission.m_key = SubmissionKey::Make(kWall, number, number * 77);
  submission.m_client = "despacho";
  submission.m_deadline = kNow + std::chrono::minutes(1);
  submission.m_tasks.assign(kTasksPerJob, TaskSpec{"route", "", {}, 0, false});
  for (uint32_t i = 0; i < kTasksPerJob; ++i) {
    submission.m_tasks[i].m_payload = std::string(kAnswerBytes, 'p');
  }
  return submission;
}

// One owner and the starters of the other agents; replies come at once.
class Loop {
 public:
  explicit Loop(int agents)
      : m_table(std::make_shared<PartitionTable>(MakeTable(agents, 1))),
        m_inventory(MakeInventory(agents)),
        m_self(m_table->m_members.front().m_id) {
    m_owner = std::make_unique<Owner>(OwnerConfig(), m_self);
    m_owner->SetInventory(kNow, m_inventory);
    m_owner->SetTable(kNow, kWall, 1, m_table);
    m_owner->SetFreshUntil(MonoTime::max());
    for (const Member& member : m_table->m_members) {
      StarterConfig config;
      config.m_target = member.m_target;
      auto& starter = m_starters[member.m_id];
      starter = std::make_unique<Starter>(config, member.m_id);
      starter->SetTable(m_table);
      starter->SetInventory(m_inventory);
      starter->SetFreshUntil(MonoTime::max());
    }
  }

  bool Owns(const SubmissionKey& key) const {
    return m_table->m_partitions[key.Partition(kDefaultPartitionCount)]
               .m_owner == m_self;
  }
  void Submit(Submission submission) {
    m_owner->Submit(kNow, kWall, std::move(submission));
  }

  // Runs until all tasks have ended. Returns the number of starts.
  size_t Run() {
    size_t starts = 0;
    for (bool busy = true; busy;) {
      busy = false;
      for (OwnerAction& action : m_owner->TakeActions()) {
        if (auto* start = std::get_if<SendStart>(&action)) {
          busy = true;
          m_busy.insert(start->m_to);
          m_starters.at(start->m_to)
              ->OnStart(kNow, kWall, 0, std::move(start->m_command));
        }
      }
      for (const ProcessId& id : std::exchange(m_busy, {})) {
        for (StarterAction& action : m_starters.at(id)->TakeActions()) {
          busy = true;
          m_busy.insert(id);
          if (auto* run = std::get_if<RunTask>(&action)) {
            ++starts;
            m_starters.at(id)->OnTaskEnded(
                kNow, run->m_task,
                TaskDone{{200, std::string(kAnswerBytes, 'a')},
                         Microseconds(100'000)});
          } else {
            m_owner->OnStartReply(kNow, id,
                                  std::get<ReplyStart>(action).m_reply);
          }
        }
      }
    }
    return starts;
  }

  Owner& owner() { return *m_owner; }
  void DropOwner() { m_owner.reset(); }
  void DropStarters() { m_starters.clear(); }

 private:
  std::shared_ptr<const PartitionTable> m_table;
  std::shared_ptr<const Inventory> m_inventory;
  ProcessId m_self;
  std::unique_ptr<Owner> m_owner;
  std::map<ProcessId, std::unique_ptr<Starter>> m_starters;
  std::set<ProcessId> m_busy;
};

// Starts a second, and bytes kept for each job, task and record.
void MeasureStarts(int agents, size_t jobs) {
  Loop loop(agents);
  size_t starts = 0;
  size_t submitted = 0;
  const double began = CpuSeconds();
  for (uint64_t number = 1; submitted < jobs; ++number) {
    Submission submission = MakeSubmission(number);
    if (loop.Owns(submission.m_key)) {
      ++submitted;
      loop.Submit(std::move(submission));
      starts += loop.Run();
    }
  }
  const double seconds = CpuSeconds() - began;
  const size_t full = HeapBytes();
  loop.DropOwner();
  const size_t without_owner = HeapBytes();
  loop.DropStarters();
  const size_t without_starters = HeapBytes();
  const auto tasks = static_cast<double>(starts);
  Json json;
  json["measure"] = "starts";
  json["agents"] = agents;
  json["jobs"] = jobs;
  json["tasks_per_job"] = kTasksPerJob;
  json["starts"] = starts;
  json["starts_per_core_second"] = tasks / seconds;
  json["cpu_us_per_task"] = seconds * 1e6 / tasks;
  json["owner_bytes_per_task"] =
      static_cast<double>(full - without_owner) / tasks;
  json["starter_bytes_per_record"] =
      static_cast<double>(without_owner - without_starters) / tasks;
  std::cout << json << std::endl;
}

// One agent of a full table dies: cost for the proposer, for a member that
// takes the table, and of its encoded form.
void MeasureTable(int agents) {
  const PartitionTable table = MakeTable(agents);
  TableChange change;
  change.m_dead.push_back(MakeAgent(1).m_id);
  double began = CpuSeconds();
  const auto after = std::make_shared<const PartitionTable>(
      ApplyChange(table, change, kWall + std::chrono::hours(1), kRetention));
  const double change_seconds = CpuSeconds() - began;
  began = CpuSeconds();
  const std::string text = EncodeTable(*after);
  const double encode_seconds = CpuSeconds() - began;
  began = CpuSeconds();
  const bool decoded = DecodeTable(text).has_value();
  const double decode_seconds = CpuSeconds() - began;
  const size_t heap_before = HeapBytes();
  const auto copy = std::make_unique<PartitionTable>(*after);
  const size_t table_bytes = HeapBytes() - heap_before;
  Owner owner(OwnerConfig(), MakeAgent(0).m_id);
  owner.SetInventory(kNow, MakeInventory(agents));
  owner.SetTable(kNow, kWall, 1, std::make_shared<PartitionTable>(table));
  began = CpuSeconds();
  owner.SetTable(kNow, kWall, 2, after);
  const double set_seconds = CpuSeconds() - began;
  Json json;
  json["measure"] = "table";
  json["agents"] = agents;
  json["partitions"] = kDefaultPartitionCount;
  json["encoded_bytes"] = text.size();
  json["memory_bytes"] = table_bytes;
  json["apply_change_ms"] = change_seconds * 1e3;
  json["encode_ms"] = encode_seconds * 1e3;
  json["decode_ms"] = decode_seconds * 1e3;
  json["decoded"] = decoded;
  json["set_table_ms"] = set_seconds * 1e3;
  std::cout << json << std::endl;
}

// Takes partitions of a dead owner over from `agents` members that hold
// `records` records of them in all, and resumes every job.
void MeasureTakeover(int agents, int partitions, size_t records) {
  PartitionTable before = MakeTable(agents);
  const ProcessId self = MakeAgent(0).m_id;
  const ProcessId dead = MakeAgent(agents - 1).m_id;
  for (PartitionId id = 0; id < before.m_partitions.size(); ++id) {
    if (before.m_partitions[id].m_owner == self ||
        before.m_partitions[id].m_owner == dead) {
      before.m_partitions[id].m_owner = MakeAgent(1).m_id;
    }
  }
  PartitionTable after = before;
  for (int id = 0; id < partitions; ++id) {
    after.m_partitions[id].m_owner = self;
    ++after.m_partitions[id].m_epoch;
  }
  Owner owner(OwnerConfig(), self);
  owner.SetInventory(kNow, MakeInventory(agents));
  owner.SetTable(kNow, kWall, 1, std::make_shared<PartitionTable>(before));
  std::vector<CollectReply> replies(agents);
  std::vector<Submission> jobs;
  for (uint64_t number = 1; jobs.size() * kTasksPerJob < records; ++number) {
    Submission job = MakeSubmission(number);
    if (job.m_key.Partition(kDefaultPartitionCount) >=
        static_cast<uint32_t>(partitions)) {
      continue;
    }
    for (uint32_t i = 0; i < kTasksPerJob; ++i) {
      const int agent = static_cast<int>((number + i) % agents);
      replies[agent].m_records.push_back(
          {{job.m_key, i},
           kWall,
           MakeAgent(agent).m_id,
           true,
           TaskDone{{200, std::string(kAnswerBytes, 'a')}, {}},
           {}});
    }
    jobs.push_back(std::move(job));
  }
  const size_t heap_before = HeapBytes();
  double began = CpuSeconds();
  owner.SetTable(kNow, kWall, 2, std::make_shared<PartitionTable>(after));
  owner.Tick(kNow, kWall);
  size_t messages = 0;
  for (OwnerAction& action : owner.TakeActions()) {
    if (auto* collect = std::get_if<SendCollect>(&action)) {
      CollectReply& reply = replies[messages++];
      reply.m_accepted = true;
      // A copy stands for the decoding of the message.
      owner.OnCollectReply(kNow, kWall, collect->m_to, collect->m_command,
                           reply);
    }
  }
  const double collect_seconds = CpuSeconds() - began;
  const size_t known_bytes = HeapBytes() - heap_before;
  owner.SetFreshUntil(MonoTime::max());
  began = CpuSeconds();
  size_t resumed = 0;
  for (Submission& job : jobs) {
    owner.Submit(kNow, kWall, std::move(job));
  }
  for (const OwnerAction& action : owner.TakeActions()) {
    resumed += std::holds_alternative<JobEnded>(action) ? 1 : 0;
  }
  Json json;
  json["measure"] = "takeover";
  json["agents"] = agents;
  json["partitions"] = partitions;
  json["records"] = records;
  json["collect_messages"] = messages;
  json["collect_cpu_ms"] = collect_seconds * 1e3;
  json["known_bytes_per_record"] =
      records == 0
          ? 0.0
          : static_cast<double>(known_bytes) / static_cast<double>(records);
  json["resumed_jobs"] = resumed;
  json["resume_cpu_ms"] = (CpuSeconds() - began) * 1e3;
  std::cout << json << std::endl;
}

void MeasureAll() {
  for (const int agents : {4, 11, 600, 2400}) {
    MeasureStarts(agents, agents > 100 ? 200 : 2000);
  }
  for (const int agents : {11, 600, 2400}) {
    MeasureTable(agents);
  }
  for (const int partitions : {4, 100}) {
    for (const size_t records : {0, 10'000, 100'000}) {
      MeasureTakeover(2400, partitions, records);
    }
  }
}

}  // namespace
}  // namespace comfreyshift

int main() {
  comfreyshift::MeasureAll();
  return 0;
}
