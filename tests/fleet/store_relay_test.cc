#include "fleet/store_relay.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};

class StoreRelayTest : public testing::Test {
 protected:
  RelayRead Ask(const std::string& agent) {
    return m_relay.Ask(agent, "/key", kNow + Milliseconds(500),
                       [this](const std::optional<StoreAnswer>& answer) {
                         ++m_calls;
                         m_answer = answer;
                       });
  }

  StoreRelay m_relay;
  int m_calls = 0;
  std::optional<StoreAnswer> m_answer;
};

TEST_F(StoreRelayTest, HandsOnTheAnswerOnce) {
  const RelayRead read = Ask("agent");
  m_relay.OnAnswer({read.m_id, true, 200, "body"});
  m_relay.OnAnswer({read.m_id, true, 404, ""});
  m_relay.Expire(kNow + Milliseconds(600));
  EXPECT_EQ(m_calls, 1);
  ASSERT_TRUE(m_answer);
  EXPECT_EQ(m_answer->m_body, "body");
}

// A reader that is never called again would stop following the store.
TEST_F(StoreRelayTest, EndsWithoutAnAnswer) {
  Ask("agent");
  m_relay.Expire(kNow + Milliseconds(499));
  EXPECT_EQ(m_calls, 0);
  EXPECT_EQ(m_relay.NextDeadline(), kNow + Milliseconds(500));
  m_relay.Expire(kNow + Milliseconds(500));
  EXPECT_EQ(m_calls, 1);
  EXPECT_FALSE(m_answer);
}

TEST_F(StoreRelayTest, EndsWhenItsAgentIsLost) {
  Ask("agent-1");
  Ask("agent-2");
  m_relay.OnAgentLost("agent-1");
  EXPECT_EQ(m_calls, 1);
  EXPECT_FALSE(m_answer);
}

TEST_F(StoreRelayTest, ToldThatTheStoreDidNotAnswerTheAgentEither) {
  m_relay.OnAnswer({Ask("agent").m_id, false, 0, ""});
  EXPECT_EQ(m_calls, 1);
  EXPECT_FALSE(m_answer);
}

}  // namespace
}  // namespace comfreyshift
