#ifndef CLI_CLI_H_
#define CLI_CLI_H_

// Public header of the cli library: the commands of comfreyshift. Each command
// takes its own arguments, prints to a Terminal and returns an exit code.

#include "cli/caller_answer.h"
#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/output.h"

#endif  // CLI_CLI_H_
