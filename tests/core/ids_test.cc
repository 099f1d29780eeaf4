#include "core/core.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

// Guards against a resubmission that lands in another partition because its key
// does not survive text and back.
TEST(SubmissionKeyTest, TextRoundTripKeepsKeyAndTime) {
  const WallTime sent(Milliseconds(1'796'378'400'123));
  const SubmissionKey key =
      SubmissionKey::Make(sent, 0x1234567890abcdefULL, 42);
  const auto parsed = SubmissionKey::Parse(key.ToString());
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(*parsed, key);
  EXPECT_EQ(parsed->FirstSent(), sent);
  EXPECT_EQ(parsed->Partition(8192), key.Partition(8192));
}

TEST(SubmissionKeyTest, RejectsMalformedText) {
  EXPECT_FALSE(SubmissionKey::Parse(""));
  EXPECT_FALSE(SubmissionKey::Parse("0190163d-8694-739b-aea5-966c26f8ad9"));
  EXPECT_FALSE(SubmissionKey::Parse("0190163d+8694-739b-aea5-966c26f8ad91"));
  EXPECT_FALSE(SubmissionKey::Parse("0190163g-8694-739b-aea5-966c26f8ad91"));
}

TEST(SubmissionKeyTest, VersionFourHasNoTime) {
  const auto key = SubmissionKey::Parse("f47ac10b-58cc-4372-a567-0e02b2c3d479");
  ASSERT_TRUE(key.has_value());
  EXPECT_FALSE(key->FirstSent().has_value());
}

TEST(AddressTest, ReadsOnlyIpNumbersWithPorts) {
  EXPECT_EQ(Address::Parse("127.0.0.1:80"), (Address{"127.0.0.1", 80}));
  EXPECT_EQ(Address::Parse("[::1]:9")->ToString(), "[::1]:9");
  EXPECT_FALSE(Address::Parse("localhost:80"));
  EXPECT_FALSE(Address::Parse("127.0.0.1"));
  EXPECT_FALSE(Address::Parse("127.0.0.1:70000"));
}

}  // namespace
}  // namespace comfreyshift
