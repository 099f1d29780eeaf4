#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "http/http.h"
#include "platform/kv_client.h"
#include "tests/platform/platform_fleet.h"
#include "tests/standins/platform_store_standin.h"

namespace comfreyshift::platform {
namespace {

constexpr const char* kPrefix = "p/";

// A stand-in of the store and a mirror of its keys under kPrefix.
struct MirroredStore {
  MirroredStore() {
    HttpClientOptions options;
    options.m_base_url = "http://" + m_store.address().ToString();
    const auto client = std::make_shared<KvClient>(
        HttpClient::Make(options).value(), m_metrics);
    m_mirror = std::make_shared<KvMirror>(
        client, kPrefix, [this](const KvMirror::Items& items) {
          m_keys.clear();
          for (const auto& [key, item] : items) {
            m_keys.insert(key);
          }
          ++m_change_count;
        });
    m_mirror->Start();
  }

  PlatformStoreStandin m_store;
  NodeMetrics m_metrics;
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

}  // namespace
}  // namespace comfreyshift::platform
