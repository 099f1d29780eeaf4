// Runs the real program in each of its roles and sends it signals at the edges
// of its life. Guards against a signal whose default action ends a process that
// is starting or stopping, and with it the requests that it has accepted.

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>

#include "tests/standins/platform_documents.h"
#include "tests/standins/role_process.h"
#include "tests/standins/test_ports.h"

namespace comfreyshift {
namespace {

constexpr std::chrono::seconds kPatience{10};
constexpr std::chrono::milliseconds kPollInterval{2};

bool WaitUntil(const std::function<bool()>& is_true) {
  const MonoTime end = BootClock::now() + kPatience;
  while (!is_true()) {
    if (BootClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// The signals come in all roles; the roles differ in how they are started.
class RoleSignalsTest : public testing::TestWithParam<std::string> {
 protected:
  void SetUp() override {
    m_folder = std::filesystem::temp_directory_path() /
               ("comfreyshift-signals-" + std::to_string(getpid()));
    std::filesystem::create_directories(m_folder);
    std::ofstream(m_folder / "fleet.key")
        << "0123456789abcdef0123456789abcdef\n";
    std::ofstream(m_folder / "operator.token") << "operator-token\n";
  }
  void TearDown() override { std::filesystem::remove_all(m_folder); }

  std::unique_ptr<RoleProcess> Start(SettingsDelivery delivery) const {
    return std::make_unique<RoleProcess>(GetParam(), Arguments(), Settings(),
                                         delivery);
  }

  static bool HasLogged(const RoleProcess& process, const std::string& event) {
    return process.Log().find("\"event\":\"" + event + "\"") !=
           std::string::npos;
  }

  // Only the platform's roles read their settings again.
  static std::string ReloadEvent() {
    return IsPlatformRole() ? "settings_reloaded" : "reload_ignored";
  }

  static void ExpectCleanExit(RoleProcess& process) {
    ASSERT_TRUE(WaitUntil([&]() { return process.HasExited(); }));
    EXPECT_TRUE(WIFEXITED(process.exit_status()) &&
                WEXITSTATUS(process.exit_status()) == 0)
        << "wait status " << process.exit_status() << "\n"
        << process.Log();
  }

 private:
  static bool IsPlatformRole() { return GetParam().starts_with("platform-"); }

  static std::vector<std::string> Arguments() {
    if (IsPlatformRole()) {
      return {GetParam(), "--metrics-port",
              std::to_string(TestAddress(0).m_port)};
    }
    return {GetParam(), "--config"};
  }

  // No store, runner or other process answers at these addresses; a role starts
  // and stops all the same.
  std::string Settings() const {
    const Address nobody = TestAddress(9);
    if (GetParam() == "platform-entry") {
      return EntrySettingsText(GetParam(), TestAddress(1), TestAddress(2),
                               TestAddress(3).m_port, nobody);
    }
    if (GetParam() == "platform-agent") {
      return AgentSettingsText(GetParam(), TestAddress(1),
                               TestAddress(3).m_port, nobody, nobody);
    }
    return ProductSettings(nobody.ToString());
  }

  std::string ProductSettings(const std::string& nobody) const {
    const bool is_entry = GetParam() == "entry";
    const std::string peer = TestAddress(3).ToString();
    return "[process]\nrole = " + GetParam() + "\nname = " + GetParam() +
           "\nzone = zone\nrack = rack\nworker = worker\n[listen]\n" +
           (is_entry ? "http = " + TestAddress(1).ToString() + "\n" : "") +
           "operator_http = " + TestAddress(2).ToString() + "\nrpc = " + peer +
           "\ndatagram = " + peer +
           "\n[fleet]\nkey_file = " + (m_folder / "fleet.key").string() +
           "\nseeds = " + nobody + "\n[operators]\ntoken_file = " +
           (m_folder / "operator.token").string() +
           (is_entry ? "\n[store]\nendpoints = " + nobody
                     : "\n[target]\nname = target\naddress = " + nobody) +
           "\n";
  }

  std::filesystem::path m_folder;
};

TEST_P(RoleSignalsTest, AReloadSignalAtTheStartEndsNothing) {
  const auto process = Start(SettingsDelivery::kHeldBack);
  ASSERT_TRUE(WaitUntil([&]() { return process->IsWaitingForSettings(); }));
  process->Signal(SIGHUP);
  process->DeliverSettings();
  EXPECT_TRUE(WaitUntil([&]() {
    return HasLogged(*process, "started") || process->HasExited();
  }));
  EXPECT_FALSE(process->HasExited())
      << "wait status " << process->exit_status() << "\n"
      << process->Log();
  // The reload that was asked for is carried out.
  EXPECT_TRUE(WaitUntil([&]() { return HasLogged(*process, ReloadEvent()); }))
      << process->Log();
  process->Signal(SIGTERM);
  ExpectCleanExit(*process);
}

// A stop that is asked for during the start is an orderly one, too.
TEST_P(RoleSignalsTest, AStopSignalAtTheStartIsKept) {
  const auto process = Start(SettingsDelivery::kHeldBack);
  ASSERT_TRUE(WaitUntil([&]() { return process->IsWaitingForSettings(); }));
  process->Signal(SIGTERM);
  process->DeliverSettings();
  ExpectCleanExit(*process);
  EXPECT_TRUE(HasLogged(*process, "stopped"));
}

TEST_P(RoleSignalsTest, ReloadSignalsDuringARunEndNothing) {
  const auto process = Start(SettingsDelivery::kAtStart);
  ASSERT_TRUE(WaitUntil([&]() { return HasLogged(*process, "started"); }));
  process->Signal(SIGHUP);
  EXPECT_TRUE(WaitUntil([&]() {
    return HasLogged(*process, ReloadEvent()) || process->HasExited();
  })) << process->Log();
  EXPECT_FALSE(process->HasExited());
}

TEST_P(RoleSignalsTest, ReloadSignalsDuringAStopCutItShortNowhere) {
  const auto process = Start(SettingsDelivery::kAtStart);
  ASSERT_TRUE(WaitUntil([&]() { return HasLogged(*process, "started"); }));
  process->Signal(SIGTERM);
  ASSERT_TRUE(WaitUntil([&]() {
    process->Signal(SIGHUP);
    return process->HasExited();
  }));
  ExpectCleanExit(*process);
  EXPECT_TRUE(HasLogged(*process, "stopped"));
}

INSTANTIATE_TEST_SUITE_P(
    Roles,
    RoleSignalsTest,
    testing::Values("entry", "agent", "platform-entry", "platform-agent"),
    [](const testing::TestParamInfo<std::string>& role) {
      std::string name = role.param;
      std::erase(name, '-');
      return name;
    });

}  // namespace
}  // namespace comfreyshift
