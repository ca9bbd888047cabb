// The frames between sidecars, as bytes and as values. What another process has sent is not believed: nothing
// here throws, nests deeply or leaves a figure that cannot be.
#pragma once
#include <optional>

#include "sidecar/call.h"

namespace pebblespindle::sidecar {

// The type of the frame by which a sidecar says that it ends and takes no more offers.
inline constexpr const char* kEndFrame = "end";

std::string packed(const Json& j);
std::optional<Json> unpacked(std::string_view bytes);

// A figure inside its bounds, whatever was sent.
Millis figure(const Json& m, const char* key, Millis otherwise, Millis least, Millis most);
std::uint64_t number(const Json& m, const char* key);  // 0: none
std::string text(const Json& m, const char* key);
bool flag(const Json& m, const char* key);

// Whether it can be written into the head of a message without becoming two.
bool one_line(std::string_view s);
bool one_word(std::string_view s);

}  // namespace pebblespindle::sidecar
