#ifndef DISPATCH_OWNER_ACTIONS_H_
#define DISPATCH_OWNER_ACTIONS_H_

#include <variant>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"

namespace comfreyshift {

// What the shell has to do for the owner. Each command is answered by one call:
// a start or settle by OnStartReply or OnReplyLost, a collect by OnCollectReply
// or OnCollectLost, an adopt by OnAdoptDone. Commands may go to this process
// itself.
struct SendStart {
  ProcessId m_to;
  StartCommand m_command;
};
struct SendSettle {
  ProcessId m_to;
  SettleCommand m_command;
};
struct SendCancel {
  ProcessId m_to;
  TaskRef m_task;
};
struct SendCollect {
  ProcessId m_to;
  CollectCommand m_command;
};
struct SendAdopt {
  ProcessId m_to;
  AdoptCommand m_command;
};
// The answer of a job, for every caller that waits for it.
struct JobEnded {
  SubmissionKey m_key;
  JobAnswer m_answer;
};
// This process no longer owns the job. Nothing is said of its tasks: whoever
// waits for it has to submit it again, to the partition's present owner.
struct JobDropped {
  SubmissionKey m_key;
};
using OwnerAction = std::variant<SendStart,
                                 SendSettle,
                                 SendCancel,
                                 SendCollect,
                                 SendAdopt,
                                 JobEnded,
                                 JobDropped>;

}  // namespace comfreyshift

#endif  // DISPATCH_OWNER_ACTIONS_H_
