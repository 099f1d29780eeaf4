#include "tests/config/fake_store.h"

#include <algorithm>

namespace comfreyshift {

bool FakeStore::Holds(const TxnCompare& compare) const {
  auto found = m_keys.find(compare.m_key);
  KeyValue current = found == m_keys.end() ? KeyValue() : found->second;
  if (const auto* mod = std::get_if<CompareModRevision>(&compare.m_target)) {
    return current.m_mod_revision == mod->m_mod_revision;
  }
  return current.m_version ==
         std::get<CompareVersion>(compare.m_target).m_version;
}

void FakeStore::Put(const PutRequest& put, Revision revision) {
  KeyValue& kv = m_keys[put.m_key];
  kv.m_key = put.m_key;
  kv.m_value = put.m_value;
  kv.m_mod_revision = revision;
  ++kv.m_version;
  m_history.push_back(kv);
}

RangeReply FakeStore::Range(const RangeRequest& request) const {
  RangeReply reply;
  reply.m_revision = m_revision;
  for (const auto& [key, kv] : m_keys) {
    bool inside = request.m_range_end.empty()
                      ? key == request.m_key
                      : key >= request.m_key && key < request.m_range_end;
    if (inside && kv.m_mod_revision >= request.m_min_mod_revision) {
      reply.m_key_values.push_back(kv);
    }
  }
  return reply;
}

TxnReply FakeStore::Txn(const TxnRequest& request) {
  TxnReply reply;
  reply.m_succeeded =
      std::all_of(request.m_compares.begin(), request.m_compares.end(),
                  [this](const TxnCompare& c) { return Holds(c); });
  Revision revision = m_revision + 1;
  for (const TxnOperation& operation :
       reply.m_succeeded ? request.m_success : request.m_failure) {
    if (const auto* put = std::get_if<PutRequest>(&operation)) {
      Put(*put, revision);
      m_revision = revision;
      reply.m_replies.emplace_back(PutReply{revision});
    } else {
      reply.m_replies.emplace_back(Range(std::get<RangeRequest>(operation)));
    }
  }
  reply.m_revision = m_revision;
  return reply;
}

}  // namespace comfreyshift
