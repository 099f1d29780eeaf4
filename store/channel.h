#ifndef STORE_CHANNEL_H_
#define STORE_CHANNEL_H_

#include <libsoup/soup.h>

#include <random>

#include "store/backoff.h"
#include "store/call_budget.h"
#include "store/client.h"
#include "store/gobject.h"

namespace comfreyshift {

// What all calls of one client share.
struct Channel {
  explicit Channel(const StoreSettings& settings);

  // Takes a call from the budget and counts it. Returns false when the budget
  // is spent.
  bool TakeCall();

  StoreSettings m_settings;
  GObjectPtr<SoupSession> m_session;
  // Watches hold their connections, so they have their own.
  GObjectPtr<SoupSession> m_watch_session;
  CallBudget m_budget;
  std::mt19937_64 m_random;
  StoreCounts m_counts;
};

// The error of a call that the budget stops.
StoreError BudgetSpentError(const CallBudgetSettings& settings);

}  // namespace comfreyshift

#endif  // STORE_CHANNEL_H_
