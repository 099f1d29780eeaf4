#include "entry/store_sync.h"

#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kReadInterval{1000};

// A read that takes longer would bring a proof that is too old to be of use.
constexpr Milliseconds kReadTimeout{2000};

// Contact is lost when three reads in a row bring nothing.
constexpr Milliseconds kContactLifetime{3000};

RangeRequest PrefixSince(std::string_view prefix, Revision since) {
  RangeRequest request;
  request.m_key = std::string(prefix);
  request.m_range_end = PrefixEnd(prefix);
  request.m_min_mod_revision = since + 1;
  return request;
}

RangeRequest ExactSince(std::string_view key, Revision since) {
  RangeRequest request;
  request.m_key = std::string(key);
  request.m_min_mod_revision = since + 1;
  return request;
}

}  // namespace

StoreSync::StoreSync(std::shared_ptr<StoreClient> store, ProcessNode& node)
    : m_store(std::move(store)), m_node(node) {}

void StoreSync::Tick(MonoTime now) {
  if (now < m_next_read) {
    return;
  }
  m_next_read = now + kReadInterval;
  ReadHead(now);
}

void StoreSync::ReadNow() {
  m_next_read = BootClock::now();
  m_node.Wake();
}

void StoreSync::ReadHead(MonoTime now) {
  RangeRequest request;
  request.m_key = std::string(kHeadKey);
  m_store->Range(request, {now + kReadTimeout},
                 [self = shared_from_this(),
                  sent_at = now](Result<RangeReply, StoreError> result) {
                   if (result) {
                     self->OnHead(sent_at, result.value());
                   }
                 });
}

void StoreSync::OnHead(MonoTime sent_at, const RangeReply& reply) {
  m_contact_until = sent_at + kContactLifetime;
  m_store_is_empty = reply.m_key_values.empty();
  if (m_store_is_empty) {
    m_node.Wake();
    return;
  }
  const Revision head = reply.m_key_values.front().m_mod_revision;
  if (head > m_node.applied_revision()) {
    FetchChanges(BootClock::now());
    return;
  }
  if (head < m_node.applied_revision()) {
    LogEvent(LogLevel::kError, "store", "revision_went_back",
             {{"applied", m_node.applied_revision()}, {"head", head}});
  }
  m_node.membership().OnStoreRead(head, sent_at);
  m_node.Wake();
}

void StoreSync::FetchChanges(MonoTime now) {
  if (now < m_fetch_deadline) {
    return;
  }
  m_fetch_deadline = now + kReadTimeout;
  const Revision since = m_node.applied_revision();
  TxnRequest request;
  request.m_success = {ExactSince(kHeadKey, 0), ExactSince(kTableKey, since),
                       PrefixSince(kInventoryPrefix, since)};
  m_store->Txn(request, {m_fetch_deadline},
               [self = shared_from_this(),
                sent_at = now](Result<TxnReply, StoreError> result) {
                 self->m_fetch_deadline = MonoTime();
                 if (result) {
                   self->OnChanges(sent_at, result.value());
                 }
               });
}

void StoreSync::OnChanges(MonoTime sent_at, const TxnReply& reply) {
  ConfigChanges changes;
  for (const TxnOperationReply& part : reply.m_replies) {
    const auto* range = std::get_if<RangeReply>(&part);
    if (range == nullptr) {
      continue;
    }
    for (const KeyValue& item : range->m_key_values) {
      if (item.m_key == kHeadKey) {
        changes.m_revision = item.m_mod_revision;
      } else {
        changes.m_items.push_back(
            {item.m_key, item.m_value, item.m_mod_revision});
      }
    }
  }
  m_node.ApplyChanges(changes);
  m_node.membership().OnStoreRead(changes.m_revision, sent_at);
  m_node.Wake();
}

}  // namespace comfreyshift
