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

// A member of 4 bytes of text takes over 100 bytes once it is parsed.
TEST(ParseJsonTest, BoundsMembersAndElements) {
  const auto parses = [](std::string_view text, const JsonLimits& limits) {
    return ParseJson(text, DuplicateKeys::kLastWins, limits).has_value();
  };
  const JsonLimits members{.m_max_members = 2};
  EXPECT_TRUE(parses(R"({"a":1,"b":[1,2,3,4]})", members));
  EXPECT_FALSE(parses(R"({"a":1,"b":2,"c":3})", members));
  EXPECT_FALSE(parses(R"([{"a":1,"b":2,"c":3}])", members));
  const JsonLimits elements{.m_max_elements = 2};
  EXPECT_TRUE(parses(R"({"a":1,"b":2,"c":[1,2]})", elements));
  EXPECT_FALSE(parses("[1,2,3]", elements));
  EXPECT_TRUE(parses("[[1,2],[1,2]]", elements));
  const JsonLimits values{.m_max_values = 5};
  EXPECT_TRUE(parses("[[1],[2,3]]", values));
  EXPECT_FALSE(parses("[[1],[2,3],[4]]", values));
}

// Text inside of strings has no shape.
TEST(ParseJsonTest, CountsNoCommasInStrings) {
  const JsonLimits limits{.m_max_members = 1, .m_max_elements = 1};
  EXPECT_TRUE(
      ParseJson(R"({"a,,,[[":"b,\",,{{"})", DuplicateKeys::kLastWins, limits));
}

}  // namespace
}  // namespace comfreyshift
