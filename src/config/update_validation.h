// What the head of the chain decides about an offered update: pure, a function of the state alone.
#pragma once
#include "config/records.h"
#include "replication/environment.h"

namespace pebblespindle {

Json config_update(std::uint64_t base, const std::string& body);
Json patch_update(std::uint64_t base, const std::string& body);
Json instance_update(const Instance& i);
Json leave_update(const InstanceId& id);
// Replaces the lead of a service only if it still stands as expected (empty: none yet).
Json lead_update(const std::string& service, const std::string& expected, const Lead& next);

// What a node that stands at `from` is told so that it stands at `to`, as lines: the rows it needs, in pieces
// of bounded size that count together, with the last. From 0 it is a whole state, and says so.
std::vector<std::string> feed_lines(std::uint64_t from, std::uint64_t to, const std::vector<Row>& rows);

replication::ValidationResult judge_update(const StateTable& state, const Json& update);

}  // namespace pebblespindle
