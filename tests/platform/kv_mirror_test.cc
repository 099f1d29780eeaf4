#include <glib.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"
#include "platform/kv_client.h"
#include "platform/kv_mirror.h"
#include "tests/platform/platform_fleet.h"
#include "tests/standins/busy_loop.h"
#include "tests/standins/fault_proxy.h"
#include "tests/standins/platform_store_standin.h"

namespace comfreyshift::platform {
namespace {

constexpr const char* kPrefix = "p/";
// Within this time after its connections went silent a mirror has a change. It
// is longer than a watch and its answer may take, and shorter than two such
// waits in a row.
constexpr Milliseconds kFreshWithin{2600};

// A stand-in of the store and a mirror of its keys under kPrefix.
struct MirroredStore {
  MirroredStore() {
    m_mirror = std::make_shared<KvMirror>(
        m_client, kPrefix,
        [this](const KvMirror::Items& items, uint64_t, const ReadOrigin&) {
          m_keys.clear();
          for (const auto& [key, item] : items) {
            m_keys.insert(key);
          }
          ++m_change_count;
        });
    m_mirror->Start();
  }

  PlatformStoreStandin m_store;
  // Injects faults between the store and the client.
  FaultProxy m_proxy{m_store.address()};
  NodeMetrics m_metrics;
  std::shared_ptr<KvClient> m_client =
      std::make_shared<KvClient>("http://" + m_proxy.address().ToString(),
                                 m_metrics);
  std::shared_ptr<KvMirror> m_mirror;
  std::set<std::string> m_keys;
  size_t m_change_count = 0;
};

class KvMirrorTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(RunUntil([this]() { return m_mirrored.m_change_count > 0; }));
  }

  // Makes `change` while the store answers nobody, so that the next watch
  // returns all of it at once.
  template <class Change>
  void ChangeUnseen(Change change) {
    const size_t earlier_changes = m_mirrored.m_change_count;
    m_store.set_is_down(true);
    change();
    m_store.Put(std::string(kPrefix) + "last", "");
    m_store.set_is_down(false);
    ASSERT_TRUE(RunUntil(
        [&]() { return m_mirrored.m_change_count > earlier_changes; }));
  }

 private:
  // A mirror watches for as long as the main loop runs, so that it and all that
  // it refers to stay until the end of the program.
  static MirroredStore& AddStore() {
    static std::vector<std::unique_ptr<MirroredStore>> stores;
    return *stores.emplace_back(std::make_unique<MirroredStore>());
  }

 protected:
  MirroredStore& m_mirrored = AddStore();
  PlatformStoreStandin& m_store = m_mirrored.m_store;
  const std::set<std::string>& m_keys = m_mirrored.m_keys;
};

// Guards against a key that is lost because it was removed and written again
// between two answers: an evacuated zone would count as open, and an agent that
// restarted would not be listed any more.
TEST_F(KvMirrorTest, KeyWrittenAgainAfterItsRemovalIsKept) {
  m_store.Put("p/zone", "");
  ASSERT_TRUE(RunUntil([this]() { return m_keys.contains("p/zone"); }));
  ChangeUnseen([this]() {
    m_store.Remove("p/zone");
    m_store.Put("p/zone", "");
  });
  EXPECT_TRUE(m_keys.contains("p/zone"));
}

// Guards against a key that comes back because it was written and removed again
// between two answers.
TEST_F(KvMirrorTest, KeyRemovedAgainAfterItsWriteIsGone) {
  ChangeUnseen([this]() {
    m_store.Put("p/zone", "");
    m_store.Remove("p/zone");
    m_store.Put("p/zone", "");
    m_store.Remove("p/zone");
  });
  EXPECT_FALSE(m_keys.contains("p/zone"));
}

// Guards against a mirror that never catches up: the changes that it has missed
// are larger than an answer may be, while the items themselves are not.
TEST_F(KvMirrorTest, ChangesTooLargeForOneAnswerAreListed) {
  constexpr size_t kValueBytes = size_t{1} << 20;
  constexpr int kWrites = 13;
  ChangeUnseen([this]() {
    for (int i = 0; i < kWrites; ++i) {
      m_store.Put("p/large", std::string(kValueBytes, 'x'));
    }
  });
  EXPECT_TRUE(m_keys.contains("p/large"));
}

// Guards against any series of changes after which the copy differs from the
// store.
TEST_F(KvMirrorTest, CopyEqualsTheStoreAfterAnySeriesOfChanges) {
  constexpr int kRounds = 6;
  constexpr int kChanges = 40;
  constexpr uint32_t kKeys = 5;
  std::minstd_rand random(20261205);
  const auto key_of = [](uint32_t number) {
    return kPrefix + std::to_string(number);
  };
  for (int round = 0; round < kRounds; ++round) {
    ChangeUnseen([&]() {
      for (int i = 0; i < kChanges; ++i) {
        const std::string key = key_of(random() % kKeys);
        if (random() % 2 == 0) {
          m_store.Put(key, "");
        } else {
          m_store.Remove(key);
        }
      }
    });
    for (uint32_t number = 0; number < kKeys; ++number) {
      EXPECT_EQ(m_keys.contains(key_of(number)), m_store.Has(key_of(number)))
          << round << " " << number;
    }
  }
}

