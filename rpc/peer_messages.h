#ifndef RPC_PEER_MESSAGES_H_
#define RPC_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "dispatch/dispatch.h"

namespace comfreyshift {

// The reply to a submission: the job's answer, or why this process does not
// take it.
using SubmitReply = std::variant<JobAnswer, NotRunReason>;

// What a process knows of a subject such as "client:NAME", "target:NAME" or
// "zone:NAME".
struct SubjectStatus {
  std::string m_subject;
  // When a task last started for it here; the epoch when none has.
  WallTime m_last_start;
  uint32_t m_running = 0;
};

// What a process says of itself.
struct ProcessStatus {
  Revision m_revision = 0;
  // How long its proof of freshness still lasts; negative when expired.
  Microseconds m_fresh_left{0};
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  uint64_t m_starts = 0;
  uint32_t m_jobs = 0;
  // One for each subject that was asked for, in that order.
  std::vector<SubjectStatus> m_subjects;
};

// Why a call between processes failed.
enum class RpcFailure : uint8_t {
  kNotSent,   // The request certainly did not reach the peer.
  kLost,      // The peer may have acted on it.
  kTimedOut,  // The deadline passed; the peer may have acted on it.
};

struct RpcError {
  RpcFailure m_failure = RpcFailure::kLost;
  std::string m_message;
};

}  // namespace comfreyshift

#endif  // RPC_PEER_MESSAGES_H_
