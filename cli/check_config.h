#ifndef CLI_CHECK_CONFIG_H_
#define CLI_CHECK_CONFIG_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace comfreyshift {

// Command check-config: reports all faults of a settings file and of the files
// it names, or of an inventory file, without contacting anything.
ExitCode RunCheckConfig(const std::vector<std::string>& arguments,
                        const Terminal& terminal);

}  // namespace comfreyshift

#endif  // CLI_CHECK_CONFIG_H_
