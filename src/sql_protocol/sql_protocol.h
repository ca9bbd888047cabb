// The wire of clients and databases: lines of a word and fields.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"

namespace pebblespindle::sql_protocol {

// Takes the next blank-separated field off the front of a line.
std::string_view take(std::string_view& line);

enum class Verb {
  kBegin,
  kCommit,
  kRollback,
  kFetch,
  kStore,
  kConfigure,
  kPrepare,
  kExecute,
  kRelease,
  kBad
};

struct Statement {
  Verb verb = Verb::kBad;
  bool read_only = false;       // BEGIN FETCH, or the kind of a PREPARE
  std::string_view name, rest;  // CONFIGURE, PREPARE, EXECUTE, RELEASE: the name and what follows it
};

Statement parse_statement(std::string_view text);

struct Idle {
  char state = 'I';
  std::optional<Position> position;
};
std::optional<Idle> parse_idle(std::string_view fields);  // what stands behind IDLE

std::string query(std::string_view id, std::string_view text);
std::string idle(char state, std::string_view position);
std::string error(std::string_view code, std::string_view text);

// Codes that promise that nothing of the try is kept.
bool is_promise(std::string_view code);

// The row that answers INFO, PAUSE and STEPDOWN.
struct Info {
  bool primary = false;
  std::uint64_t term = 0;
  Position received;
  std::uint64_t held = 0;
  Millis lag_ms = 0;
};
std::optional<Info> parse_info(std::string_view row);

}  // namespace pebblespindle::sql_protocol
