// What ends an item and what is data, for each framing; however the bytes arrive.
#include "net/framing.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pebblespindle {
namespace {

constexpr std::size_t kMaxItemBytes = 16;

struct Decoded {
  std::vector<std::string> items;
  bool too_long = false;
  std::string rest;  // what is not complete
};

// Decodes the bytes as they arrive in pieces of this size.
Decoded decode(Framing framing, const std::string& bytes, std::size_t piece) {
  const FrameDecoder decoder(framing, kMaxItemBytes);
  Decoded decoded;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    decoded.rest += bytes.substr(at, piece);
    std::size_t from = 0;
    std::string_view item;
    FrameDecoder::Outcome outcome;
    while ((outcome = decoder.next(decoded.rest, from, item)) == FrameDecoder::Outcome::kItem)
      decoded.items.emplace_back(item);
    decoded.too_long = outcome == FrameDecoder::Outcome::kTooLong;
    if (decoded.too_long) break;
    decoded.rest.erase(0, from);
  }
  return decoded;
}

void expect_items(Framing framing, const std::string& bytes, const std::vector<std::string>& items,
                  const std::string& rest = "") {
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    const Decoded decoded = decode(framing, bytes, piece);
    EXPECT_EQ(decoded.items, items) << "pieces of " << piece;
    EXPECT_EQ(decoded.rest, rest) << "pieces of " << piece;
    EXPECT_FALSE(decoded.too_long);
  }
}

bool is_too_long(Framing framing, const std::string& bytes) {
  return decode(framing, bytes, 1).too_long && decode(framing, bytes, bytes.size()).too_long;
}

// Guards against a statement smuggled inside the data of another one: a line feed by itself ended a message.
TEST(Framing, ALineFeedOrACarriageReturnByItselfIsDataOfAMessage) {
  expect_items(Framing::kCrLfLines, "a\nb\r\n", {"a\nb"});
  expect_items(Framing::kCrLfLines, "a\rb\r\n", {"a\rb"});
  expect_items(Framing::kCrLfLines, "\n\r\n\n\n\r\n", {"\n", "\n\n"});
  expect_items(Framing::kCrLfLines, "a\r\r\n", {"a\r"});
  expect_items(Framing::kCrLfLines, std::string("a\0b\r\n", 5), {std::string("a\0b", 3)});
}

TEST(Framing, CrLfEndsAMessage) {
  expect_items(Framing::kCrLfLines, "a\r\n\r\nb\r\nc", {"a", "", "b"}, "c");
  expect_items(Framing::kCrLfLines, "a\r", {}, "a\r");
}

TEST(Framing, ALineFeedEndsAMessageBetweenOwnProcesses) {
  expect_items(Framing::kLfLines, "{}\n{\"a\":1}\n{", {"{}", "{\"a\":1}"}, "{");
}

TEST(Framing, ALengthSaysWhereAnItemEnds) {
  expect_items(Framing::kLengthPrefix, std::string("\0\0\0\2\r\n\0\0\0\0\0\0\0\3a\nb\0", 18),
               {"\r\n", "", "a\nb"}, std::string(1, '\0'));
}

TEST(Framing, AnItemIsAsLongAsTheLimitAtMost) {
  const std::string full(kMaxItemBytes, 'x');
  expect_items(Framing::kCrLfLines, full + "\r\n", {full});
  expect_items(Framing::kLfLines, full + "\n", {full});
  expect_items(Framing::kLengthPrefix, std::string("\0\0\0\20", 4) + full, {full});
  EXPECT_TRUE(is_too_long(Framing::kCrLfLines, full + "x\r\n"));
  EXPECT_TRUE(is_too_long(Framing::kCrLfLines, full + "xx"));
  EXPECT_TRUE(is_too_long(Framing::kLfLines, full + "x\n"));
  EXPECT_TRUE(is_too_long(Framing::kLengthPrefix, std::string("\0\0\0\21", 4)));
}

TEST(Framing, BytesAreHandedOnAsTheyCome) {
  const Decoded decoded = decode(Framing::kBytes, "a\r\nb", 2);
  EXPECT_EQ(decoded.items, (std::vector<std::string>{"a\r", "\nb"}));
}

}  // namespace
}  // namespace pebblespindle
