#include "link/admission.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

void LinkAdmission::AddPending(const std::shared_ptr<ClientAccount>& account,
                               CloseFunction close) {
  m_pending.push_back({account, std::move(close)});
  if (m_pending.size() <= kMaxPendingLinks) {
    return;
  }
  const Pending oldest = std::move(m_pending.front());
  m_pending.pop_front();
  oldest.m_account->Record(ClientLimit::kLinkConnections);
  oldest.m_close();
}

void LinkAdmission::RemovePending(
    const std::shared_ptr<ClientAccount>& account) {
  std::erase_if(m_pending, [&](const Pending& pending) {
    return pending.m_account == account;
  });
}

}  // namespace comfreyshift
