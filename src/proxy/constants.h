// What both proxies share. Each line above a constant says its unit and the reason for its value.
#pragma once
#include "base/types.h"

namespace pebblespindle {

// ms; the platform asks each second and needs two misses
constexpr Millis kUnreadinessNoticeMs = 2500;

}  // namespace pebblespindle
