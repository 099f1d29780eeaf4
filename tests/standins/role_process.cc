#include "tests/standins/role_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

namespace comfreyshift {

namespace {

// Several processes of one name may follow each other.
uint64_t NextNumber() {
  static uint64_t last = 0;
  return ++last;
}

// A parent such as nohup ignores signals for its descendants, and a process
// without handlers would outlive them there.
void UseDefaultSignals(posix_spawnattr_t& attributes) {
  sigset_t signals;
  sigemptyset(&signals);
  posix_spawnattr_setsigmask(&attributes, &signals);
  for (const int signal : {SIGHUP, SIGINT, SIGPIPE, SIGTERM}) {
    sigaddset(&signals, signal);
  }
  posix_spawnattr_setsigdefault(&attributes, &signals);
  posix_spawnattr_setflags(&attributes,
                           POSIX_SPAWN_SETSIGDEF | POSIX_SPAWN_SETSIGMASK);
}

}  // namespace

RoleProcess::RoleProcess(const std::string& name,
                         std::vector<std::string> arguments,
                         std::string settings,
                         SettingsDelivery delivery)
    : m_folder(std::filesystem::temp_directory_path() /
               ("comfreyshift-" + std::to_string(getpid()) + "-" + name + "-" +
                std::to_string(NextNumber()))),
      m_settings(std::move(settings)) {
  std::filesystem::create_directories(m_folder);
  if (delivery == SettingsDelivery::kAtStart) {
    std::ofstream(m_folder / "settings") << m_settings;
  } else if (mkfifo((m_folder / "settings").c_str(), 0600) != 0) {
    std::fprintf(stderr, "cannot hold back the settings of %s\n", name.c_str());
    return;
  }
  if (arguments.back() == "--config") {
    arguments.push_back((m_folder / "settings").string());
  }
  Start(std::move(arguments));
}

RoleProcess::~RoleProcess() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
  if (m_settings_pipe >= 0) {
    close(m_settings_pipe);
  }
  std::filesystem::remove_all(m_folder);
}

void RoleProcess::Start(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), COMFREYSHIFT_PROGRAM);
  std::vector<char*> words;
  words.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    words.push_back(argument.data());
  }
  words.push_back(nullptr);
  std::string variable =
      "COMFREYSHIFT_SETTINGS=" + (m_folder / "settings").string();
  char* environment[] = {variable.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
      &actions, STDOUT_FILENO, (m_folder / "log").c_str(),
      O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  UseDefaultSignals(attributes);
  if (posix_spawn(&m_pid, words[0], &actions, &attributes, words.data(),
                  environment) != 0) {
    std::fprintf(stderr, "cannot start %s\n", words[0]);
    m_pid = 0;
  }
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
}

bool RoleProcess::IsWaitingForSettings() {
  if (m_settings_pipe < 0) {
    // Opening the writing end succeeds once there is a reader.
    m_settings_pipe = open((m_folder / "settings").c_str(),
                           O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  }
  return m_settings_pipe >= 0;
}

void RoleProcess::DeliverSettings() {
  // Later reads find a plain file; the one that waits holds the pipe open.
  const std::filesystem::path pipe = m_folder / "pipe";
  std::filesystem::rename(m_folder / "settings", pipe);
  std::ofstream(m_folder / "settings") << m_settings;
  // Without a reader, a write to the pipe of a process that has ended would end
  // the test by SIGPIPE.
  const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  if (write(m_settings_pipe, m_settings.data(), m_settings.size()) !=
      static_cast<ssize_t>(m_settings.size())) {
    std::fprintf(stderr, "cannot deliver settings\n");
  }
  close(std::exchange(m_settings_pipe, -1));
  close(reader);
}

void RoleProcess::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

bool RoleProcess::HasExited() {
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit_status = status;
    m_pid = 0;
  }
  return m_pid == 0;
}

std::string RoleProcess::Log() const {
  std::ifstream file(m_folder / "log");
  return {std::istreambuf_iterator<char>(file), {}};
}

PlatformProcess::PlatformProcess(const std::string& role,
                                 const std::string& name,
                                 const std::string& settings,
                                 uint16_t metrics_port)
    : RoleProcess(name,
                  {role, "--metrics-port", std::to_string(metrics_port)},
                  settings,
                  SettingsDelivery::kAtStart) {}

}  // namespace comfreyshift
