#include "core/mac.h"

#include <gtest/gtest.h>

#include <vector>

namespace comfreyshift {
namespace {

// Test case 2 of RFC 4231, cut to 16 bytes.
TEST(MacTest, MatchesRfc4231) {
  const std::string text = "what do ya want for nothing?";
  const std::vector<uint8_t> data(text.begin(), text.end());
  const MacTag expected = {0x5b, 0xdc, 0xc1, 0x46, 0xbf, 0x60, 0x75, 0x4e,
                           0x6a, 0x04, 0x24, 0x26, 0x08, 0x95, 0x75, 0xc7};
  EXPECT_EQ(ComputeMac("Jefe", data), expected);
}

TEST(MacTest, ConstantTimeEqualComparesContent) {
  EXPECT_TRUE(ConstantTimeEqual("abc", "abc"));
  EXPECT_FALSE(ConstantTimeEqual("abc", "abd"));
  EXPECT_FALSE(ConstantTimeEqual("abc", "abcd"));
}

}  // namespace
}  // namespace comfreyshift
