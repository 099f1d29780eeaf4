#ifndef DISPATCH_OWNER_ACTIONS_H_
#define DISPATCH_OWNER_ACTIONS_H_

#include <variant>
#include <vector>

#include "core/core.h"
#include "dispatch/messages.h"

namespace comfreyshift {

// Actions that the I/O layer has to perform for the owner. It reports the end
// of each command with one call: of SendStart and SendSettle with OnStartReply
// or OnReplyLost, of SendCollect with OnCollectReply or OnCollectLost, and of
// SendAdopt with OnAdoptDone. SendCancel has no reply. A command may be
// addressed to this process itself.
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
// The answer of a job, to be sent to every caller that waits for it.
struct JobEnded {
  SubmissionKey m_key;
  JobAnswer m_answer;
};
// This process no longer owns the job. Its tasks may or may not have run:
// callers that wait for it have to submit it again, to the present owner of the
// partition.
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
