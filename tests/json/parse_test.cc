#include "json/parse.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

std::string MakeNestedArrays(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against a stack overflow, which copying a value nested 50,000 levels
// deep has caused.
TEST(ParseTest, RejectsTooDeeplyNestedText) {
  EXPECT_TRUE(ParseJson(MakeNestedArrays(kMaxJsonDepth)));
  EXPECT_FALSE(ParseJson(MakeNestedArrays(kMaxJsonDepth + 1)));
  EXPECT_FALSE(ParseJson(MakeNestedArrays(1'000'000)));
  EXPECT_FALSE(ParseJson(std::string(1'000'000, '[')));
  std::string objects;
  for (size_t i = 0; i <= kMaxJsonDepth; ++i) {
    objects += "{\"a\":";
  }
  EXPECT_FALSE(ParseJson(objects + "1" + std::string(kMaxJsonDepth + 1, '}')));
}

// Guards against rejecting valid text because of brackets inside strings.
TEST(ParseTest, IgnoresBracketsInStringsWhenCountingDepth) {
  const std::string text(1000, '[');
  const auto json = ParseJson(R"({"text":"\"\\\")" + text + "\"}");
  ASSERT_TRUE(json);
  EXPECT_EQ((*json)["text"], "\"\\\"" + text);
}

TEST(ParseTest, RejectsTextThatIsNotJson) {
  for (const char* text : {"", "{", "]", "[1,]", "\"\xff\"", "1e999", "\"\\"}) {
    EXPECT_FALSE(ParseJson(text)) << text;
  }
  EXPECT_FALSE(ParseJsonObject("[]"));
  EXPECT_TRUE(ParseJsonObject("{}"));
}

TEST(ParseTest, RejectsRepeatedKeysOnlyOnRequest) {
  constexpr const char* kText = R"({"a":{"b":1,"b":2}})";
  EXPECT_EQ(DumpJson(*ParseJson(kText)), R"({"a":{"b":2}})");
  EXPECT_FALSE(ParseJson(kText, DuplicateKeys::kRejected));
  EXPECT_TRUE(ParseJson(R"({"a":{"b":1},"b":2})", DuplicateKeys::kRejected));
}

// Guards against the undefined behavior of converting a double that does not
// fit into int64_t.
TEST(ParseTest, ReadIntegerRejectsNumbersOutOfRange) {
  const IntegerRange range{-5, 10};
  EXPECT_EQ(ReadInteger(Json(10), range), 10);
  EXPECT_EQ(ReadInteger(Json(-5), range), -5);
  EXPECT_EQ(ReadInteger(Json(9.9), range), 9);
  for (const Json& value :
       {Json(11), Json(-6), Json(1e300), Json(-1e300), Json(UINT64_MAX),
        Json("1"), Json(true), Json(), Json::array()}) {
    EXPECT_FALSE(ReadInteger(value, range)) << value;
  }
  const IntegerRange all{INT64_MIN, INT64_MAX};
  EXPECT_FALSE(ReadInteger(Json(9223372036854775808.0), all));
  EXPECT_EQ(ReadInteger(Json(-9223372036854775808.0), all), INT64_MIN);
  EXPECT_EQ(ReadInteger(Json(INT64_MAX), all), INT64_MAX);
}

// Guards against a crash on arbitrary bytes, and against parsed values that do
// not survive a round trip.
RC_GTEST_PROP(ParseTest,
              AnyBytesAreParsedOrRejected,
              (const std::string& text)) {
  const auto json = ParseJson(text);
  if (json) {
    RC_ASSERT(ParseJson(DumpJson(*json)) == json);
  }
}

}  // namespace
}  // namespace comfreyshift
