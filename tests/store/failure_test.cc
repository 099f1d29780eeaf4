#include <gtest/gtest.h>

#include "store/store.h"
#include "tests/standins/store_standin.h"
#include "tests/store/wait.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

class FailureTest : public testing::Test {
 protected:
  FailureTest() {
    EXPECT_TRUE(m_standin.Listen(0));
    m_client = StoreClient::Create({.m_url = m_standin.Url(),
                                    .m_attempt_timeout = 100ms,
                                    .m_backoff = {.m_first = 20ms}});
  }

  StoreError PutError(Milliseconds time = 2000ms) {
    return AwaitPut(*m_client, m_put, Within(time)).assume_error();
  }

  Result<RangeReply, StoreError> RepeatedRange(Milliseconds time) {
    CallOptions options = Within(time);
    options.m_repeat = true;
    return AwaitRange(*m_client, {.m_key = "/a"}, options);
  }

  const PutRequest m_put{.m_key = "/a", .m_value = "1"};
  StoreStandin m_standin;
  std::shared_ptr<StoreClient> m_client;
};

// Guards against a lost answer taken for a failed write, and against libsoup
// sending a write again on a broken connection.
TEST_F(FailureTest, AnswerLostAfterWriteMayBeWritten) {
  ASSERT_TRUE(AwaitPut(*m_client, m_put, Within(2s)));
  m_standin.LoseAnswers(1);
  StoreError error = PutError();
  EXPECT_EQ(error.m_effect, StoreEffect::kMayBeWritten);
  EXPECT_EQ(error.m_code, StoreErrorCode::kConnection);
  EXPECT_EQ(m_standin.state().keys().at("/a").m_version, 2);
}

// Guards against a write that is repeated although an earlier attempt may have
// taken effect.
TEST_F(FailureTest, RepeatOptionLeavesUnknownWritesAlone) {
  m_standin.LoseAnswers(1);
  CallOptions options = Within(2s);
  options.m_repeat = true;
  auto result = AwaitPut(*m_client, m_put, options);
  EXPECT_EQ(result.assume_error().m_effect, StoreEffect::kMayBeWritten);
  EXPECT_EQ(m_standin.Count("/v3/kv/put"), 1u);
}

// Guards against a call that outlives its deadline, or a slow write reported
// as not written.
TEST_F(FailureTest, SlowAnswerTimesOutAtDeadline) {
  m_standin.SetDelay(5s);
  MonoTime start = BootClock::now();
  StoreError error = PutError(50ms);
  EXPECT_EQ(error.m_code, StoreErrorCode::kTimeout);
  EXPECT_EQ(error.m_effect, StoreEffect::kMayBeWritten);
  EXPECT_LT(BootClock::now() - start, 1s);
  EXPECT_GE(BootClock::now() - start, 50ms);
}

// Guards against "may have been written" for a transaction without writes.
TEST_F(FailureTest, LostReadTransactionIsUnavailable) {
  m_standin.SetDelay(5s);
  TxnRequest read{.m_success = {RangeRequest{.m_key = "/a"}}};
  auto result = AwaitTxn(*m_client, read, Within(50ms));
  EXPECT_EQ(result.assume_error().m_effect, StoreEffect::kUnavailable);
}

// Guards against "may have been written" where the store was never reached:
// it would make an operator wait for nothing.
TEST_F(FailureTest, RefusedConnectionIsUnavailable) {
  auto client = StoreClient::Create({.m_url = "http://127.0.0.1:1"});
  auto result = AwaitPut(*client, m_put, Within(2s));
  EXPECT_EQ(result.assume_error().m_code, StoreErrorCode::kConnection);
  EXPECT_EQ(result.assume_error().m_effect, StoreEffect::kUnavailable);
}

// Guards against a 503 that says nothing was proposed being taken for one that
// leaves the outcome open.
TEST_F(FailureTest, StoreWithoutLeaderIsUnavailable) {
  m_standin.SetMode(StandinMode::kRefusing);
  StoreError error = PutError();
  EXPECT_EQ(error.m_effect, StoreEffect::kUnavailable);
  EXPECT_EQ(error.m_http_status, 503);
  EXPECT_NE(error.m_message.find("no leader"), std::string::npos);
}

