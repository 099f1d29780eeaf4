#ifndef STORE_EDIT_RUNNER_H_
#define STORE_EDIT_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.h"
#include "core/core.h"
#include "store/client.h"

namespace comfreyshift {

// Runs right before each write. A reason that it returns stops that write; it
// is asked again until the edit's deadline.
using WriteCheck = std::function<std::optional<std::string>()>;

// Carries `edit` to its outcome on the store: reads, writes once, resolves a
// lost answer by reading the edit id back, and repeats failed calls with
// backoff until `deadline`. `done` runs once, from the main loop. It may run
// later than the deadline by the time out of one attempt.
//
// Returns the error, and never runs `done`, when the edit is invalid (see
// EditProcess::Create).
Result<void, ConfigError> RunEdit(const std::shared_ptr<StoreClient>& client,
                                  Edit edit,
                                  MonoTime deadline,
                                  WriteCheck check,
                                  std::function<void(EditOutcome)> done);

// Reads the audit trail, newest first. A record of another form is left out
// and counted.
struct AuditPage {
  std::vector<AuditRecord> m_records{};
  size_t m_malformed = 0;
  // Key of the last record, for the next page; empty when there is none.
  std::string m_next_before_key{};
};
void ReadAudit(StoreClient& client,
               const AuditQuery& query,
               const CallOptions& options,
               StoreClient::Callback<AuditPage> callback);

}  // namespace comfreyshift

#endif  // STORE_EDIT_RUNNER_H_
