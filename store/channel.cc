#include "store/channel.h"

namespace comfreyshift {

namespace {

// libsoup's default of 2 connections to a host would queue calls behind each
// other.
constexpr int kMaxConnections = 16;

GObjectPtr<SoupSession> NewSession() {
  return GObjectPtr<SoupSession>(soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnections,
      "proxy-resolver", nullptr, nullptr));
}

}  // namespace

Channel::Channel(const StoreSettings& settings)
    : m_settings(settings),
      m_session(NewSession()),
      m_watch_session(NewSession()),
      m_budget(settings.m_budget),
      m_random(settings.m_seed) {}

bool Channel::TakeCall() {
  if (!m_budget.TryTake(BootClock::now())) {
    ++m_counts.m_over_budget;
    return false;
  }
  ++m_counts.m_sent;
  return true;
}

StoreError BudgetSpentError(const CallBudgetSettings& settings) {
  StoreError error;
  error.m_code = StoreErrorCode::kBudgetSpent;
  error.m_effect = StoreEffect::kUnavailable;
  error.m_message =
      "not sent: this process has spent its budget of " +
      std::to_string(static_cast<int64_t>(settings.m_calls_per_second)) +
      " store calls a second";
  return error;
}

}  // namespace comfreyshift
