#ifndef TESTS_STANDINS_PLATFORM_STORE_STANDIN_H_
#define TESTS_STANDINS_PLATFORM_STORE_STANDIN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/http.h"

namespace comfreyshift {

// A stand-in of the users' platform's key-value store, as their protocol
// describes it: items with revisions, ranges, watches, transactions and leases.
// It runs on the main loop of the test.
class PlatformStoreStandin {
 public:
  PlatformStoreStandin();
  ~PlatformStoreStandin() { *m_is_alive = false; }
  PlatformStoreStandin(const PlatformStoreStandin&) = delete;
  PlatformStoreStandin& operator=(const PlatformStoreStandin&) = delete;

  const Address& address() const { return m_address; }

  // The operator writes and removes keys.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Every call is answered with 503 while it is down.
  void set_is_down(bool is_down) { m_is_down = is_down; }
  // Watches from before now are told that their history is gone.
  void Compact();
  // Watches from before now are answered with text that is not JSON.
  void SpoilHistory();
  // All leases end; their items go.
  void EndLeases();
  // Processes' writes go through `rewrite`, which gets the key and the value.
  using RewriteFunction =
      std::function<std::string(const std::string& key, std::string value)>;
  void RewriteValues(RewriteFunction rewrite) {
    m_rewrite = std::move(rewrite);
  }

  // Processes' transactions wait until ReleaseTransactions.
  void HoldTransactions() { m_holds_transactions = true; }
  // Carries out the transactions that wait; later ones do not wait.
  void ReleaseTransactions();

  // Value of an item; empty if there is none.
  std::string Value(const std::string& key) const;
  bool Has(const std::string& key) const { return m_items.contains(key); }
  uint64_t calls() const { return m_calls; }
  uint64_t revision() const { return m_revision; }

 private:
  using RequestPointer = std::shared_ptr<HttpRequest>;

  struct Item {
    std::string m_value;
    uint64_t m_revision = 0;
    uint64_t m_lease = 0;
  };
  struct Event {
    std::string m_key;
    uint64_t m_revision = 0;
    bool m_is_removal = false;
  };
  struct Watch {
    RequestPointer m_request;
    std::string m_prefix;
    uint64_t m_after = 0;
    uint64_t m_id = 0;
  };

  void Route(const char* method,
             const char* path,
             void (PlatformStoreStandin::*handler)(const RequestPointer&));
  void HandleKey(const RequestPointer& request);
  void HandleRange(const RequestPointer& request);
  void HandleWatch(const RequestPointer& request);
  void HandleTransaction(const RequestPointer& request);
  void Execute(const RequestPointer& request);
  void HandleLease(const RequestPointer& request);
  void HandleKeep(const RequestPointer& request);
  void HandleLeaseEnd(const RequestPointer& request);
  std::string ItemJson(const std::string& key, const Item& item) const;
  std::string EventsAfter(const std::string& prefix, uint64_t revision) const;
  void AnswerWatch(const Watch& watch);
  void WakeWatches();

  HttpServer m_server;
  Address m_address;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  std::vector<Watch> m_watches;
  uint64_t m_revision = 100;
  uint64_t m_compacted = 0;
  uint64_t m_spoiled = 0;
  uint64_t m_next_id = 1;
  std::map<uint64_t, bool> m_leases;
  bool m_is_down = false;
  bool m_holds_transactions = false;
  std::vector<RequestPointer> m_held_transactions;
  RewriteFunction m_rewrite;
  // Cleared on destruction, for timers that are still due.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
  uint64_t m_calls = 0;
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_PLATFORM_STORE_STANDIN_H_
