#ifndef TESTS_STANDINS_PLATFORM_PROCESS_H_
#define TESTS_STANDINS_PLATFORM_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

namespace comfreyshift {

// One process of the real program in a role of the users' platform, with a
// settings file and a log in a folder of its own. It is killed when it goes out
// of scope; its folder is removed then.
class PlatformProcess {
 public:
  PlatformProcess(const std::string& role,
                  const std::string& name,
                  const std::string& settings,
                  uint16_t metrics_port);
  ~PlatformProcess();
  PlatformProcess(const PlatformProcess&) = delete;
  PlatformProcess& operator=(const PlatformProcess&) = delete;

  // Does nothing once it has exited.
  void Signal(int signal) const;
  bool HasExited();
  // As waitpid() gives it; -1 before it has exited.
  int exit_status() const { return m_exit_status; }
  std::string Log() const;

 private:
  std::filesystem::path m_folder;
  pid_t m_pid = 0;
  int m_exit_status = -1;
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_PLATFORM_PROCESS_H_
