#include <gtest/gtest.h>

#include <functional>

#include "dispatch/dispatch.h"

namespace comfreyshift {
namespace {

constexpr WallTime kStartWallTime(Milliseconds(1'796'378'400'000));
constexpr MonoTime kNow(std::chrono::hours(1));
constexpr Milliseconds kRetention = std::chrono::minutes(10);
constexpr uint32_t kPartitions = 12;

ProcessId Id(int number) {
  return {"a" + std::to_string(number), 1};
}

// Returns a table with the agents a0, a1 and so on, one for each entry of
// `racks`.
PartitionTable MakeTable(const std::vector<std::string>& racks) {
  TableChange change;
  for (size_t i = 0; i < racks.size(); ++i) {
    Member member;
    member.m_id = Id(static_cast<int>(i));
    member.m_rack = racks[i];
    change.m_joining.push_back(member);
  }
  return ApplyChange(MakeEmptyTable(kPartitions), change, kStartWallTime,
                     kRetention);
}

PartitionTable Without(const PartitionTable& table,
                       std::vector<ProcessId> dead,
                       std::vector<ProcessId> leaving = {}) {
  TableChange change;
  change.m_dead = std::move(dead);
  change.m_leaving_cleanly = std::move(leaving);
  return ApplyChange(table, change,
                     table.LatestChange() + std::chrono::seconds(1),
                     kRetention);
}

// Lets `self` take over the partitions that it gained in `moved`, with `table`
// as the first table that it receives. Returns the latest m_unknown_before of
// these partitions.
WallTime UnknownBeforeAfterTakeover(const ProcessId& self,
                                    const PartitionTable& moved,
                                    const PartitionTable& table) {
  std::vector<PartitionId> gained;
  for (PartitionId id = 0; id < kPartitions; ++id) {
    const Partition& partition = moved.m_partitions[id];
    if (partition.m_owner == self && partition.m_epoch > 1) {
      gained.push_back(id);
    }
  }
  Takeovers takeovers(self);
  takeovers.Begin(kNow, std::make_shared<PartitionTable>(table), gained);
  std::vector<OwnerAction> actions;
  takeovers.Tick(kNow, actions);
  for (const OwnerAction& action : actions) {
    const auto& collect = std::get<SendCollect>(action);
    takeovers.OnReply(kNow, collect.m_to, collect.m_command, {true, {}, {}});
  }
  TableChangeTracker table_changes(std::chrono::seconds(5));
  table_changes.OnTable(kNow, 2, table.LatestChange());
  table_changes.OnConfirmed(kNow, 2);
  table_changes.Tick(kNow + std::chrono::seconds(5),
                     kStartWallTime + std::chrono::seconds(9));
  WallTime unknown;
  for (const Takeovers::CompletedTakeover& served :
       takeovers.TakeCompleted(table_changes)) {
    unknown = std::max(unknown, served.m_unknown_before);
  }
  return unknown;
}

// Guards against a second start of a task whose record was lost after its
// partition moved and before the new owner received the first table with the
// move.
TEST(TakeoverTest, CountsLossBetweenMoveAndFirstTable) {
  const PartitionTable moved =
      Without(MakeTable({"r0", "r1", "r2", "r3"}), {Id(1)});
  EXPECT_EQ(UnknownBeforeAfterTakeover(Id(0), moved, moved), WallTime());
  EXPECT_GT(UnknownBeforeAfterTakeover(Id(0), moved, Without(moved, {Id(2)})),
            kStartWallTime);
}

// Guards against a second start of a task whose record was handed over to the
// rack that the previous owner avoided, and was lost there.
TEST(TakeoverTest, HandoverDuringTakeoverMakesEveryLossCount) {
  const PartitionTable moved =
      Without(MakeTable({"r0", "r1", "r2", "r1"}), {Id(1)});
  const PartitionTable same_rack = Without(moved, {Id(3)});
  EXPECT_EQ(UnknownBeforeAfterTakeover(Id(0), moved, same_rack), WallTime());
  const PartitionTable left = Without(moved, {}, {Id(2)});
  EXPECT_GT(UnknownBeforeAfterTakeover(Id(0), moved, Without(left, {Id(3)})),
            kStartWallTime);
}

// Guards against resubmissions that end as unknown after a single loss: of the
// first owner, or of a rack whose agents die one after the other.
TEST(PartitionTableTest, LossOfOneRackLeavesNothingUnknown) {
  const PartitionTable before = MakeTable({"r0", "r0", "r1", "r2"});
  const PartitionTable after = Without(Without(before, {Id(0)}), {Id(1)});
  for (const Partition& partition : after.m_partitions) {
    EXPECT_EQ(partition.m_unknown_before, WallTime());
  }
  const PartitionTable other = Without(after, {Id(2)});
  EXPECT_GT(UnknownBeforeAfterTakeover(Id(3), other, other), kStartWallTime);
}

StartRecord MakeRecord(const PartitionTable& table, const ProcessId& owner) {
  for (uint64_t i = 0;; ++i) {
    const SubmissionKey key = SubmissionKey::Make(kStartWallTime, i, i);
    if (table.m_partitions[key.Partition(kPartitions)].m_owner == owner) {
      return {{key, 0}, kStartWallTime,           Id(0),
              true,     TaskDone{{200, "x"}, {}}, {}};
    }
  }
}

// Guards against a handover that leaves both copies of a record in one rack.
TEST(HandoverTest, IsIncompleteWhenOnlyTheOwnersRackCouldAdopt) {
  const PartitionTable table = MakeTable({"r0", "r1", "r2"});
  const StartRecord record = MakeRecord(table, Id(1));
  const HandoverPlan plan = PlanHandover(table, Id(0), {record});
  ASSERT_EQ(plan.m_commands.size(), 1U);
  EXPECT_EQ(plan.m_commands[0].m_to, Id(2));
  const HandoverPlan refused = PlanHandover(table, Id(0), {record}, {Id(2)});
  EXPECT_FALSE(refused.m_complete);
  EXPECT_TRUE(refused.m_commands.empty());
}

// Guards against a deadlock of two members that leave at the same time and wait
// for each other.
TEST(HandoverTest, LeavingMemberAdoptsUntilItHandsOver) {
  const PartitionTable table = MakeTable({"r0", "r1", "r2"});
  Starter starter({}, Id(2));
  starter.SetTable(std::make_shared<PartitionTable>(table));
  starter.StartDraining(kNow);
  const StartRecord record = MakeRecord(table, Id(1));
  EXPECT_TRUE(starter.OnAdopt(kStartWallTime, {1, {}, {record}}));
  EXPECT_EQ(starter.BeginHandover().size(), 1U);
  EXPECT_FALSE(starter.OnAdopt(kStartWallTime, {2, {}, {record}}));
  starter.AbortHandover();
  EXPECT_TRUE(starter.OnAdopt(kStartWallTime, {3, {}, {record}}));
}

// Lets an agent leave cleanly after its reply to a StartCommand was lost. The
// other agents then report the record with `outcome` that it handed over. Calls
// `watch` with the owner and the job while the job is deferred, and again after
// the records were collected. Returns the answer of the job, if it has one.
std::optional<JobAnswer> AnswerAfterCleanDeparture(
    const TaskOutcome& outcome,
    const std::function<void(Owner&, const Submission&)>& watch =
        [](Owner&, const Submission&) {}) {
  PartitionTable table = MakeTable({"r0", "r1", "r2"});
  Inventory inventory;
  inventory.m_zones["z"] = {};
  inventory.m_clients["c"] = {};
  inventory.m_requests["r"] = {};
  inventory.m_rules["c"] = {"c", {"*"}};
  inventory.m_targets["t"].m_zone = "z";
  for (Member& member : table.m_members) {
    member.m_target = "t";
  }
  Owner owner({}, Id(0));
  owner.SetInventory(kNow, std::make_shared<Inventory>(inventory));
  owner.SetTable(kNow, kStartWallTime, 1,
                 std::make_shared<PartitionTable>(table));
  owner.SetFreshUntil(MonoTime::max());
  Submission job;
  job.m_key = MakeRecord(table, Id(0)).m_task.m_key;
  job.m_first_sent = kStartWallTime;
  job.m_client = "c";
  job.m_deadline = kNow + std::chrono::minutes(1);
  job.m_tasks = {TaskSpec{"r", "", {}, 0, false}};
  owner.Submit(kNow, kStartWallTime, job);
  const auto sent = owner.TakeActions();
  const ProcessId agent = std::get<SendStart>(sent.at(0)).m_to;
  owner.OnReplyLost(kNow, agent, {job.m_key, 0});
  owner.SetTable(kNow, kStartWallTime, 2,
                 std::make_shared<PartitionTable>(Without(table, {}, {agent})));
  watch(owner, job);
  owner.Tick(kNow, kStartWallTime);
  for (const OwnerAction& action : owner.TakeActions()) {
    const auto* collect = std::get_if<SendCollect>(&action);
    if (collect == nullptr) {
      continue;
    }
    CollectReply reply;
    reply.m_accepted = true;
    if (collect->m_to != Id(0)) {
      reply.m_records.push_back(
          {{job.m_key, 0}, kStartWallTime, agent, true, outcome, {}});
    }
    owner.OnCollectReply(kNow, kStartWallTime, collect->m_to,
                         collect->m_command, reply);
  }
  watch(owner, job);
  return owner.Fetch(job.m_key);
}

// Guards against a planned departure that turns the answer of a finished task
// into "unknown" because its reply was lost.
TEST(OwnerTest, FindsRecordOfAgentThatLeftCleanly) {
  const auto answer = AnswerAfterCleanDeparture(TaskDone{{200, "done"}, {}});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(std::get<JobComplete>(*answer).m_answers.at(0),
            (TaskAnswer{200, "done"}));
}

// Guards against a second start of a task whose agent left cleanly and handed
// over a record saying that it may have run: the owner's own record of the
// running task must not take precedence over it.
TEST(OwnerTest, StartsNothingThatMayHaveRunAtAgentThatLeftCleanly) {
  const auto answer = AnswerAfterCleanDeparture(TaskMayHaveRun{});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(std::get<JobFailed>(*answer).m_failure,
            JobFailure::kUnknownMayHaveRun);
}

// Guards against the answer "may have run" for other content under the key of a
// job that the owner deferred: it had the job all the time and knows that the
// other content did not run.
TEST(OwnerTest, OtherContentIsAConflictWhileAJobIsDeferredAndAfterwards) {
  int conflicts = 0;
  const auto submit_other = [&](Owner& owner, Submission job) {
    job.m_tasks.front().m_payload = "other";
    const SubmitResult result = owner.Submit(kNow, kStartWallTime, job);
    const auto* answered = std::get_if<SubmitAnswered>(&result);
    ASSERT_NE(answered, nullptr);
    const auto* not_run = std::get_if<JobNotRun>(&answered->m_answer);
    ASSERT_NE(not_run, nullptr);
    EXPECT_EQ(not_run->m_reason, NotRunReason::kKeyReused);
    ++conflicts;
  };
  const auto answer =
      AnswerAfterCleanDeparture(TaskDone{{200, "done"}, {}}, submit_other);
  EXPECT_EQ(conflicts, 2);
  ASSERT_TRUE(answer.has_value());
  EXPECT_TRUE(std::holds_alternative<JobComplete>(*answer));
}

}  // namespace
}  // namespace comfreyshift
