#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <random>
#include <set>

#include "placement/placement.h"

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{};
constexpr MonoTime kFarDeadline = kNow + std::chrono::hours(1);

Admission MakeAdmission(uint32_t running, uint32_t queued) {
  Admission admission({"entry", running, queued}, kNow);
  admission.SetClients(kNow, {{"a", 1e6, 1e6, 1}, {"b", 1e6, 1e6, 3}});
  return admission;
}

AdmissionRefusal RefusalOf(const Result<Admitted, AdmissionError>& result) {
  return result.error().m_refusal;
}

struct Consumption {
  MonoTime m_time;
  uint32_t m_tasks = 0;
};

// Returns the largest number of tasks by which any time window exceeds
// rate * window + burst.
double MaxQuotaExcess(const std::vector<Consumption>& taken,
                      const ClientQuota& quota) {
  double worst = -quota.m_burst;
  for (size_t from = 0; from < taken.size(); ++from) {
    double tasks = 0;
    for (size_t to = from; to < taken.size(); ++to) {
      tasks += taken[to].m_tasks;
      const std::chrono::duration<double> window =
          taken[to].m_time - taken[from].m_time;
      worst = std::max(worst,
                       tasks - quota.m_rate * window.count() - quota.m_burst);
    }
  }
  return worst;
}

// Guards against entries that together admit more than a client's quota, in
// particular while loans start, end, are lost or arrive late.
TEST(QuotaTableTest, EntriesTogetherKeepTheQuotaOverAnyWindow) {
  rc::check([] {
    constexpr uint32_t kEntries = 3;
    const ClientQuota quota{"a", 30, 60, 1};
    std::vector<QuotaTable> tables;
    for (uint32_t i = 0; i < kEntries; ++i) {
      tables.emplace_back("entry-" + std::to_string(i));
      tables.back().SetEntries(kNow, kEntries);
      tables.back().SetQuotas(kNow, {quota});
    }
    struct Digest {
      MonoTime m_as_of;
      uint32_t m_from = 0;
      UsageDigest m_digest;
    };
    std::deque<Digest> late;
    std::vector<Consumption> taken;
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    // Bit mask of the entries that request more than their share. It changes
    // every 15 s, so that lenders come to need what they have lent.
    uint64_t busy = 1;
    for (int step = 0; step < 1000; ++step) {
      const MonoTime now = kNow + step * Milliseconds(100);
      busy = step % 150 == 149 ? random() % 8 : busy;
      for (uint32_t entry = 0; entry < kEntries; ++entry) {
        if ((busy >> entry & 1) != 0 && tables[entry].TryConsume(now, "a", 2)) {
          taken.push_back({now, 2});
        }
      }
      const auto from = static_cast<uint32_t>(random() % kEntries);
      late.push_back({now, from, tables[from].Usage(now)});
      while (late.size() > random() % 30) {
        const Digest digest = late.front();
        late.pop_front();
        const auto to = static_cast<uint32_t>(random() % kEntries);
        if (to != digest.m_from) {
          tables[to].OnPeerUsage(digest.m_as_of,
                                 "entry-" + std::to_string(digest.m_from),
                                 digest.m_digest);
        }
      }
    }
    // Tolerates rounding to microseconds.
    RC_ASSERT(MaxQuotaExcess(taken, quota) < 0.01);
  });
}

// Guards against unusable quota when a load balancer spreads requests unevenly:
// an idle entry must lend its share to the entry that needs it.
TEST(QuotaTableTest, UnusedShareMovesToTheEntryThatNeedsIt) {
  QuotaTable busy("busy");
  QuotaTable idle("idle");
  for (QuotaTable* table : {&busy, &idle}) {
    table->SetEntries(kNow, 2);
    table->SetQuotas(kNow, {{"a", 100, 10, 1}});
  }
  uint32_t taken = 0;
  for (MonoTime now = kNow; now < kNow + std::chrono::seconds(60);
       now += Milliseconds(5)) {
    taken += busy.TryConsume(now, "a", 1) ? 1 : 0;
    idle.OnPeerUsage(now, "busy", busy.Usage(now));
    busy.OnPeerUsage(now, "idle", idle.Usage(now));
  }
  // Without loans the busy entry could take 3,000 tasks, half of the quota. The
  // idle entry keeps a quarter of the other half.
  EXPECT_GT(taken, 4500U);
  EXPECT_LT(taken, 6010U);
}

