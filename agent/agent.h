#ifndef AGENT_AGENT_H_
#define AGENT_AGENT_H_

// Public header of the agent library: the role that runs beside a target,
// starts tasks on it and owns partitions of the submissions.

#include "agent/agent_process.h"

#endif  // AGENT_AGENT_H_
