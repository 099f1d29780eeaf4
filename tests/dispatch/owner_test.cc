#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>

#include "dispatch/dispatch.h"

namespace comfreyshift {
namespace {

constexpr WallTime kStartWallTime(Milliseconds(1'796'378'400'000));
constexpr MonoTime kStart(Microseconds(1'000'000'000));
constexpr Milliseconds kRetention = std::chrono::minutes(10);

Member MakeMember(const std::string& name,
                  const std::string& rack,
                  MemberRole role = MemberRole::kAgent) {
  Member member;
  member.m_id = {name, 1};
  member.m_role = role;
  member.m_rack = rack;
  member.m_worker = name;
  member.m_zone = "medina";
  member.m_target = role == MemberRole::kAgent ? "t-" + name : "";
  return member;
}

// The owners and starters of one small table. Actions are delivered as direct
// calls, in order and without faults.
struct Fixture {
  PartitionTable m_table = MakeEmptyTable(16);
  Inventory m_inventory;
  MonoTime m_now = kStart;
  std::map<ProcessId, Starter> m_starters;
  std::map<ProcessId, std::unique_ptr<Owner>> m_owners;
  std::map<SubmissionKey, JobAnswer> m_answers;
  std::map<TaskRef, int> m_starts;
  ReplyToken m_token = 0;
  std::map<ReplyToken, std::pair<ProcessId, ProcessId>> m_waiting;

  explicit Fixture(const std::vector<std::string>& racks) {
    TableChange change;
    change.m_joining.push_back(MakeMember("e0", "re", MemberRole::kEntry));
    for (size_t i = 0; i < racks.size(); ++i) {
      change.m_joining.push_back(MakeMember("a" + std::to_string(i), racks[i]));
    }
    m_table = ApplyChange(m_table, change, kStartWallTime, kRetention);
    m_inventory.m_zones["medina"] = {};
    m_inventory.m_clients["c"] = {};
    m_inventory.m_requests["r"] = {};
    m_inventory.m_rules["all"] = {"c", {"*"}};
    const auto inventory = std::make_shared<const Inventory>(WithTargets());
    const auto table = std::make_shared<const PartitionTable>(m_table);
    for (const Member& member : m_table.m_members) {
      if (member.m_role != MemberRole::kAgent) {
        continue;
      }
      StarterConfig config;
      config.m_target = member.m_target;
      Starter& starter =
          m_starters.emplace(member.m_id, Starter(config, member.m_id))
              .first->second;
      starter.SetTable(table);
      starter.SetInventory(inventory);
      starter.SetFreshUntil(m_now + std::chrono::hours(1));
      auto& owner = m_owners[member.m_id];
      owner = std::make_unique<Owner>(OwnerConfig(), member.m_id);
      owner->SetTable(m_now, kStartWallTime, 1, table);
      owner->SetInventory(m_now, inventory);
      owner->SetFreshUntil(m_now + std::chrono::hours(1));
    }
  }

  Inventory WithTargets() {
    for (const Member& member : m_table.m_members) {
      m_inventory.m_targets[member.m_target].m_zone = member.m_zone;
    }
    return m_inventory;
  }

  WallTime wall() const {
    return kStartWallTime +
           std::chrono::duration_cast<Milliseconds>(m_now - kStart);
  }
  ProcessId OwnerOf(const SubmissionKey& key) const {
    return *m_table.m_partitions[key.Partition(16)].m_owner;
  }
  Submission MakeSubmission(uint64_t seed, size_t tasks) const {
    Submission submission;
    submission.m_first_sent = wall();
    submission.m_key = SubmissionKey::Make(wall(), seed, seed);
    submission.m_client = "c";
    submission.m_tasks.assign(tasks, TaskSpec{"r", "x", {}, 0, false});
    submission.m_deadline = m_now + std::chrono::seconds(60);
    return submission;
  }

  // Delivers all actions until there are no more.
  void Run() {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& [id, owner] : m_owners) {
        owner->Tick(m_now, wall());
        for (OwnerAction& action : owner->TakeActions()) {
          busy = true;
          Deliver(id, action);
        }
      }
      for (auto& [id, starter] : m_starters) {
        starter.Tick(m_now, wall());
        for (StarterAction& action : starter.TakeActions()) {
          busy = true;
          Deliver(id, action);
        }
      }
    }
  }

  void Deliver(const ProcessId& from, OwnerAction& action) {
    if (auto* start = std::get_if<SendStart>(&action)) {
      m_waiting[++m_token] = {from, start->m_to};
      m_starters.at(start->m_to)
          .OnStart(m_now, wall(), m_token, start->m_command);
    } else if (auto* ended = std::get_if<JobEnded>(&action)) {
      m_answers.emplace(ended->m_key, ended->m_answer);
    } else if (auto* adopt = std::get_if<SendAdopt>(&action)) {
      const bool ok =
          m_starters.at(adopt->m_to).OnAdopt(wall(), adopt->m_command);
      m_owners.at(from)->OnAdoptDone(m_now, adopt->m_command.m_id, ok);
    } else if (auto* cancel = std::get_if<SendCancel>(&action)) {
      m_starters.at(cancel->m_to).OnCancel(m_now, cancel->m_task);
    }
  }
  void Deliver(const ProcessId& from, StarterAction& action) {
    if (auto* run = std::get_if<RunTask>(&action)) {
      ++m_starts[run->m_task];
      m_starters.at(from).OnTaskEnded(
          m_now, run->m_task,
          TaskDone{{200, std::to_string(run->m_task.m_index)}, {}});
    } else {
      auto& reply = std::get<ReplyStart>(action);
      const auto [owner, starter] = m_waiting[reply.m_token];
      m_owners.at(owner)->OnStartReply(m_now, starter, reply.m_reply);
    }
  }
};

// Guards against an incomplete or unordered answer, a task that starts twice,
// and a resubmission that does not attach to the running job.
TEST(OwnerTest, RunsJobOf440TasksOnce) {
  Fixture fixture({"r0", "r1", "r2"});
  const Submission job = fixture.MakeSubmission(1, kMaxTasksPerJob);
  Owner& owner = *fixture.m_owners.at(fixture.OwnerOf(job.m_key));
  const auto first = owner.Submit(fixture.m_now, fixture.wall(), job);
  EXPECT_FALSE(std::get<SubmitAccepted>(first).m_attached);
  const auto again = owner.Submit(fixture.m_now, fixture.wall(), job);
  EXPECT_TRUE(std::get<SubmitAccepted>(again).m_attached);
  fixture.Run();
  const auto& answer = std::get<JobComplete>(fixture.m_answers.at(job.m_key));
  ASSERT_EQ(answer.m_answers.size(), kMaxTasksPerJob);
  for (uint32_t i = 0; i < kMaxTasksPerJob; ++i) {
    EXPECT_EQ(answer.m_answers[i].m_body, std::to_string(i));
    EXPECT_EQ(fixture.m_starts[(TaskRef{job.m_key, i})], 1);
  }
  const auto later = owner.Submit(fixture.m_now, fixture.wall(), job);
  EXPECT_TRUE(std::holds_alternative<SubmitAnswered>(later));
}

// Guards against "not run" with a wrong reason, and against a key that runs
// after its caller was told "not run".
TEST(OwnerTest, RefusedKeyStaysRefused) {
  Fixture fixture({"r0", "r1"});
  Submission job = fixture.MakeSubmission(2, 3);
  job.m_client = "stranger";
  Owner& owner = *fixture.m_owners.at(fixture.OwnerOf(job.m_key));
  owner.Submit(fixture.m_now, fixture.wall(), job);
  fixture.Run();
  EXPECT_EQ(std::get<JobNotRun>(fixture.m_answers.at(job.m_key)).m_reason,
            NotRunReason::kDenied);
  const auto later = owner.Submit(fixture.m_now, fixture.wall(), job);
  EXPECT_TRUE(std::holds_alternative<SubmitAnswered>(later));
  EXPECT_TRUE(fixture.m_starts.empty());
}

// Returns a copy of `job` with the same key and another payload.
Submission WithOtherPayload(Submission job) {
  job.m_tasks.front().m_payload += "other";
  return job;
}

// Returns the reason of an answer "not run", or nothing for any other result.
std::optional<NotRunReason> NotRunReasonOf(const SubmitResult& result) {
  const auto* answered = std::get_if<SubmitAnswered>(&result);
  const auto* not_run =
      answered ? std::get_if<JobNotRun>(&answered->m_answer) : nullptr;
  return not_run ? std::optional(not_run->m_reason) : std::nullopt;
}

// Guards against the answer "may have run" for content that certainly did not
// run, and against a retry with the same content that does not attach.
TEST(OwnerTest, KeyWithOtherContentIsAConflict) {
  Fixture fixture({"r0", "r1"});
  const Submission job = fixture.MakeSubmission(8, 2);
  Submission other_client = job;
  other_client.m_client = "d";
  Submission retry = job;
  retry.m_deadline += std::chrono::seconds(1);
  Owner& owner = *fixture.m_owners.at(fixture.OwnerOf(job.m_key));
  const auto submit = [&](const Submission& submission) {
    return owner.Submit(fixture.m_now, fixture.wall(), submission);
  };
  submit(job);
  EXPECT_EQ(NotRunReasonOf(submit(WithOtherPayload(job))),
            NotRunReason::kKeyReused);
  EXPECT_EQ(NotRunReasonOf(submit(other_client)), NotRunReason::kKeyReused);
  const auto attached = submit(retry);
  ASSERT_TRUE(std::holds_alternative<SubmitAccepted>(attached));
  EXPECT_TRUE(std::get<SubmitAccepted>(attached).m_attached);
  fixture.Run();
  EXPECT_EQ(NotRunReasonOf(submit(WithOtherPayload(job))),
            NotRunReason::kKeyReused);
  const auto ended = submit(retry);
  ASSERT_TRUE(std::holds_alternative<SubmitAnswered>(ended));
  EXPECT_TRUE(std::holds_alternative<JobComplete>(
      std::get<SubmitAnswered>(ended).m_answer));
  EXPECT_EQ(fixture.m_starts.size(), 2U);
}

// Guards against a new owner that serves a partition while a removed member may
// still start tasks under an older table.
TEST(TakeoverTest,
     WaitsForConfirmationAndFreshnessPeriodAfterLossInAnotherRack) {
  Fixture fixture({"r0", "r1", "r2", "r3"});
  const ProcessId dead{"a1", 1};
  TableChange other_rack;
  other_rack.m_dead = {{"a2", 1}, dead};
  const auto table = std::make_shared<const PartitionTable>(
      ApplyChange(fixture.m_table, other_rack, fixture.wall(), kRetention));
  Owner& owner = *fixture.m_owners.at({"a0", 1});
  owner.SetTable(fixture.m_now, fixture.wall(), 2, table);
  Submission job = fixture.MakeSubmission(1, 1);
  const auto moved = [&] {
    const PartitionId id = job.m_key.Partition(16);
    return fixture.m_table.m_partitions[id].m_owner == dead &&
           table->m_partitions[id].m_owner == ProcessId{"a0", 1};
  };
  for (uint64_t seed = 2; !moved(); ++seed) {
    ASSERT_LT(seed, 1000U);
    job = fixture.MakeSubmission(seed, 1);
  }
  // The key is newer than the loss, so that only the wait prevents a second
  // start.
  job.m_first_sent += std::chrono::seconds(4);
  owner.Submit(fixture.m_now, fixture.wall(), job);
  const auto starts = [&] {
    size_t count = 0;
    owner.Tick(fixture.m_now, fixture.wall());
    for (OwnerAction& action : owner.TakeActions()) {
      if (auto* collect = std::get_if<SendCollect>(&action)) {
        owner.OnCollectReply(fixture.m_now, fixture.wall(), collect->m_to,
                             collect->m_command, {true, {}, {}});
      }
      count += std::holds_alternative<SendStart>(action) ? 1 : 0;
      count += std::holds_alternative<JobEnded>(action) ? 1 : 0;
    }
    return count;
  };
  EXPECT_EQ(starts(), 0U);
  fixture.m_now += std::chrono::seconds(20);
  EXPECT_EQ(starts(), 0U);
  owner.OnRevisionConfirmed(fixture.m_now, 2);
  fixture.m_now += Milliseconds(4999);
  EXPECT_EQ(starts(), 0U);
  fixture.m_now += Milliseconds(1);
  EXPECT_EQ(starts(), 1U);
}

// Returns the fixture's table after the owner of `key` was declared dead.
std::shared_ptr<const PartitionTable> TableWithoutOwnerOf(
    const Fixture& fixture,
    const SubmissionKey& key) {
  TableChange change;
  change.m_dead.push_back(fixture.OwnerOf(key));
  return std::make_shared<const PartitionTable>(
      ApplyChange(fixture.m_table, change, fixture.wall(), kRetention));
}

Owner& NextOwner(Fixture& fixture,
                 const PartitionTable& table,
                 const SubmissionKey& key) {
  return *fixture.m_owners.at(*table.m_partitions[key.Partition(16)].m_owner);
}

// Replies to each CollectCommand of `owner` with the records of all starters.
void CollectRecords(Fixture& fixture, Owner& owner) {
  owner.Tick(fixture.m_now, fixture.wall());
  for (OwnerAction& action : owner.TakeActions()) {
    if (auto* collect = std::get_if<SendCollect>(&action)) {
      owner.OnCollectReply(fixture.m_now, fixture.wall(), collect->m_to,
                           collect->m_command,
                           fixture.m_starters.at(collect->m_to)
                               .OnCollect(fixture.m_now, collect->m_command));
    }
  }
}

// Guards against a later owner that runs a key whose caller was told "not run".
TEST(TakeoverTest, NextOwnerHonorsRefusalOfDeadOwner) {
  Fixture fixture({"r0", "r1", "r2"});
  Submission job = fixture.MakeSubmission(3, 2);
  job.m_client = "stranger";
  const ProcessId dead = fixture.OwnerOf(job.m_key);
  fixture.m_owners.at(dead)->Submit(fixture.m_now, fixture.wall(), job);
  fixture.Run();
  ASSERT_TRUE(
      std::holds_alternative<JobNotRun>(fixture.m_answers.at(job.m_key)));
  const auto table = TableWithoutOwnerOf(fixture, job.m_key);
  Owner& owner = NextOwner(fixture, *table, job.m_key);
  // The reason for the refusal no longer applies when the next owner serves.
  fixture.m_inventory.m_clients["stranger"] = {};
  fixture.m_inventory.m_rules["stranger"] = {"stranger", {"*"}};
  owner.SetInventory(fixture.m_now,
                     std::make_shared<Inventory>(fixture.WithTargets()));
  owner.SetTable(fixture.m_now, fixture.wall(), 2, table);
  CollectRecords(fixture, owner);
  owner.Submit(fixture.m_now, fixture.wall(), job);
  ASSERT_TRUE(owner.Fetch(job.m_key).has_value());
  EXPECT_TRUE(std::holds_alternative<JobNotRun>(*owner.Fetch(job.m_key)));
}

// Guards against the reason kKeyReused, which says that nothing was run, for
// content whose tasks an earlier owner may have run. Also guards against the
// answer of other content for a key that waits for the end of a takeover.
TEST(TakeoverTest, OtherContentIsNoConflictWhenAnEarlierOwnerMayHaveRunIt) {
  Fixture fixture({"r0", "r1", "r2"});
  const Submission job = fixture.MakeSubmission(9, 2);
  const ProcessId dead = fixture.OwnerOf(job.m_key);
  fixture.m_owners.at(dead)->Submit(fixture.m_now, fixture.wall(), job);
  fixture.Run();
  ASSERT_TRUE(
      std::holds_alternative<JobComplete>(fixture.m_answers.at(job.m_key)));
  const auto table = TableWithoutOwnerOf(fixture, job.m_key);
  Owner& owner = NextOwner(fixture, *table, job.m_key);
  const auto submit = [&](const Submission& submission) {
    return owner.Submit(fixture.m_now, fixture.wall(), submission);
  };
  owner.SetTable(fixture.m_now, fixture.wall(), 2, table);
  // This owner sees the other content first.
  EXPECT_TRUE(
      std::holds_alternative<SubmitAccepted>(submit(WithOtherPayload(job))));
  EXPECT_TRUE(
      std::holds_alternative<SubmitAccepted>(submit(WithOtherPayload(job))));
  EXPECT_TRUE(std::holds_alternative<SubmitRedirect>(submit(job)));
  CollectRecords(fixture, owner);
  const auto result = submit(job);
  ASSERT_TRUE(std::holds_alternative<SubmitAnswered>(result));
  const auto* failed =
      std::get_if<JobFailed>(&std::get<SubmitAnswered>(result).m_answer);
  ASSERT_NE(failed, nullptr);
  EXPECT_EQ(failed->m_failure, JobFailure::kUnknownMayHaveRun);
}

// Guards against a takeover that makes every later reuse of a key unknown,
// although no task of the key was started under an earlier owner.
TEST(TakeoverTest, OtherContentIsAConflictForAJobFirstSeenAfterATakeover) {
  Fixture fixture({"r0", "r1", "r2"});
  fixture.m_now += std::chrono::minutes(1);
  const Submission job = fixture.MakeSubmission(10, 2);
  const auto table = TableWithoutOwnerOf(fixture, job.m_key);
  Owner& owner = NextOwner(fixture, *table, job.m_key);
  owner.SetTable(fixture.m_now, fixture.wall(), 2, table);
  owner.Submit(fixture.m_now, fixture.wall(), job);
  CollectRecords(fixture, owner);
  EXPECT_EQ(NotRunReasonOf(owner.Submit(fixture.m_now, fixture.wall(),
                                        WithOtherPayload(job))),
            NotRunReason::kKeyReused);
}

// Guards against a refusal that is sent to the caller although a newer owner
// has already collected the records of this starter and will run the job.
TEST(StarterTest, AdoptsNothingFromSupersededOwner) {
  Fixture fixture({"r0", "r1"});
  Starter& starter = fixture.m_starters.at({"a0", 1});
  EXPECT_TRUE(starter.OnAdopt(fixture.wall(), {1, {{3, 1}}, {}}));
  EXPECT_TRUE(
      starter.OnCollect(fixture.m_now, {1, {"a1", 1}, {{3, 2}}}).m_accepted);
  EXPECT_FALSE(starter.OnAdopt(fixture.wall(), {2, {{3, 1}}, {}}));
}

// Guards against a start under a key older than the retention, which must be
// answered as unknown, or under a key from the future, which must be refused.
TEST(OwnerTest, KeyTimeDecidesWhetherJobRuns) {
  Fixture fixture({"r0", "r1"});
  Submission old = fixture.MakeSubmission(4, 1);
  old.m_first_sent -= kRetention + Milliseconds(1);
  const auto result = fixture.m_owners.at(fixture.OwnerOf(old.m_key))
                          ->Submit(fixture.m_now, fixture.wall(), old);
  EXPECT_EQ(
      std::get<JobFailed>(std::get<SubmitAnswered>(result).m_answer).m_failure,
      JobFailure::kUnknownMayHaveRun);
  Submission future = fixture.MakeSubmission(5, 1);
  future.m_first_sent += kAllowedClockError + Milliseconds(1);
  fixture.m_owners.at(fixture.OwnerOf(future.m_key))
      ->Submit(fixture.m_now, fixture.wall(), future);
  fixture.Run();
  EXPECT_TRUE(
      std::holds_alternative<JobNotRun>(fixture.m_answers.at(future.m_key)));
  EXPECT_TRUE(fixture.m_starts.empty());
}

// Guards against a crash when the deadline of an empty job passes before
// another member has adopted its refusal.
TEST(OwnerTest, EmptyJobIsRefusedAfterItsDeadline) {
  Fixture fixture({"r0", "r1"});
  const Submission job = fixture.MakeSubmission(6, 0);
  Owner& owner = *fixture.m_owners.at(fixture.OwnerOf(job.m_key));
  owner.Submit(fixture.m_now, fixture.wall(), job);
  fixture.m_now += std::chrono::minutes(2);
  fixture.Run();
  EXPECT_EQ(std::get<JobNotRun>(fixture.m_answers.at(job.m_key)).m_reason,
            NotRunReason::kCannotRun);
}

// Guards against a complete answer that contains the error of a task which
// failed after the deadline.
TEST(OwnerTest, TaskThatFailsAfterTheDeadlineFailsTheJob) {
  Fixture fixture({"r0", "r1"});
  const Submission job = fixture.MakeSubmission(7, 1);
  Owner& owner = *fixture.m_owners.at(fixture.OwnerOf(job.m_key));
  owner.Submit(fixture.m_now, fixture.wall(), job);
  const auto actions = owner.TakeActions();
  const auto& start = std::get<SendStart>(actions.at(0));
  fixture.m_now += std::chrono::minutes(2);
  owner.Tick(fixture.m_now, fixture.wall());
  owner.OnStartReply(fixture.m_now, start.m_to,
                     {start.m_command.m_task,
                      start.m_command.m_attempt,
                      TaskDone{{500, "error"}, {}},
                      {}});
  ASSERT_TRUE(owner.Fetch(job.m_key).has_value());
  EXPECT_EQ(std::get<JobFailed>(*owner.Fetch(job.m_key)).m_failure,
            JobFailure::kTaskFailed);
}

// Guards against unbounded growth of memory: jobs and records must be removed
// after the retention, and jobs above the limit must be refused.
TEST(OwnerTest, MemoryIsBounded) {
  Fixture fixture({"r0", "r1"});
  const ProcessId self{"a0", 1};
  OwnerConfig config;
  config.m_max_jobs = 1;
  auto limited = std::make_unique<Owner>(config, self);
  limited->SetTable(fixture.m_now, fixture.wall(), 1,
                    std::make_shared<PartitionTable>(fixture.m_table));
  limited->SetInventory(fixture.m_now,
                        std::make_shared<Inventory>(fixture.WithTargets()));
  limited->SetFreshUntil(fixture.m_now + std::chrono::hours(1));
  fixture.m_owners[self] = std::move(limited);
  Owner& owner = *fixture.m_owners[self];
  std::vector<SubmissionKey> keys;
  for (uint64_t seed = 10; keys.size() < 4; ++seed) {
    const Submission job = fixture.MakeSubmission(seed, 1);
    if (fixture.OwnerOf(job.m_key) == self) {
      keys.push_back(job.m_key);
      owner.Submit(fixture.m_now, fixture.wall(), job);
      fixture.Run();
    }
  }
  EXPECT_TRUE(
      std::holds_alternative<JobComplete>(fixture.m_answers.at(keys[0])));
  EXPECT_EQ(std::get<JobNotRun>(fixture.m_answers.at(keys[1])).m_reason,
            NotRunReason::kQueueFull);
  EXPECT_FALSE(fixture.m_answers.contains(keys[3]));
  fixture.m_now += kRetention + std::chrono::seconds(11);
  fixture.Run();
  EXPECT_FALSE(owner.Fetch(keys[0]).has_value());
  for (const auto& [id, starter] : fixture.m_starters) {
    EXPECT_EQ(starter.records(), 0U);
  }
}

}  // namespace
}  // namespace comfreyshift
