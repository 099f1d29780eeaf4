#ifndef TESTS_STANDINS_ROLE_PROCESS_H_
#define TESTS_STANDINS_ROLE_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace comfreyshift {

// When a process can read its settings.
enum class SettingsDelivery : uint8_t {
  kAtStart,
  // At DeliverSettings(). Until then the process waits in its first read of
  // them, at the very beginning of its role.
  kHeldBack,
};

// One process of the real program in one of its roles, with a settings file and
// a log in a folder of its own. It is killed when it goes out of scope; its
// folder is removed then.
class RoleProcess {
 public:
  // The path of the settings file is appended to `arguments` that end with
  // `--config`.
  RoleProcess(const std::string& name,
              std::vector<std::string> arguments,
              std::string settings,
              SettingsDelivery delivery);
  ~RoleProcess();
  RoleProcess(const RoleProcess&) = delete;
  RoleProcess& operator=(const RoleProcess&) = delete;

  // Whether the process waits for settings that are held back.
  bool IsWaitingForSettings();
  // Only while it waits for them.
  void DeliverSettings();

  // 0 once it has exited.
  pid_t pid() const { return m_pid; }
  // Does nothing once it has exited.
  void Signal(int signal) const;
  bool HasExited();
  // As waitpid() gives it; -1 before it has exited.
  int exit_status() const { return m_exit_status; }
  // Standard output and standard error.
  std::string Log() const;

 private:
  void Start(std::vector<std::string> arguments);

  std::filesystem::path m_folder;
  std::string m_settings;
  // The writing end of settings that are held back.
  int m_settings_pipe = -1;
  pid_t m_pid = 0;
  int m_exit_status = -1;
};

// A process in a role of the users' platform.
class PlatformProcess : public RoleProcess {
 public:
  PlatformProcess(const std::string& role,
                  const std::string& name,
                  const std::string& settings,
                  uint16_t metrics_port);
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_ROLE_PROCESS_H_
