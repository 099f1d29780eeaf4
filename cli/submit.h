#ifndef CLI_SUBMIT_H_
#define CLI_SUBMIT_H_

namespace comfreyshift {

// Runs `submit`: one job to an entry, waiting for its whole answer. Sends the
// same key again when the connection breaks. Returns an exit code.
int RunSubmit(int argc, char** argv);

// Runs `new-key`: prints a submission key for the present time.
int RunNewKey(int argc, char** argv);

}  // namespace comfreyshift

#endif  // CLI_SUBMIT_H_
