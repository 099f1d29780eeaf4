#ifndef CLI_EXIT_CODE_H_
#define CLI_EXIT_CODE_H_

#include <cstdint>

namespace comfreyshift {

// Exit codes of all commands. Scripts rely on the numbers.
enum class ExitCode : uint8_t {
  kDone = 0,
  kFailed = 1,
  // The command line, a settings file or an inventory file is at fault.
  kUsage = 2,
  // Refused, "not run".
  kNotRun = 3,
  // Unknown, "may have run" or "may have been changed".
  kUnknown = 4,
  // Another edit was faster.
  kConflict = 5,
  // The entry or the store is unavailable; nothing was changed.
  kUnavailable = 6,
};

}  // namespace comfreyshift

#endif  // CLI_EXIT_CODE_H_
