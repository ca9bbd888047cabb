// Encodes and decodes the frames between sidecars, which are MessagePack objects. Input from another process
// is not trusted: nothing here throws, recurses deeply, or returns a number out of its bounds.
#pragma once
#include <optional>

#include "sidecar/call.h"

namespace pebblespindle::sidecar {

// Type of the frame with which a sidecar announces that it shuts down and accepts no more offers.
inline constexpr const char* kShutdownFrame = "end";

std::string encode_frame(const Json& frame);
// Returns nothing if the bytes are not one whole frame.
std::optional<Json> decode_frame(std::string_view bytes);

// Returns the number at `key`, limited to [lowest, highest], or `fallback` if there is none.
Millis clamped_field(const Json& frame, const char* key, Millis fallback, Millis lowest, Millis highest);
std::uint64_t unsigned_field(const Json& frame, const char* key);  // 0 if missing or not positive
// The two below return an empty text or false for a field that is missing or of another type.
std::string text_field(const Json& frame, const char* key);
bool bool_field(const Json& frame, const char* key);

// Whether the text can be written as a field value, or as a word, into the head of an HTTP message without
// starting another line or word.
bool is_single_line(std::string_view text);
bool is_single_word(std::string_view text);

}  // namespace pebblespindle::sidecar
