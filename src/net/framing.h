// How the bytes of a TCP connection are divided into items. Every connection names its framing; each protocol
// has exactly one. No I/O.
#pragma once
#include <cstddef>
#include <string_view>

namespace pebblespindle {

enum class Framing {
  // Items are whatever one read returns; the reader of the connection finds the messages itself (HTTP).
  kBytes,
  // A line feed ends an item. For links between our own processes, whose messages are JSON on one line: JSON
  // escapes a line feed inside a text.
  kLfLines,
  // CR LF ends an item. For the wire of clients and databases, where the last field extends to that end: a CR
  // or a line feed by itself is data.
  kCrLfLines,
  // A length of four bytes, big-endian, stands before each item.
  kLengthPrefix,
};

// Finds the items in the bytes received so far. It has no state of its own: the caller keeps what is
// incomplete.
class FrameDecoder {
 public:
  enum class Outcome {
    kItem,
    kIncomplete,  // more bytes are needed
    kTooLong,     // the item exceeds the limit; nothing behind it can be read
  };

  // max_item_bytes: the largest item, without its terminator or length.
  FrameDecoder(Framing framing, std::size_t max_item_bytes)
      : framing_(framing), max_item_bytes_(max_item_bytes) {}

  // Looks for the item that begins at bytes[from]. With kItem, `item` is a part of `bytes`, without
  // terminator or length, and `from` is moved behind it; otherwise both stay as they are.
  Outcome next(std::string_view bytes, std::size_t& from, std::string_view& item) const;

 private:
  Outcome next_line(std::string_view terminator, std::string_view bytes, std::size_t& from,
                    std::string_view& item) const;
  Outcome next_with_length(std::string_view bytes, std::size_t& from, std::string_view& item) const;

  Framing framing_;
  std::size_t max_item_bytes_;
};

}  // namespace pebblespindle
