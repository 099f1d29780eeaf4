#include "net/client_budget.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;
using State = ClientBudget::State;

constexpr MonoTime kStart{1h};

class ClientBudgetTest : public testing::Test {
 protected:
  ClientBudget::Id Open(const std::string& address,
                        MonoTime now = kStart,
                        bool is_reserved = false) {
    const size_t index = m_ids.size();
    const auto id = m_budget.Open(
        address, is_reserved, now,
        [this, index](ClientLimit) { m_closed.push_back(m_ids[index]); });
    m_ids.push_back(id);
    return id;
  }

  ClientBudget m_budget{{.m_max_bytes = 1000, .m_max_connections = 4}};
  std::vector<ClientBudget::Id> m_ids;
  std::vector<ClientBudget::Id> m_closed;
};

using Ids = std::vector<ClientBudget::Id>;

TEST_F(ClientBudgetTest, CountsWhatConnectionsHold) {
  const auto first = Open("a");
  const auto second = Open("b");
  m_budget.Hold(first, 300, kStart);
  m_budget.Hold(second, 200, kStart);
  m_budget.Hold(first, 100, kStart);
  EXPECT_EQ(m_budget.bytes(), 300U);
  EXPECT_EQ(m_budget.peak_bytes(), 500U);
  m_budget.Close(first);
  m_budget.Close(first);
  EXPECT_EQ(m_budget.bytes(), 200U);
  EXPECT_EQ(m_budget.connections(), 1U);
  EXPECT_EQ(m_closed, Ids{});
}

// A client that stops halfway must go before one that sends quickly.
TEST_F(ClientBudgetTest, ClosesThoseThatProgressLeast) {
  const auto stalled = Open("a");
  const auto fast = Open("a");
  m_budget.SetState(stalled, State::kTransferring, kStart);
  m_budget.Hold(stalled, 400, kStart);
  m_budget.SetState(fast, State::kTransferring, kStart + 2s);
  m_budget.Hold(fast, 500, kStart + 2s);
  m_budget.SetProgress(fast, kStart + 3s);
  m_budget.Hold(fast, 700, kStart + 3s);
  EXPECT_EQ(m_closed, Ids{stalled});
  EXPECT_EQ(m_budget.bytes(), 700U);
  EXPECT_EQ(m_budget.count(ClientLimit::kMemory), 1U);
}

// Otherwise a client with many connections would displace all the others.
TEST_F(ClientBudgetTest, CountsConnectionsOfAnAddressAsOne) {
  const auto first = Open("crowd");
  const auto second = Open("crowd");
  const auto large = Open("single");
  for (const auto id : {first, second, large}) {
    m_budget.SetState(id, State::kTransferring, kStart);
  }
  m_budget.Hold(large, 400, kStart);
  m_budget.Hold(first, 300, kStart + 1s);
  m_budget.Hold(second, 301, kStart + 1s);
  EXPECT_EQ(m_closed, Ids{second});
}

// A job that was accepted must run.
TEST_F(ClientBudgetTest, NeverClosesRunningRequests) {
  const auto running = Open("a");
  m_budget.SetState(running, State::kRunning, kStart);
  m_budget.Hold(running, 2000, kStart);
  EXPECT_FALSE(m_budget.has_room());
  const auto other = Open("b");
  m_budget.SetState(other, State::kTransferring, kStart + 1s);
  m_budget.Hold(other, 10, kStart + 1s);
  EXPECT_EQ(m_closed, Ids{other});
  m_budget.Close(running);
  EXPECT_TRUE(m_budget.has_room());
}

// Victims are not looked for with each further byte.
TEST_F(ClientBudgetTest, FreesSomewhatMoreThanNeeded) {
  const auto first = Open("a");
  const auto second = Open("a");
  m_budget.Hold(first, 60, kStart);
  m_budget.Hold(second, 950, kStart + 1s);
  EXPECT_EQ(m_closed, Ids{second});
  EXPECT_LE(m_budget.bytes(), 900U);
}

TEST_F(ClientBudgetTest, ClosesTheLongestIdleOfTheLargestAddress) {
  const auto other = Open("b", kStart - 1s);
  const auto busy = Open("a", kStart);
  m_budget.SetState(busy, State::kRunning, kStart);
  const auto older = Open("a", kStart + 1s);
  const auto newer = Open("a", kStart + 2s);
  const auto added = Open("c", kStart + 3s);
  EXPECT_NE(added, 0U);
  EXPECT_EQ(m_closed, Ids{older});
  EXPECT_EQ(m_budget.connections(), 4U);
  EXPECT_NE(other, 0U);
  EXPECT_NE(newer, 0U);
}

// A crowd that has begun requests without finishing them must not lock out
// others until its deadlines.
TEST_F(ClientBudgetTest, ClosesStalledConnectionsWhenNoneIsIdle) {
  for (int i = 0; i < 4; ++i) {
    m_budget.SetState(Open("a"), State::kTransferring, kStart);
  }
  EXPECT_EQ(Open("b", kStart + kConnectionGrace - 1ms), 0U);
  EXPECT_EQ(m_closed, Ids{});
  EXPECT_NE(Open("b", kStart + kConnectionGrace), 0U);
  EXPECT_EQ(m_closed, Ids{m_ids[0]});
}

TEST_F(ClientBudgetTest, RefusesConnectionsWhileAllAreRunning) {
  for (int i = 0; i < 4; ++i) {
    m_budget.SetState(Open("a"), State::kRunning, kStart);
  }
  EXPECT_EQ(Open("b", kStart + 1h), 0U);
  EXPECT_EQ(m_budget.count(ClientLimit::kConnections), 1U);
  // Readiness checks are answered all the same.
  EXPECT_NE(Open("c", kStart + 1h, /*is_reserved=*/true), 0U);
}

// A connection may be closed by its own bytes, and the close function may
// report back.
TEST_F(ClientBudgetTest, AllowsCallsFromTheCloseFunction) {
  ClientBudget::Id id = 0;
  int closed = 0;
  id = m_budget.Open("a", false, kStart, [&](ClientLimit limit) {
    EXPECT_EQ(limit, ClientLimit::kMemory);
    m_budget.Hold(id, 5000, kStart);
    m_budget.Close(id);
    ++closed;
  });
  m_budget.Hold(id, 1001, kStart);
  EXPECT_EQ(closed, 1);
  EXPECT_EQ(m_budget.bytes(), 0U);
}

// The machines of the platform have 120 to 512 MB and 3,075 to 10,250
// descriptors, 200 of them for files.
TEST(ClientLimitsTest, LeavesRoomForTheProcess) {
  const ClientBudgetLimits smallest = DeriveClientLimits(120, 3075);
  EXPECT_EQ(smallest.m_max_bytes, size_t{30} << 20);
  EXPECT_EQ(smallest.m_max_connections, 2475U);
  const ClientBudgetLimits lowered = DeriveClientLimits(64, 256);
  EXPECT_EQ(lowered.m_max_bytes, size_t{16} << 20);
  EXPECT_EQ(lowered.m_max_connections, 128U);
}

}  // namespace
}  // namespace comfreyshift