// Guards against a job larger than the burst that is never admitted, and
// against one whose tasks are not deducted from the quota in full.
TEST(QuotaTableTest, JobLargerThanTheBurstPassesOnceAndIsPaidBack) {
  QuotaTable table("entry");
  table.SetQuotas(kNow, {{"a", 10, 20, 1}});
  EXPECT_TRUE(table.TryConsume(kNow, "a", 440));
  EXPECT_FALSE(table.TryConsume(kNow + std::chrono::seconds(41), "a", 1));
  EXPECT_TRUE(table.TryConsume(kNow + std::chrono::seconds(43), "a", 1));
}

// Guards against a client that delays others by queueing many jobs, and against
// credit for time in which a client was idle.
TEST(FairQueueTest, BackloggedClientsAreServedByWeight) {
  rc::check([] {
    FairQueue queue;
    const double weight = *rc::gen::inRange(1, 9);
    queue.SetWeight("a", 1);
    queue.SetWeight("b", weight);
    queue.SetWeight("c", 1);
    TicketId ticket = 0;
    for (int i = 0; i < 2000; ++i) {
      queue.Push("a", {++ticket, 10, kFarDeadline});
    }
    for (int i = 0; i < 100; ++i) {
      queue.Pop();
    }
    const TicketId last_of_a = ticket;
    for (int i = 0; i < 2000; ++i) {
      queue.Push("b",
                 {++ticket, *rc::gen::inRange<uint32_t>(1, 20), kFarDeadline});
    }
    double served_a = 0;
    double served_b = 0;
    for (int i = 0; i < 500; ++i) {
      const auto job = queue.Pop();
      (job->m_ticket <= last_of_a ? served_a : served_b) += job->m_tasks;
    }
    RC_ASSERT(std::abs(served_b / weight - served_a) <= 20);
  });
}

// Guards against a refused or cancelled job that starts later, a job that is
// decided twice or never, and a queue that grows without bound.
TEST(AdmissionTest, EachJobIsDecidedOnceAndTheQueueIsBounded) {
  rc::check([] {
    constexpr uint32_t kMaxTasks = 40;
    Admission admission = MakeAdmission(20, 100);
    std::set<TicketId> waiting;
    uint64_t running = 0;
    MonoTime now = kNow;
    for (int step = 0; step < 300; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 50));
      const auto event = *rc::gen::inRange(0, 5);
      if (event < 3) {
        const auto tasks = *rc::gen::inRange<uint32_t>(1, kMaxTasks);
        const std::string client = *rc::gen::inRange(0, 2) > 0 ? "a" : "b";
        const auto result =
            admission.Admit(now, client, tasks, now + Milliseconds(1000));
        if (!result) {
          // The refused job is not queued and has no ticket.
        } else if (const auto* later =
                       std::get_if<AdmissionQueued>(&result.value())) {
          RC_ASSERT(waiting.insert(later->m_ticket).second);
        } else {
          running += tasks;
        }
      } else if (event == 3 && !waiting.empty()) {
        RC_ASSERT(admission.Cancel(*waiting.begin()));
        RC_ASSERT(!admission.Cancel(*waiting.begin()));
        waiting.erase(waiting.begin());
      } else {
        admission.Release(now, static_cast<uint32_t>(running));
        running = 0;
      }
      const uint64_t before = admission.running_tasks();
      for (const TicketEvent& decided : admission.Tick(now)) {
        const TicketId ticket =
            std::visit([](const auto& one) { return one.m_ticket; }, decided);
        RC_ASSERT(waiting.erase(ticket) == 1U);
      }
      running += admission.running_tasks() - before;
      RC_ASSERT(admission.running_tasks() == running);
      RC_ASSERT(running < 20 + kMaxTasks);
      RC_ASSERT(admission.queued_tasks() <= 200 + kMaxTasks);
    }
  });
}

