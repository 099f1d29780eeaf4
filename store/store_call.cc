#include "store/store_call.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

StoreCall::StoreCall(std::shared_ptr<Channel> channel,
                     const std::string& path,
                     bool writes,
                     const CallOptions& options,
                     HttpPost::Callback callback)
    : m_channel(std::move(channel)),
      m_url(m_channel->m_settings.m_url + path),
      m_writes(writes),
      m_options(options),
      m_callback(std::move(callback)),
      m_backoff(m_channel->m_settings.m_backoff, m_channel->m_random()) {}

void StoreCall::Start(std::string body) {
  m_body = std::move(body);
  Attempt();
}

void StoreCall::Attempt() {
  if (!m_channel->TakeCall()) {
    FinishSoon(BudgetSpentError(m_channel->m_settings.m_budget));
    return;
  }
  MonoTime attempt_deadline =
      BootClock::now() + m_channel->m_settings.m_attempt_timeout;
  auto post = std::make_shared<HttpPost>(
      m_channel->m_session.get(), m_writes,
      [self = shared_from_this()](Result<std::string, StoreError> answer) {
        self->OnAnswer(std::move(answer));
      });
  post->Send(m_url, m_body, std::min(attempt_deadline, m_options.m_deadline));
}

void StoreCall::OnAnswer(Result<std::string, StoreError> answer) {
  if (!answer && Repeat(answer.assume_error())) {
    return;
  }
  Finish(std::move(answer));
}

bool StoreCall::Repeat(const StoreError& error) {
  if (!m_options.m_repeat || error.m_effect != StoreEffect::kUnavailable) {
    return false;
  }
  MonoTime next = m_backoff.Next(BootClock::now());
  if (next >= m_options.m_deadline) {
    return false;
  }
  ++m_channel->m_counts.m_repeated;
  m_timer.Set(next, [self = shared_from_this()] { self->Attempt(); });
  return true;
}

void StoreCall::FinishSoon(StoreError error) {
  m_timer.Set(BootClock::now(),
              [self = shared_from_this(), error = std::move(error)]() mutable {
                self->Finish(std::move(error));
              });
}

void StoreCall::Finish(Result<std::string, StoreError> answer) {
  if (!answer) {
    ++m_channel->m_counts.m_failed;
  }
  HttpPost::Callback callback = std::exchange(m_callback, nullptr);
  callback(std::move(answer));
}

}  // namespace comfreyshift
