#include "platform/settings.h"

#include <gtest/gtest.h>

namespace comfreyshift::platform {
namespace {

constexpr const char* kFile =
    "node_name=side-1\nip=10.1.0.14\nzone=z\nlisten.control=10.1.0.14:8166\n"
    "port_range=7720,7735\napp=10.1.0.14:8165\nbounds.grace_s=6\n"
    "platform.address=10.200.1.7:8169\nsomething.new=1\n";

// Guards against rejecting a file with unknown fields: the platform requires
// that they are ignored.
TEST(PlatformSettingsTest, ParsesKnownFieldsAndIgnoresOthers) {
  const auto settings = ParseSettings(kFile);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings.value().m_name, "side-1");
  EXPECT_EQ(settings.value().m_link_address, (Address{"10.1.0.14", 7720}));
  EXPECT_EQ(settings.value().m_runner_address, (Address{"10.1.0.14", 8165}));
  EXPECT_EQ(settings.value().m_store_address, (Address{"10.200.1.7", 8169}));
  EXPECT_FALSE(settings.value().m_client_address);
  EXPECT_EQ(settings.value().m_grace_period, Milliseconds(6000));
}

// Guards against starting a process with incomplete settings.
TEST(PlatformSettingsTest, ErrorNamesTheInvalidField) {
  const auto no_name = ParseSettings("ip=10.1.0.14\n");
  ASSERT_FALSE(no_name);
  EXPECT_NE(no_name.error().find("node_name"), std::string::npos);
  const auto no_store = ParseSettings("node_name=a\nplatform.address=here\n");
  ASSERT_FALSE(no_store);
  EXPECT_NE(no_store.error().find("platform.address"), std::string::npos);
  const auto no_ports =
      ParseSettings("node_name=a\nplatform.address=10.0.0.1:1\nport_range=x\n");
  ASSERT_FALSE(no_ports);
  EXPECT_NE(no_ports.error().find("port_range"), std::string::npos);
}

TEST(PlatformSettingsTest, InvalidRemoteFactorIsRejected) {
  const std::string text =
      "node_name=a\nip=10.1.0.14\nport_range=7720,7735\n"
      "platform.address=10.1.0.9:1\n";
  EXPECT_DOUBLE_EQ(ParseSettings(text).value().m_remote_factor, 1.5);
  EXPECT_DOUBLE_EQ(
      ParseSettings(text + "bounds.remote_factor=3\n").value().m_remote_factor,
      3.0);
  for (const char* wrong : {"0.5", "x", "nan", "inf", "2x"}) {
    EXPECT_FALSE(ParseSettings(text + "bounds.remote_factor=" + wrong + "\n"))
        << wrong;
  }
}

// Guards against a deployment whose runners grant longer leases than ours do.
TEST(PlatformSettingsTest, LongestLeaseOfARunnerIsRead) {
  const std::string text =
      "node_name=a\nip=10.1.0.14\nport_range=7720,7735\n"
      "platform.address=10.200.1.7:8169\n";
  EXPECT_EQ(ParseSettings(text).value().m_max_runner_lease, Milliseconds(1000));
  EXPECT_EQ(ParseSettings(text + "bounds.max_hold_ms=2500\n")
                .value()
                .m_max_runner_lease,
            Milliseconds(2500));
  for (const char* wrong : {"0", "-1", "x", "3600001"}) {
    const auto settings =
        ParseSettings(text + "bounds.max_hold_ms=" + wrong + "\n");
    ASSERT_FALSE(settings) << wrong;
    EXPECT_NE(settings.error().find("bounds.max_hold_ms"), std::string::npos);
  }
}

// Guards against an overflow: the grace period is added to a time point when
// the process stops.
TEST(PlatformSettingsTest, InvalidGracePeriodIsRejected) {
  const std::string text =
      "node_name=a\nip=10.1.0.14\nport_range=7720,7735\n"
      "platform.address=10.1.0.9:1\n";
  EXPECT_EQ(ParseSettings(text).value().m_grace_period, Milliseconds(6000));
  EXPECT_EQ(
      ParseSettings(text + "bounds.grace_s=3600\n").value().m_grace_period,
      std::chrono::hours(1));
  for (const char* wrong :
       {"-1", "3601", "9223372036854775807", "9223372036854775808", "x"}) {
    const auto settings =
        ParseSettings(text + "bounds.grace_s=" + wrong + "\n");
    ASSERT_FALSE(settings) << wrong;
    EXPECT_NE(settings.error().find("bounds.grace_s"), std::string::npos);
  }
}

// Guards against limits on clients that do not fit the machine.
TEST(PlatformSettingsTest, ReadsTheLimitsOfTheMachine) {
  const std::string text =
      "node_name=a\nip=10.1.0.14\nport_range=7720,7735\n"
      "platform.address=10.1.0.9:1\n";
  EXPECT_EQ(ParseSettings(text).value().m_memory_mb, 120U);
  EXPECT_EQ(ParseSettings(text).value().m_max_descriptors, 3075U);
  const auto read =
      ParseSettings(text + "limits.memory_mb=512\nlimits.max_fds=10250\n");
  EXPECT_EQ(read.value().m_memory_mb, 512U);
  EXPECT_EQ(read.value().m_max_descriptors, 10'250U);
  for (const char* field : {"limits.memory_mb", "limits.max_fds"}) {
    for (const char* wrong : {"0", "-1", "1000001", "x"}) {
      const auto settings = ParseSettings(text + field + "=" + wrong + "\n");
      ASSERT_FALSE(settings) << field << wrong;
      EXPECT_NE(settings.error().find(field), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace comfreyshift::platform
