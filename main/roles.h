#ifndef MAIN_ROLES_H_
#define MAIN_ROLES_H_

#include <string>
#include <vector>

#include "cli/cli.h"

namespace comfreyshift {

// Run a role until SIGTERM or SIGINT, then stop it without cutting what is in
// progress. Return kDone after a planned stop, kFailed when the role cannot
// start, and kUsage when the command line or the settings are at fault.
ExitCode RunEntry(const std::vector<std::string>& arguments,
                  const Terminal& terminal);
ExitCode RunAgent(const std::vector<std::string>& arguments,
                  const Terminal& terminal);

}  // namespace comfreyshift

#endif  // MAIN_ROLES_H_