// Guards against a refused job that consumes the client's quota.
TEST(AdmissionTest, RefusalTakesNothingFromTheQuota) {
  Admission admission({"entry", 100, 100}, kNow);
  admission.SetClients(kNow, {{"a", 1, 10, 1}});
  admission.OnJobEnded(std::chrono::seconds(64));
  const auto late = admission.Admit(kNow, "a", 10, kNow + Milliseconds(1));
  ASSERT_FALSE(late);
  EXPECT_EQ(RefusalOf(late), AdmissionRefusal::kDeadline);
  EXPECT_TRUE(admission.Admit(kNow, "a", 10, kFarDeadline));
  const auto over = admission.Admit(kNow, "a", 5, kFarDeadline);
  ASSERT_FALSE(over);
  EXPECT_EQ(RefusalOf(over), AdmissionRefusal::kQuota);
  EXPECT_EQ(over.error().m_retry_at, kNow + std::chrono::seconds(5));
  EXPECT_TRUE(admission.Admit(over.error().m_retry_at, "a", 5, kFarDeadline));
  EXPECT_EQ(RefusalOf(admission.Admit(kNow, "nobody", 1, kFarDeadline)),
            AdmissionRefusal::kUnknownClient);
}

// Guards against queueing a job that cannot meet its deadline. It must be
// refused at once, based on the measured service rate.
TEST(AdmissionTest, RefusesEarlyWhatTheMeasuredRateCannotServe) {
  Admission admission = MakeAdmission(10, 100000);
  (void)admission.Admit(kNow, "a", 10, kFarDeadline);
  (void)admission.Admit(kNow, "a", 1000, kFarDeadline);
  MonoTime now = kNow;
  for (int i = 0; i < 50; ++i) {
    now += Milliseconds(100);
    (void)admission.Admit(now, "a", 10, kFarDeadline);
    admission.Release(now, 10);
    admission.Tick(now);
  }
  EXPECT_NEAR(admission.service_rate(), 100, 20);
  const auto refused =
      admission.Admit(now, "a", 10, now + std::chrono::seconds(1));
  ASSERT_FALSE(refused);
  EXPECT_EQ(RefusalOf(refused), AdmissionRefusal::kDeadline);
  EXPECT_TRUE(admission.Admit(now, "a", 10, now + std::chrono::minutes(5)));
}

// Guards against queueing a job that no single target can run.
TEST(AdmissionTest, CanEverRunNeedsOneTargetWithEverything) {
  std::vector<PlacementTarget> targets(2);
  targets[0].m_memory_mb = 64000;
  targets[1].m_memory_mb = 1000;
  targets[1].m_accelerators = 1;
  PlacementRequest request;
  request.m_memory_mb = 32000;
  EXPECT_TRUE(CanEverRun(targets, request));
  request.m_needs_accelerator = true;
  EXPECT_FALSE(CanEverRun(targets, request));
  request.m_memory_mb = 500;
  EXPECT_TRUE(CanEverRun(targets, request));
  const std::vector<bool> allowed = {true, false};
  request.m_allowed = &allowed;
  EXPECT_FALSE(CanEverRun(targets, request));
}

// Guards against retries that multiply the load during a failure.
TEST(RetryBudgetTest, RetriesStayBelowATenthAndTheFloor) {
  rc::check([] {
    RetryBudget budget(kNow);
    MonoTime now = kNow;
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (int step = 0; step < 2000; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 20));
      if (*rc::gen::inRange(0, 2) > 0) {
        budget.OnRequest();
        ++requests;
      }
      retries += budget.TryRetry(now) ? 1 : 0;
      const auto seconds =
          std::chrono::duration_cast<std::chrono::seconds>(now - kNow).count();
      RC_ASSERT(retries <= requests / 10 + seconds + 1);
    }
    RC_ASSERT(retries >= requests / 10);
  });
}

}  // namespace
}  // namespace comfreyshift
