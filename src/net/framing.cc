#include "net/framing.h"

namespace pebblespindle {
namespace {

constexpr std::size_t kLengthBytes = 4;  // bytes; of the length before an item
constexpr unsigned kBitsPerByte = 8;

std::size_t read_length(std::string_view bytes) {
  std::size_t length = 0;
  for (const char byte : bytes.substr(0, kLengthBytes))
    length = length << kBitsPerByte | static_cast<unsigned char>(byte);
  return length;
}

}  // namespace

FrameDecoder::Outcome FrameDecoder::next(std::string_view bytes, std::size_t& from,
                                         std::string_view& item) const {
  switch (framing_) {
    case Framing::kLfLines:
      return next_line("\n", bytes, from, item);
    case Framing::kCrLfLines:
      return next_line("\r\n", bytes, from, item);
    case Framing::kLengthPrefix:
      return next_with_length(bytes, from, item);
    case Framing::kBytes:
      break;
  }
  if (from == bytes.size()) return Outcome::kIncomplete;
  item = bytes.substr(from);
  from = bytes.size();
  return Outcome::kItem;
}

FrameDecoder::Outcome FrameDecoder::next_line(std::string_view terminator, std::string_view bytes,
                                              std::size_t& from, std::string_view& item) const {
  const std::size_t end = bytes.find(terminator, from);
  if (end == std::string_view::npos) {
    // A part of the terminator may have come already.
    const bool too_long = bytes.size() - from > max_item_bytes_ + terminator.size() - 1;
    return too_long ? Outcome::kTooLong : Outcome::kIncomplete;
  }
  if (end - from > max_item_bytes_) return Outcome::kTooLong;
  item = bytes.substr(from, end - from);
  from = end + terminator.size();
  return Outcome::kItem;
}

FrameDecoder::Outcome FrameDecoder::next_with_length(std::string_view bytes, std::size_t& from,
                                                     std::string_view& item) const {
  const std::string_view rest = bytes.substr(from);
  if (rest.size() < kLengthBytes) return Outcome::kIncomplete;
  const std::size_t length = read_length(rest);
  if (length > max_item_bytes_) return Outcome::kTooLong;
  if (rest.size() - kLengthBytes < length) return Outcome::kIncomplete;
  item = rest.substr(kLengthBytes, length);
  from += kLengthBytes + length;
  return Outcome::kItem;
}

}  // namespace pebblespindle
