#ifndef TESTS_CONFIG_FAKE_STORE_H_
#define TESTS_CONFIG_FAKE_STORE_H_

#include <map>
#include <string>

#include "config/config.h"

namespace comfreyshift {

// A store at the interface of plain calls: transactions of mod revision and
// version comparisons, puts and ranges of one key or of a prefix.
class FakeStore {
 public:
  TxnReply Txn(const TxnRequest& request);
  RangeReply Range(const RangeRequest& request) const;

  // All writes in their order.
  const std::vector<KeyValue>& history() const { return m_history; }
  const std::map<std::string, KeyValue>& keys() const { return m_keys; }

 private:
  bool Holds(const TxnCompare& compare) const;
  void Put(const PutRequest& put, Revision revision);

  Revision m_revision = 1;
  std::map<std::string, KeyValue> m_keys;
  std::vector<KeyValue> m_history;
};

}  // namespace comfreyshift

#endif  // TESTS_CONFIG_FAKE_STORE_H_
