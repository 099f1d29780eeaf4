#include <gtest/gtest.h>

#include "store/store.h"
#include "tests/standins/store_standin.h"
#include "tests/store/wait.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

const std::string kZone = "/comfreyshift/inventory/zone/medina";

Edit ZoneEdit(int number, Revision expected, std::string value) {
  auto id = SubmissionKey::Make(WallTime(1s), 0, static_cast<uint64_t>(number));
  return {.m_id = id.ToString(),
          .m_actor = "operator",
          .m_time = WallTime(Milliseconds(1000 + number)),
          .m_description = "close",
          .m_changes = {{kZone, expected, std::move(value)}}};
}

class EditRunnerTest : public testing::Test {
 protected:
  EditRunnerTest() {
    EXPECT_TRUE(m_standin.Listen(0));
    m_client = StoreClient::Create({.m_url = m_standin.Url(),
                                    .m_attempt_timeout = 100ms,
                                    .m_backoff = {.m_first = 20ms}});
  }

  void Begin(const Edit& edit,
             Milliseconds time,
             std::optional<EditOutcome>& outcome,
             WriteCheck check = nullptr) {
    ASSERT_TRUE(RunEdit(
        m_client, edit, BootClock::now() + time, std::move(check),
        [&outcome](EditOutcome result) { outcome = std::move(result); }));
  }

  EditOutcome Finish(const Edit& edit,
                     Milliseconds time = 3000ms,
                     WriteCheck check = nullptr) {
    std::optional<EditOutcome> outcome;
    Begin(edit, time, outcome, std::move(check));
    return Wait(outcome);
  }

  static EditOutcome Wait(const std::optional<EditOutcome>& outcome) {
    while (!outcome) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return *outcome;
  }

  int64_t ZoneVersion() { return m_standin.state().keys().at(kZone).m_version; }

  StoreStandin m_standin;
  std::shared_ptr<StoreClient> m_client;
};

// Guards against two operators who both believe that their edit is in force.
TEST_F(EditRunnerTest, OneOfTwoRacingEditsWins) {
  std::optional<EditOutcome> one;
  std::optional<EditOutcome> other;
  Begin(ZoneEdit(1, 0, "a"), 3s, one);
  Begin(ZoneEdit(2, 0, "b"), 3s, other);
  bool one_applied = std::holds_alternative<EditApplied>(Wait(one));
  bool other_applied = std::holds_alternative<EditApplied>(Wait(other));
  EXPECT_NE(one_applied, other_applied);
  const EditOutcome& loser = one_applied ? *other : *one;
  EXPECT_EQ(std::get<EditConflict>(loser).m_current.at(0).m_value,
            one_applied ? "a" : "b");
  EXPECT_EQ(ZoneVersion(), 1);
}

// Guards against an edit that is reported lost, or made twice, when the store
// loses its answer.
TEST_F(EditRunnerTest, LostAnswerEndsApplied) {
  m_standin.LoseAnswers(1);
  auto applied = std::get<EditApplied>(Finish(ZoneEdit(1, 0, "a")));
  EXPECT_EQ(
      applied.m_revision,
      static_cast<Revision>(m_standin.state().keys().at(kZone).m_mod_revision));
  EXPECT_EQ(ZoneVersion(), 1);
}

// Guards against an edit that a short outage fails although time is left, and
// against calls in a tight loop meanwhile.
TEST_F(EditRunnerTest, RestartDuringEditIsSurvived) {
  m_standin.SetMode(StandinMode::kClosing);
  g_timeout_add(
      150,
      [](gpointer data) -> gboolean {
        auto* standin = static_cast<StoreStandin*>(data);
        standin->SetMode(StandinMode::kUp);
        standin->Restart();
        return G_SOURCE_REMOVE;
      },
      &m_standin);
  EXPECT_TRUE(std::holds_alternative<EditApplied>(Finish(ZoneEdit(1, 0, "a"))));
  EXPECT_LE(m_standin.Count("/v3/kv/txn"), 15u);
}

// Guards against repeated reads that take all tokens of the call budget, so
// that the write never gets one.
TEST_F(EditRunnerTest, WriteGetsItsTurnUnderScarceBudget) {
  m_client = StoreClient::Create(
      {.m_url = m_standin.Url(),
       .m_backoff = {.m_first = 20ms},
       .m_budget = {.m_calls_per_second = 5, .m_burst = 1}});
  EXPECT_TRUE(std::holds_alternative<EditApplied>(Finish(ZoneEdit(1, 0, "a"))));
}

// Guards against "unknown" for an edit that was never sent.
TEST_F(EditRunnerTest, OutageEndsNotApplied) {
  m_standin.SetMode(StandinMode::kHanging);
  auto outcome = Finish(ZoneEdit(1, 0, "a"), 300ms);
  EXPECT_TRUE(std::get<EditNotApplied>(outcome).m_unavailable);
}

// Guards against "not applied" for an edit whose answers all come too late.
TEST_F(EditRunnerTest, SlowStoreEndsUnknownAndTheSameIdTells) {
  Edit edit = ZoneEdit(1, 0, "a");
  auto outcome = Finish(edit, 500ms, [this]() -> std::optional<std::string> {
    m_standin.SetDelay(10s);
    return std::nullopt;
  });
  EXPECT_TRUE(std::holds_alternative<EditUnknown>(outcome));
  m_standin.SetDelay(0ms);
  EXPECT_TRUE(std::get<EditApplied>(Finish(edit)).m_earlier);
  EXPECT_EQ(ZoneVersion(), 1);
}

// Guards against a write without the contact to the witnesses that it needs.
TEST_F(EditRunnerTest, WriteCheckStopsTheWrite) {
  auto outcome =
      Finish(ZoneEdit(1, 0, "a"), 200ms,
             []() -> std::optional<std::string> { return "no quorum"; });
  EXPECT_NE(std::get<EditNotApplied>(outcome).m_reason.find("no quorum"),
            std::string::npos);
  EXPECT_TRUE(m_standin.state().keys().empty());
}

// Guards against an audit trail out of order, or pages that overlap or skip.
TEST_F(EditRunnerTest, AuditIsReadNewestFirstInPages) {
  Revision expected = 0;
  for (int i = 1; i <= 5; ++i) {
    auto outcome = Finish(ZoneEdit(i, expected, std::to_string(i)));
    expected = std::get<EditApplied>(outcome).m_revision;
  }
  std::vector<Milliseconds> times;
  AuditQuery query{.m_from = WallTime(1002ms), .m_limit = 3};
  do {
    auto page = Await<AuditPage>([&](StoreClient::Callback<AuditPage> done) {
      ReadAudit(*m_client, query, Within(2s), std::move(done));
    });
    for (const AuditRecord& record : page.assume_value().m_records) {
      times.push_back(record.m_time.time_since_epoch());
    }
    query.m_before_key = page.assume_value().m_next_before_key;
  } while (!query.m_before_key.empty());
  EXPECT_EQ(times, (std::vector<Milliseconds>{1005ms, 1004ms, 1003ms, 1002ms}));
}

}  // namespace
}  // namespace comfreyshift
