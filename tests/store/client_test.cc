#include "store/store.h"

#include <gtest/gtest.h>

#include "tests/standins/store_standin.h"
#include "tests/store/wait.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

class ClientTest : public testing::Test {
 protected:
  ClientTest() {
    EXPECT_TRUE(m_standin.Listen(0));
    m_client = StoreClient::Create({.m_url = m_standin.Url()});
  }

  Result<PutReply, StoreError> Put(const std::string& key,
                                   const std::string& value) {
    return AwaitPut(*m_client, {.m_key = key, .m_value = value}, Within(2s));
  }

  Result<RangeReply, StoreError> Range(const RangeRequest& request) {
    return AwaitRange(*m_client, request, Within(2s));
  }

  Result<TxnReply, StoreError> Txn(const TxnRequest& request) {
    return AwaitTxn(*m_client, request, Within(2s));
  }

  StoreStandin m_standin;
  std::shared_ptr<StoreClient> m_client;
};

// Guards against keys or values changed on their way through base64 and JSON.
TEST_F(ClientTest, ReadsBackBinaryValuesInKeyOrder) {
  std::string binary("\0\xFF\n\"", 4);
  auto second = Put("/p/b", binary);
  ASSERT_TRUE(second);
  ASSERT_TRUE(Put("/p/a", ""));
  ASSERT_TRUE(Put("/q", "outside"));
  auto reply =
      Range({.m_key = "/p/", .m_range_end = PrefixEnd("/p/")}).assume_value();
  ASSERT_EQ(reply.m_key_values.size(), 2u);
  EXPECT_EQ(reply.m_key_values[0].m_key, "/p/a");
  EXPECT_EQ(reply.m_key_values[1].m_value, binary);
  EXPECT_EQ(reply.m_key_values[1].m_mod_revision,
            second.assume_value().m_revision);
}

// Guards against a transaction that writes although a comparison fails, or
// that gives its writes different revisions.
TEST_F(ClientTest, TransactionIsAtomic) {
  Revision first = Put("/a", "1").assume_value().m_revision;
  TxnRequest txn;
  txn.m_compares = {{.m_key = "/a", .m_target = CompareModRevision{first}},
                    {.m_key = "/b", .m_target = CompareVersion{0}}};
  txn.m_success = {PutRequest{.m_key = "/a", .m_value = "2"},
                   PutRequest{.m_key = "/b", .m_value = "2"}};
  txn.m_failure = {RangeRequest{.m_key = "/a"}};
  EXPECT_TRUE(Txn(txn).assume_value().m_succeeded);
  auto again = Txn(txn).assume_value();
  EXPECT_FALSE(again.m_succeeded);
  auto current = std::get<RangeReply>(again.m_replies.at(0)).m_key_values.at(0);
  EXPECT_EQ(current.m_value, "2");
  EXPECT_EQ(current.m_mod_revision, first + 1);
  EXPECT_EQ(
      Range({.m_key = "/b"}).assume_value().m_key_values[0].m_mod_revision,
      first + 1);
}

// Guards against a watch that misses changes made before it was set up, or
// that reports after it was stopped.
TEST_F(ClientTest, WatchReportsFromStartRevision) {
  Revision first = Put("/w/a", "1").assume_value().m_revision;
  std::vector<std::string> seen;
  auto watch = m_client->Watch(
      {.m_key = "/w/", .m_range_end = "/w0", .m_start_revision = first},
      [&seen](Result<WatchReply, StoreError> reply) {
        ASSERT_TRUE(reply);
        for (const WatchEvent& event : reply.assume_value().m_events) {
          seen.push_back(event.m_key_value.m_value);
        }
      });
  ASSERT_TRUE(Put("/w/b", "2"));
  while (seen.size() < 2) {
    g_main_context_iteration(nullptr, TRUE);
  }
  watch.reset();
  ASSERT_TRUE(Put("/w/c", "3"));
  EXPECT_EQ(seen, (std::vector<std::string>{"1", "2"}));
}

}  // namespace
}  // namespace comfreyshift
