#ifndef CLI_CLI_H_
#define CLI_CLI_H_

// Public header of the cli library: the commands of the program.

#include "cli/apply_inventory.h"
#include "cli/submit.h"

#endif  // CLI_CLI_H_
