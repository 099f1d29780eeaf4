#ifndef REVIEW_STANDINS_3_STORE_HPP_
#define REVIEW_STANDINS_3_STORE_HPP_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.hpp"

namespace review {

// The platform's metadata store, as PROTOCOL.md describes it.
class Store {
 public:
  explicit Store(const Endpoint& address);
  ~Store();

  // The operator writes and removes keys.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  size_t CountKeys(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string key;
    bool removed = false;
    Item item;
  };

  std::optional<Response> Handle(const Request& request);
  Response Range(const Request& request);
  Response Watch(const Request& request);
  Response Transact(const Request& request);
  // These need m_mutex.
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(uint64_t lease);
  void ExpireLeases();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at_ms = 0;
  };
  std::map<uint64_t, Lease> m_leases;
  uint64_t m_next_lease = 1;
  uint64_t m_revision = 100;
  bool m_stopping = false;
  std::unique_ptr<Server> m_server;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_STORE_HPP_
