#include "fleet/store_relay.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};

class StoreRelayTest : public testing::Test {
 protected:
  RelayRead CreateRead(const std::string& agent) {
    return m_relay.CreateRead(
        agent, "/key", kNow + Milliseconds(500),
        [this](const std::optional<StoreResponse>& response) {
          ++m_calls;
          m_last_response = response;
        });
  }

  StoreRelay m_relay;
  int m_calls = 0;
  std::optional<StoreResponse> m_last_response;
};

// Guards against calling a callback more than once.
TEST_F(StoreRelayTest, PassesOnOnlyTheFirstResponse) {
  const RelayRead read = CreateRead("agent");
  m_relay.OnRelayAnswer({read.m_id, true, 200, "body"});
  m_relay.OnRelayAnswer({read.m_id, true, 404, ""});
  m_relay.Expire(kNow + Milliseconds(600));
  EXPECT_EQ(m_calls, 1);
  ASSERT_TRUE(m_last_response);
  EXPECT_EQ(m_last_response->m_body, "body");
}

// Guards against reads that never end: their caller would stop following the
// store.
TEST_F(StoreRelayTest, FailsAtTheDeadline) {
  CreateRead("agent");
  m_relay.Expire(kNow + Milliseconds(499));
  EXPECT_EQ(m_calls, 0);
  EXPECT_EQ(m_relay.NextDeadline(), kNow + Milliseconds(500));
  m_relay.Expire(kNow + Milliseconds(500));
  EXPECT_EQ(m_calls, 1);
  EXPECT_FALSE(m_last_response);
}

// Guards against waiting until the deadline for an agent that has disconnected,
// and against failing the reads of other agents.
TEST_F(StoreRelayTest, FailsWhenItsAgentDisconnects) {
  CreateRead("agent-1");
  CreateRead("agent-2");
  m_relay.OnAgentLost("agent-1");
  EXPECT_EQ(m_calls, 1);
  EXPECT_FALSE(m_last_response);
}

// Guards against taking the failure of the agent's read for a response.
TEST_F(StoreRelayTest, FailsWhenTheStoreDoesNotRespondToTheAgent) {
  m_relay.OnRelayAnswer({CreateRead("agent").m_id, false, 0, ""});
  EXPECT_EQ(m_calls, 1);
  EXPECT_FALSE(m_last_response);
}

// Guards against asking the same agents again that are cut off from the store
// themselves.
TEST_F(StoreRelayTest, RemembersAgentsThatGotNoResponse) {
  const RelayRead rejected = CreateRead("agent-1");
  m_relay.OnRelayAnswer({rejected.m_id, false, 0, ""});
  CreateRead("agent-2");
  m_relay.Expire(kNow + Milliseconds(500));
  EXPECT_TRUE(m_relay.HasFailed("agent-1"));
  EXPECT_TRUE(m_relay.HasFailed("agent-2"));
  EXPECT_FALSE(m_relay.HasFailed("agent-3"));
  m_relay.OnRelayAnswer({CreateRead("agent-1").m_id, true, 200, "body"});
  EXPECT_FALSE(m_relay.HasFailed("agent-1"));
}

}  // namespace
}  // namespace comfreyshift
