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

void StoreSync::Refresh(std::function<void(bool)> done) {
  const MonoTime now = BootClock::now();
  m_store->Range(
      HeadRequest(), {now + kReadTimeout},
      [self = shared_from_this(), sent_at = now,
       done = std::move(done)](Result<RangeReply, StoreError> result) {
        if (!result) {
          done(false);
          return;
        }
        self->m_waiting.push_back({HeadRevision(result.value()), done});
        self->OnHead(sent_at, result.value());
        self->EndRefreshes(true);
      });
}

void StoreSync::EndRefreshes(bool fetched) {
  std::vector<Waiting> waiting = std::exchange(m_waiting, {});
  for (Waiting& refresh : waiting) {
    if (refresh.m_head <= m_node.applied_revision()) {
      refresh.m_done(true);
    } else if (fetched) {
      m_waiting.push_back(std::move(refresh));
    } else {
      refresh.m_done(false);
    }
  }
  if (!m_waiting.empty()) {
    FetchChanges(BootClock::now());
  }
}

void StoreSync::ReadHead(MonoTime now) {
  m_store->Range(HeadRequest(), {now + kReadTimeout},
                 [self = shared_from_this(),
                  sent_at = now](Result<RangeReply, StoreError> result) {
                   if (result) {
                     self->OnHead(sent_at, result.value());
                   }
                 });
}

void StoreSync::OnHead(MonoTime sent_at, const RangeReply& reply) {
  m_contact_until = sent_at + kContactLifetime;
  const Revision head = HeadRevision(reply);
  m_store_is_empty = head == 0;
  if (m_store_is_empty) {
    m_node.Wake();
    return;
  }
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
  m_store->Txn(ConfigReadRequest(since), {m_fetch_deadline},
               [self = shared_from_this(), sent_at = now,
                since](Result<TxnReply, StoreError> result) {
                 self->m_fetch_deadline = MonoTime();
                 if (result) {
                   self->OnChanges(sent_at, since, result.value());
                 }
                 self->EndRefreshes(result.has_value());
               });
}

void StoreSync::OnChanges(MonoTime sent_at,
                          Revision since,
                          const TxnReply& reply) {
  const auto changes = ReadConfigReply(since, reply);
  if (!changes) {
    LogEvent(LogLevel::kError, "store", "reply_malformed",
             {{"reason", changes.error().m_message}});
    return;
  }
  m_node.ApplyChanges(changes.value());
  m_node.membership().OnStoreRead(changes.value().m_revision, sent_at);
  m_node.Wake();
}

}  // namespace comfreyshift