// The mirror reads through agents, which share the client `m_agent`.
class RelayedMirrorTest : public KvMirrorTest {
 protected:
  // How the agents that are asked for a read respond.
  enum class AgentFault : uint8_t { kNone, kOneIsCutOff, kAllAreCutOff };

  void SetUp() override {
    KvMirrorTest::SetUp();
    m_mirrored.m_client->SetRelay(
        [this](const std::string& request, MonoTime give_up_at,
               const StoreResponseFunction& on_response) {
          Forward(request, give_up_at, on_response);
          return kAgents;
        });
  }

  void TearDown() override {
    m_mirrored.m_client->SetRelay(nullptr);
    // Ends the mirror's requests that refer to the test.
    RunFor(Milliseconds(10));
  }

  // Whether the mirror has the item in time.
  bool IsFreshInTime(const std::string& key) {
    const MonoTime changed_at = BootClock::now();
    m_store.Put(key, "");
    return RunUntil([&]() {
             return m_keys.contains(key) ||
                    BootClock::now() >= changed_at + kFreshWithin;
           }) &&
           m_keys.contains(key);
  }

  static constexpr size_t kAgents = 2;
  AgentFault m_agent_fault = AgentFault::kNone;
  FaultProxy m_agent_proxy{m_store.address()};
  std::shared_ptr<KvClient> m_agent =
      std::make_shared<KvClient>("http://" + m_agent_proxy.address().ToString(),
                                 m_mirrored.m_metrics);

 private:
  void Forward(const std::string& request,
               MonoTime give_up_at,
               const StoreResponseFunction& on_response) {
    const auto cut_off = [&]() {
      CallAt(give_up_at, [on_response]() { on_response(std::nullopt); });
    };
    switch (m_agent_fault) {
      case AgentFault::kNone:
        m_agent->ForwardRead(request, give_up_at, on_response);
        m_agent->ForwardRead(request, give_up_at, on_response);
        return;
      case AgentFault::kOneIsCutOff:
        cut_off();
        m_agent->ForwardRead(request, give_up_at, on_response);
        return;
      case AgentFault::kAllAreCutOff:
        cut_off();
        cut_off();
        return;
    }
  }
};

// Guards against waits that follow one another: the client's own watch and a
// read through an agent that is cut off took 4.7 s together.
TEST_F(RelayedMirrorTest, ChangeIsSeenAfterOpenConnectionsWentSilent) {
  m_agent_fault = AgentFault::kAllAreCutOff;
  for (int round = 0; round < 3; ++round) {
    m_mirrored.m_proxy.SilenceOpenConnections();
    EXPECT_TRUE(IsFreshInTime("p/" + std::to_string(round))) << round;
    RunFor(Milliseconds(370));
  }
}

// Guards against a read that waits for the one agent that is cut off as well.
TEST_F(RelayedMirrorTest, ChangeIsSeenThroughTheSecondAgent) {
  m_agent_fault = AgentFault::kOneIsCutOff;
  m_mirrored.m_proxy.SetFault(LinkFault::kSilent);
  EXPECT_TRUE(IsFreshInTime("p/first"));
  EXPECT_TRUE(IsFreshInTime("p/second"));
  m_mirrored.m_proxy.SetFault(LinkFault::kNone);
}

// Guards against a configuration that stays old for as long as requests keep
// coming, because the read of it went silent and nothing looks at its deadline.
TEST_F(RelayedMirrorTest, SilentReadIsHedgedWhileTheLoopIsBusy) {
  m_agent_fault = AgentFault::kAllAreCutOff;
  const BusyLoop busy_loop;
  m_mirrored.m_proxy.SilenceOpenConnections();
  EXPECT_TRUE(IsFreshInTime("p/first"));
}

// Guards against a configuration that is late because reads of other items,
// which change all the time, use up the reads through agents.
TEST_F(RelayedMirrorTest, ReadsOfOtherItemsTakeNoRelayFromThisOne) {
  constexpr int kOtherReads = 4;
  m_mirrored.m_proxy.SetFault(LinkFault::kReset);
  int ended_reads = 0;
  for (int i = 0; i < kOtherReads; ++i) {
    m_mirrored.m_client->Get(
        "other/item",
        [&ended_reads](const Result<StoreItem, KvError>&) { ++ended_reads; });
  }
  ASSERT_TRUE(RunUntil([&]() { return ended_reads == kOtherReads; }));
  std::optional<bool> is_answered;
  m_mirrored.m_client->Range(
      "quiet/", "", [&is_answered](const Result<StoreItems, KvError>& items) {
        is_answered = items.has_value();
      });
  ASSERT_TRUE(RunUntil([&]() { return is_answered.has_value(); }));
  EXPECT_TRUE(*is_answered);
  m_mirrored.m_proxy.SetFault(LinkFault::kNone);
}

