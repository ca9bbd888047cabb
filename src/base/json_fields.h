// Reads fields of messages; what is missing or of another type counts as the fallback.
#pragma once
#include "base/json_schema.h"

namespace pebblespindle {

template <class T>
T field(const Json& fields, const char* name, T fallback) {
  auto it = fields.find(name);
  if (it == fields.end()) return fallback;
  if constexpr (std::is_same_v<T, std::string>) {
    if (!it->is_string()) return fallback;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!it->is_boolean()) return fallback;
  } else if (!it->is_number_integer()) {
    return fallback;
  }
  return it->template get<T>();
}

inline std::uint64_t number(const Json& fields, const char* name) {
  return field<std::uint64_t>(fields, name, 0);
}

}  // namespace pebblespindle
