#include "tests/standins/platform_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>

namespace comfreyshift {

namespace {

// Several processes of one name may follow each other.
uint64_t NextNumber() {
  static uint64_t last = 0;
  return ++last;
}

}  // namespace

PlatformProcess::PlatformProcess(const std::string& role,
                                 const std::string& name,
                                 const std::string& settings,
                                 uint16_t metrics_port)
    : m_folder(std::filesystem::temp_directory_path() /
               ("comfreyshift-" + std::to_string(getpid()) + "-" + name + "-" +
                std::to_string(NextNumber()))) {
  std::filesystem::create_directories(m_folder);
  std::ofstream(m_folder / "settings") << settings;
  std::string words[] = {COMFREYSHIFT_PROGRAM, role, "--metrics-port",
                         std::to_string(metrics_port)};
  char* arguments[] = {words[0].data(), words[1].data(), words[2].data(),
                       words[3].data(), nullptr};
  std::string variable =
      "COMFREYSHIFT_SETTINGS=" + (m_folder / "settings").string();
  char* environment[] = {variable.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   (m_folder / "log").c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (posix_spawn(&m_pid, words[0].c_str(), &actions, nullptr, arguments,
                  environment) != 0) {
    std::fprintf(stderr, "cannot start %s\n", words[0].c_str());
    m_pid = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
}

PlatformProcess::~PlatformProcess() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
  std::filesystem::remove_all(m_folder);
}

void PlatformProcess::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

bool PlatformProcess::HasExited() {
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit_status = status;
    m_pid = 0;
  }
  return m_pid == 0;
}

std::string PlatformProcess::Log() const {
  std::ifstream file(m_folder / "log");
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace comfreyshift
