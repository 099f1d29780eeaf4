#include "http/response_parser.h"

#include <gtest/gtest.h>

#include <random>

namespace comfreyshift {
namespace {

using State = ResponseParser::State;

constexpr uint64_t kMaxBody = 1000;

const std::string kSized =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
    "5\r\n\r\nhello";
const std::string kChunked =
    "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: 1\r\n\r\n";
const std::string kUntilEnd = "HTTP/1.0 200 OK\r\n\r\nhello";

State Parse(ResponseParser& parser, const std::string& bytes) {
  return parser.Feed(bytes);
}

TEST(ResponseParserTest, ReadsASizedBody) {
  ResponseParser parser(kMaxBody);
  ASSERT_EQ(Parse(parser, kSized), State::kComplete);
  EXPECT_TRUE(parser.can_be_kept());
  const HttpResponse response = parser.TakeResponse();
  EXPECT_EQ(response.m_status, 200);
  EXPECT_EQ(response.m_body, "hello");
  EXPECT_EQ(response.m_headers.at("content-type"), "text/plain");
}

TEST(ResponseParserTest, ReadsChunks) {
  ResponseParser parser(kMaxBody);
  ASSERT_EQ(Parse(parser, kChunked), State::kComplete);
  EXPECT_TRUE(parser.can_be_kept());
  const HttpResponse response = parser.TakeResponse();
  EXPECT_EQ(response.m_status, 409);
  EXPECT_EQ(response.m_body, "hello");
}

TEST(ResponseParserTest, ReadsABodyThatEndsWithTheConnection) {
  ResponseParser parser(kMaxBody);
  ASSERT_EQ(Parse(parser, kUntilEnd), State::kIncomplete);
  ASSERT_EQ(parser.FeedEnd(), State::kComplete);
  EXPECT_FALSE(parser.can_be_kept());
  EXPECT_EQ(parser.TakeResponse().m_body, "hello");
}

TEST(ResponseParserTest, BytesMayArriveOneByOne) {
  for (const std::string& bytes : {kSized, kChunked}) {
    ResponseParser parser(kMaxBody);
    for (size_t i = 0; i + 1 < bytes.size(); ++i) {
      ASSERT_EQ(parser.Feed(bytes.substr(i, 1)), State::kIncomplete);
    }
    ASSERT_EQ(parser.Feed(bytes.substr(bytes.size() - 1)), State::kComplete);
    EXPECT_EQ(parser.TakeResponse().m_body, "hello");
  }
}

TEST(ResponseParserTest, SkipsInterimResponses) {
  ResponseParser parser(kMaxBody);
  ASSERT_EQ(Parse(parser, "HTTP/1.1 100 Continue\r\n\r\n" + kSized),
            State::kComplete);
  EXPECT_EQ(parser.TakeResponse().m_status, 200);
}

TEST(ResponseParserTest, AResponseWithoutContentHasNoBody) {
  ResponseParser parser(kMaxBody);
  ASSERT_EQ(Parse(parser, "HTTP/1.1 204 No Content\r\n\r\n"), State::kComplete);
  EXPECT_TRUE(parser.can_be_kept());
}

// Guards against a request on a connection that the server is closing, or whose
// next bytes belong to nobody.
TEST(ResponseParserTest, SaysWhenTheConnectionCannotBeKept) {
  for (const std::string& bytes :
       {std::string("HTTP/1.1 200 OK\r\nConnection: Close\r\n"
                    "Content-Length: 0\r\n\r\n"),
        std::string("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
        kSized + "x"}) {
    ResponseParser parser(kMaxBody);
    ASSERT_EQ(Parse(parser, bytes), State::kComplete) << bytes;
    EXPECT_FALSE(parser.can_be_kept()) << bytes;
  }
}

TEST(ResponseParserTest, RejectsWhatIsNoResponse) {
  for (const char* bytes :
       {"GET / HTTP/1.1\r\n\r\n", "HTTP/2 200 OK\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nnocolon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "\r\n\r\n"}) {
    ResponseParser parser(kMaxBody);
    EXPECT_EQ(Parse(parser, bytes), State::kMalformed) << bytes;
  }
  ResponseParser cut(kMaxBody);
  cut.Feed(kSized.substr(0, kSized.size() - 1));
  EXPECT_EQ(cut.FeedEnd(), State::kMalformed);
}

TEST(ResponseParserTest, RejectsTooLargeBodies) {
  const std::string large(kMaxBody + 1, 'x');
  for (const std::string& bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + large,
        "HTTP/1.1 200 OK\r\n\r\n" + large,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
            large}) {
    ResponseParser parser(kMaxBody);
    EXPECT_EQ(Parse(parser, bytes), State::kTooLarge);
  }
}

// A runner may send anything: each input ends in a state, however it is cut.
TEST(ResponseParserTest, MutatedResponsesEndInAState) {
  std::mt19937 random(20261205);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = round % 2 == 0 ? kSized : kChunked;
    for (uint32_t change = random() % 4; change > 0; --change) {
      const size_t at = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(at, 1 + random() % 5);
          break;
        default:
          bytes.insert(at, bytes.substr(random() % (at + 1), random() % 9));
          break;
      }
      if (bytes.empty()) {
        bytes = "H";
      }
    }
    ResponseParser whole(kMaxBody);
    ResponseParser cut(kMaxBody);
    const State state = whole.Feed(bytes);
    const size_t middle = random() % (bytes.size() + 1);
    State cut_state = cut.Feed(bytes.substr(0, middle));
    if (cut_state == State::kIncomplete) {
      cut_state = cut.Feed(bytes.substr(middle));
    }
    EXPECT_EQ(state, cut_state);
    if (state == State::kComplete) {
      EXPECT_LE(whole.TakeResponse().m_body.size(), kMaxBody);
    } else {
      EXPECT_NE(whole.FeedEnd(), State::kIncomplete);
    }
  }
}

}  // namespace
}  // namespace comfreyshift
