// How configuration, databases and primaries stand in the replicated state: keys, and the form of the values.
// Installations hold rows of this form.
//
// A configuration stands there twice: as it was sent, which controllers alone keep, and in parts, of which
// nodes are told what a change has changed: a head, and a row for each service, route and tenant. Beside it
// stands the record of applied changes (config/applied_changes.h).
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "config/configuration.h"
#include "config/instance.h"

namespace pebblespindle {

inline const std::string kConfigurationKey = "c", kConfigurationHeadKey = "h", kServicePrefix = "v/",
                         kRoutePrefix = "r/", kTenantPrefix = "k/", kInstancePrefix = "i/",
                         kPrimaryPrefix = "s/";

std::string instance_key(const InstanceId& id);
std::string primary_key(const std::string& service);

// The parts of a configuration: values by key.
std::map<std::string, std::string> encode_configuration(const Configuration& configuration);

// A route that was added or changed; none: the route of that key was removed.
using RouteVisitor = std::function<void(const std::string& route_key, std::optional<Route>)>;
// Enters a part into a configuration; routes are handed to the visitor. value: null when the row was deleted.
// False, and nothing is changed, when the key is not that of a part.
bool apply_configuration_row(Configuration& configuration, const std::string& key, const std::string* value,
                             const RouteVisitor& visit_route);

std::string encode_instance(const Instance& instance);
std::optional<Instance> decode_instance(const InstanceId& id, const std::string& value);
std::string encode_primary(const PrimaryAssignment& assignment);
std::optional<PrimaryAssignment> decode_primary(const std::string& value);

}  // namespace pebblespindle
