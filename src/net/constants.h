// Bounds of connections and messages, and pauses between attempts to connect. Each line above a constant says
// its unit and the reason for its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// Bytes; the wire's own bound on a message
constexpr std::size_t kMaxMessageBytes = 1 << 20;
// Bytes; a message on an inner link: a change of a whole configuration, escaped
constexpr std::size_t kMaxLinkBytes = 8 << 20;
// Bytes; four times the largest configuration seen
constexpr std::size_t kMaxHttpBodyBytes = 2 << 20;
// Bytes; ordinary header bound for control calls
constexpr std::size_t kMaxHttpHeaderBytes = 16384;
// Bytes; one shared read buffer per process, not per socket
constexpr std::size_t kReadChunkBytes = 16384;
// Bytes queued to a slow reader before its peer is not read
constexpr std::size_t kBackpressureBytes = 262144;
// Lines a client may send ahead before it is not read
constexpr std::size_t kBacklogLines = 64;
// ms; pause between tries to reach a core or agent
constexpr Millis kReconnectMs = 100;
// ms; how long a connection that ends waits for its peer to end too
constexpr Millis kLingerMs = 500;
// ms; a new connection answers within tens of ms when healthy
constexpr Millis kServerConnectMs = 1000;
// ms; a controller that just starts drops the opening packet: connect anew, don't wait for seconds
constexpr Millis kControllerConnectMs = 250;

}  // namespace pebblespindle
