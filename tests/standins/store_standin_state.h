#ifndef TESTS_STANDINS_STORE_STANDIN_STATE_H_
#define TESTS_STANDINS_STORE_STANDIN_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// An HTTP answer of the stand-in.
struct StandinAnswer {
  int m_status = 200;
  nlohmann::json m_body;
};

struct StandinKey {
  std::string m_value;
  int64_t m_create_revision = 0;
  int64_t m_mod_revision = 0;
  int64_t m_version = 0;
  int64_t m_lease = 0;
};

struct StandinEvent {
  std::string m_key;
  bool m_deleted = false;
  StandinKey m_content;
};

struct StandinLease {
  std::chrono::seconds m_ttl{0};
  MonoTime m_expiry;
};

// The data of the store stand-in: the subset of the etcd v3 JSON gateway that
// the store library uses, in memory. Ranges always read the latest revision.
class StandinState {
 public:
  StandinAnswer Range(const nlohmann::json& request) const;
  StandinAnswer Put(const nlohmann::json& request);
  StandinAnswer Txn(const nlohmann::json& request);
  StandinAnswer LeaseGrant(const nlohmann::json& request, MonoTime now);
  StandinAnswer LeaseKeepAlive(const nlohmann::json& request, MonoTime now);
  StandinAnswer LeaseRevoke(const nlohmann::json& request);

  // Deletes the keys of all leases whose time has passed.
  void ExpireLeases(MonoTime now);
  void LapseAllLeases();

  // All changes so far, oldest first.
  const std::vector<StandinEvent>& events() const { return m_events; }
  int64_t revision() const { return m_revision; }
  const std::map<std::string, StandinKey>& keys() const { return m_keys; }

  // The `header` member of every answer.
  nlohmann::json Header() const;

 private:
  // Writes take the revision they belong to; a transaction has one for all.
  void PutAt(int64_t revision, const nlohmann::json& request);
  int64_t DeleteAt(int64_t revision,
                   const std::string& key,
                   const std::string& range_end);
  void EraseKey(int64_t revision, const std::string& key);
  void DropLease(int64_t lease);
  bool Compare(const nlohmann::json& compare) const;
  // Returns an error answer, or one with status 200.
  StandinAnswer CheckOperations(const nlohmann::json& operations) const;
  nlohmann::json Run(int64_t revision, const nlohmann::json& operation);

  int64_t m_revision = 1;
  std::map<std::string, StandinKey> m_keys;
  std::map<int64_t, StandinLease> m_leases;
  int64_t m_last_lease = 7000;
  std::vector<StandinEvent> m_events;
};

// Reads one base64 member; an absent one is empty.
std::string StandinBytes(const nlohmann::json& json, const char* name);
// Reads one integer member, given as a number or as a string.
int64_t StandinInteger(const nlohmann::json& json, const char* name);
// Tells whether `key` is in the range, with the protocol's meaning of an empty
// end (one key) and of an end of one zero byte (all keys from `key` on).
bool StandinInRange(const std::string& key,
                    const std::string& begin,
                    const std::string& end);
nlohmann::json StandinEventJson(const StandinEvent& event);

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_STORE_STANDIN_STATE_H_