// Guards against relayed reads that an agent makes on a connection that went
// silent while it was idle.
TEST_F(RelayedMirrorTest, AgentReadsOnANewConnection) {
  const std::string request = "/api/kv-key?key=p/zone";
  m_store.Put("p/zone", "");
  bool is_read = false;
  m_agent->Get("p/zone",
               [&](const Result<StoreItem, KvError>&) { is_read = true; });
  ASSERT_TRUE(RunUntil([&]() { return is_read; }));
  m_agent_proxy.SilenceOpenConnections();
  std::optional<StoreResponse> response;
  bool has_ended = false;
  m_agent->ForwardRead(request, BootClock::now() + Milliseconds(1000),
                       [&](std::optional<StoreResponse> r) {
                         has_ended = true;
                         response = std::move(r);
                       });
  ASSERT_TRUE(RunUntil([&]() { return has_ended; }));
  EXPECT_TRUE(response);
}

// Guards against waiting for a watch on a silent connection although another
// process has announced a change.
TEST_F(RelayedMirrorTest, AnnouncedChangeIsReadAtOnce) {
  // Longer than the delay before such a read, and shorter than a watch.
  constexpr Milliseconds kReadWithin{700};
  // A new watch has just begun.
  m_store.Put("p/first", "");
  ASSERT_TRUE(RunUntil([this]() { return m_keys.contains("p/first"); }));
  RunFor(Milliseconds(50));
  m_mirrored.m_proxy.SilenceOpenConnections();
  m_store.Put("p/second", "");
  m_mirrored.m_mirror->OnNewerRevision(m_store.revision());
  const MonoTime read_by = BootClock::now() + kReadWithin;
  ASSERT_TRUE(RunUntil([&]() {
    return m_keys.contains("p/second") || BootClock::now() >= read_by;
  }));
  EXPECT_TRUE(m_keys.contains("p/second"));
}

// Guards against a configuration that stays old while changes follow one
// another faster than a slow process reads: each announcement ended the read of
// the one before.
TEST_F(RelayedMirrorTest, AnnouncementsDoNotEndTheReadInProgress) {
  constexpr Milliseconds kChangeInterval{40};
  // A read over a delayed connection takes half a second.
  constexpr Milliseconds kReadWithin{1500};
  m_agent_fault = AgentFault::kAllAreCutOff;
  m_mirrored.m_proxy.SetFault(LinkFault::kDelay);
  RunFor(Milliseconds(300));
  m_mirrored.m_proxy.SilenceOpenConnections();
  const MonoTime end = BootClock::now() + kReadWithin;
  int changes = 0;
  while (!m_keys.contains("p/0") && BootClock::now() < end) {
    m_store.Put("p/" + std::to_string(changes++), "");
    m_mirrored.m_mirror->OnNewerRevision(m_store.revision());
    RunFor(kChangeInterval);
  }
  EXPECT_TRUE(m_keys.contains("p/0")) << changes;
  m_mirrored.m_proxy.SetFault(LinkFault::kNone);
}

// Guards against further calls to the store for each change that is announced
// while the mirror sees it itself.
TEST_F(RelayedMirrorTest, AnnouncedChangeThatIsSeenCausesNoRead) {
  // The first watch has reached the store.
  RunFor(Milliseconds(50));
  const uint64_t calls = m_store.calls();
  m_store.Put("p/first", "");
  m_mirrored.m_mirror->OnNewerRevision(m_store.revision());
  RunFor(Milliseconds(300));
  EXPECT_TRUE(m_keys.contains("p/first"));
  // The watch that follows the change.
  EXPECT_LE(m_store.calls() - calls, 1U);
}

// Guards against hedged reads of a process that got no processor time while the
// response arrived.
TEST_F(RelayedMirrorTest, ResponseThatHasArrivedIsReadBeforeAHedge) {
  m_store.Put("p/zone", "");
  const auto client = std::make_shared<KvClient>(
      "http://" + m_store.address().ToString(), m_mirrored.m_metrics);
  size_t relayed = 0;
  client->SetRelay([&](const std::string&, MonoTime,
                       const StoreResponseFunction&) -> size_t {
    ++relayed;
    return 0;
  });
  bool is_read = false;
  client->Watch("p/", m_store.revision(), BootClock::now() + Milliseconds(400),
                [&](const Result<StoreChanges, KvError>&) { is_read = true; });
  RunFor(Milliseconds(200));
  m_store.Put("p/zone", "changed");
  // The watch is hedged 700 ms after it began.
  g_usleep(600'000);
  ASSERT_TRUE(RunUntil([&]() { return is_read; }));
  EXPECT_EQ(relayed, 0U);
}

// Guards against a store that is called more often than before while all is
// well: each call is paid for.
TEST_F(RelayedMirrorTest, NoReadIsHedgedWhileTheStoreAnswers) {
  const uint64_t calls = m_store.calls();
  RunFor(Milliseconds(3200));
  // A watch takes 1.5 s.
  EXPECT_LE(m_store.calls() - calls, 3U);
  EXPECT_EQ(m_mirrored.m_metrics.Render().find("store_reads_hedged_total"),
            std::string::npos);
}

}  // namespace
}  // namespace comfreyshift::platform