// Guards against a request that the store rejects being sent again and again.
TEST_F(FailureTest, RejectedRequestIsNotWrittenNorRepeated) {
  TxnRequest twice{.m_success = {m_put, m_put}};
  CallOptions options = Within(2s);
  options.m_repeat = true;
  auto result = AwaitTxn(*m_client, twice, options);
  EXPECT_EQ(result.assume_error().m_effect, StoreEffect::kNotWritten);
  EXPECT_EQ(result.assume_error().m_http_status, 400);
  EXPECT_EQ(m_standin.Count("/v3/kv/txn"), 1u);
}

// Guards against a read that gives up while its deadline leaves time, and
// against one attempt that waits for the whole deadline on a hung store.
TEST_F(FailureTest, RepeatedReadSurvivesOutage) {
  ASSERT_TRUE(AwaitPut(*m_client, m_put, Within(2s)));
  m_standin.SetMode(StandinMode::kHanging);
  g_timeout_add(
      250,
      [](gpointer data) -> gboolean {
        static_cast<StoreStandin*>(data)->SetMode(StandinMode::kUp);
        return G_SOURCE_REMOVE;
      },
      &m_standin);
  auto result = RepeatedRange(5s);
  ASSERT_TRUE(result);
  EXPECT_EQ(result.assume_value().m_key_values.at(0).m_value, "1");
  EXPECT_GE(m_client->counts().m_repeated, 2u);
}

// Guards against a client that keeps broken connections after the store has
// come back.
TEST_F(FailureTest, RestartedStoreServesAgainWithItsData) {
  ASSERT_TRUE(AwaitPut(*m_client, m_put, Within(2s)));
  ASSERT_TRUE(m_standin.Restart());
  auto result = RepeatedRange(2s);
  ASSERT_TRUE(result);
  EXPECT_EQ(result.assume_value().m_key_values.size(), 1u);
}

// Guards against a process that spends more of the store's rate than its
// share, and against calls that wait for tokens instead of failing.
TEST_F(FailureTest, CallsOverBudgetFailAtOnceAndAreNotSent) {
  auto client = StoreClient::Create(
      {.m_url = m_standin.Url(),
       .m_budget = {.m_calls_per_second = 0.1, .m_burst = 2}});
  ASSERT_TRUE(AwaitPut(*client, m_put, Within(2s)));
  ASSERT_TRUE(AwaitPut(*client, m_put, Within(2s)));
  MonoTime start = BootClock::now();
  auto result = AwaitPut(*client, m_put, Within(5s));
  EXPECT_EQ(result.assume_error().m_code, StoreErrorCode::kBudgetSpent);
  EXPECT_EQ(result.assume_error().m_effect, StoreEffect::kUnavailable);
  EXPECT_LT(BootClock::now() - start, 1s);
  EXPECT_EQ(m_standin.Count("/v3/kv/put"), 2u);
  EXPECT_EQ(client->counts().m_over_budget, 1u);
}

// Guards against a contact key that stays after its process is gone, and
// against a keep-alive that hides the loss of the lease.
TEST_F(FailureTest, LapsedLeaseTakesItsKeysAndIsReported) {
  auto lease =
      Await<LeaseReply>([&](StoreClient::Callback<LeaseReply> callback) {
        m_client->LeaseGrant(30s, Within(2s), std::move(callback));
      });
  PutRequest put = m_put;
  put.m_lease = lease.assume_value().m_lease;
  ASSERT_TRUE(AwaitPut(*m_client, put, Within(2s)));
  auto keep_alive = [&](StoreClient::Callback<LeaseReply> callback) {
    m_client->LeaseKeepAlive(put.m_lease, Within(2s), std::move(callback));
  };
  EXPECT_EQ(Await<LeaseReply>(keep_alive).assume_value().m_ttl, 30s);
  m_standin.LapseAllLeases();
  EXPECT_EQ(Await<LeaseReply>(keep_alive).assume_value().m_ttl, 0s);
  EXPECT_TRUE(m_standin.state().keys().empty());
}

// Guards against a watch that stays silent when its connection is gone.
TEST_F(FailureTest, RestartEndsWatchWithAnError) {
  bool created = false;
  std::optional<StoreError> ended;
  auto watch = m_client->Watch({.m_key = "/a"},
                               [&](Result<WatchReply, StoreError> reply) {
                                 created = true;
                                 if (!reply) {
                                   ended = reply.assume_error();
                                 }
                               });
  while (!created) {
    g_main_context_iteration(nullptr, TRUE);
  }
  ASSERT_TRUE(m_standin.Restart());
  while (!ended) {
    g_main_context_iteration(nullptr, TRUE);
  }
  EXPECT_EQ(ended->m_code, StoreErrorCode::kConnection);
}

}  // namespace
}  // namespace comfreyshift
