#ifndef CLI_RETIREMENT_H_
#define CLI_RETIREMENT_H_

#include <string>

#include "cli/connection.h"

namespace comfreyshift {

// Polls the proof of a retirement until it is done or the deadline has passed,
// and prints it. Returns kDone only for a finished proof, and kFailed for one
// that is not finished yet.
ExitCode ShowRetirement(Connection& connection,
                        const std::string& kind,
                        const std::string& name,
                        MonoTime deadline,
                        bool as_json,
                        const Terminal& terminal);

}  // namespace comfreyshift

#endif  // CLI_RETIREMENT_H_
