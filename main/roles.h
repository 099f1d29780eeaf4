#ifndef MAIN_ROLES_H_
#define MAIN_ROLES_H_

namespace comfreyshift {

// Run a role until SIGTERM or SIGINT, then stop it without cutting what is in
// progress. Return an exit code: 0 after a planned stop, 1 when the role cannot
// start, 2 when the command line or the settings are at fault.
int RunEntry(int argc, char** argv);
int RunAgent(int argc, char** argv);

}  // namespace comfreyshift

#endif  // MAIN_ROLES_H_
