#include "net/loop_pauses.h"

#include <algorithm>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// Shorter pauses are not remembered.
constexpr Milliseconds kMinPause{20};
// Longer ones are logged as they end.
constexpr Milliseconds kLoggedPause{500};
constexpr Milliseconds kMemory{10'000};

}  // namespace

LoopPauses::LoopPauses() : m_began_at(BootClock::now()) {
  static GSourceFuncs functions{};
  functions.prepare = &LoopPauses::OnBeforeWait;
  functions.check = &LoopPauses::OnAfterWait;
  functions.dispatch = &LoopPauses::OnDispatch;
  m_source = g_source_new(&functions, sizeof(Source));
  reinterpret_cast<Source*>(m_source)->m_owner = this;
  // Sources of a lower priority are not checked while others are ready.
  g_source_set_priority(m_source, G_PRIORITY_HIGH);
  g_source_attach(m_source, nullptr);
}

LoopPauses::~LoopPauses() {
  g_source_destroy(m_source);
  g_source_unref(m_source);
}

Microseconds LoopPauses::LongestSince(MonoTime time) const {
  Microseconds longest =
      std::chrono::duration_cast<Microseconds>(BootClock::now() - m_began_at);
  for (const Pause& pause : m_pauses) {
    if (pause.m_ended_at > time) {
      longest = std::max(longest, pause.m_length);
    }
  }
  return longest >= kMinPause ? longest : Microseconds(0);
}

gboolean LoopPauses::OnBeforeWait(GSource* source, gint* timeout) {
  *timeout = -1;
  reinterpret_cast<Source*>(source)->m_owner->EndPause(BootClock::now());
  return FALSE;
}

gboolean LoopPauses::OnAfterWait(GSource* source) {
  reinterpret_cast<Source*>(source)->m_owner->m_began_at = BootClock::now();
  return FALSE;
}

gboolean LoopPauses::OnDispatch(GSource*, GSourceFunc, gpointer) {
  return G_SOURCE_CONTINUE;
}

void LoopPauses::EndPause(MonoTime now) {
  const auto length =
      std::chrono::duration_cast<Microseconds>(now - m_began_at);
  if (length < kMinPause) {
    return;
  }
  m_pauses.push_back({now, length});
  while (m_pauses.front().m_ended_at + kMemory < now) {
    m_pauses.pop_front();
  }
  if (length >= kLoggedPause) {
    LogEvent(LogLevel::kWarning, "net", "main_loop_paused",
             {{"pause_us", length.count()}});
  }
}

}  // namespace comfreyshift
