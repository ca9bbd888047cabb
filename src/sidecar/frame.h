// The frames between sidecars, as bytes and as values. What another process has sent is not believed: nothing
// here throws, nests deeply or leaves a figure that cannot be.
#pragma once
#include <optional>

#include "sidecar/call.h"

namespace pebblespindle::sidecar {

// The type of the frame by which a sidecar says that it ends and takes no more offers.
inline constexpr const char* kShutdownFrame = "end";

std::string encode_frame(const Json& j);
std::optional<Json> decode_frame(std::string_view bytes);

// A figure inside its bounds, whatever was sent.
Millis clamped_field(const Json& m, const char* key, Millis fallback, Millis lowest, Millis highest);
std::uint64_t unsigned_field(const Json& m, const char* key);  // 0: none
std::string text_field(const Json& m, const char* key);
bool bool_field(const Json& m, const char* key);

// Whether it can be written into the head of a message without becoming two.
bool is_single_line(std::string_view s);
bool is_single_word(std::string_view s);

}  // namespace pebblespindle::sidecar
