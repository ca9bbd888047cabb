// Keys and value encoding of the rows that hold the configuration, the databases and the primaries in the
// replicated state. Existing installations hold rows in this format, so it has to stay readable.
//
// The configuration is stored twice: as the text that the operator sent, which only controllers hold, and as
// one head row and one row for each service, route and tenant. Nodes receive only those of the latter that
// a change has changed. config/applied_changes.h describes the rows of the record of applied changes.
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

// Returns the rows of a configuration: values by key.
std::map<std::string, std::string> encode_configuration(const Configuration& configuration);

// Called with a route that was added or changed, or with nullopt if the route with this key was removed.
using RouteVisitor = std::function<void(const std::string& route_key, std::optional<Route>)>;
// Applies one row to a configuration, except that routes are passed to the visitor. `value` is null if the
// row was deleted. Returns false and changes nothing if the key is not that of a configuration row.
bool apply_configuration_row(Configuration& configuration, const std::string& key, const std::string* value,
                             const RouteVisitor& visit_route);

std::string encode_instance(const Instance& instance);
std::optional<Instance> decode_instance(const InstanceId& id, const std::string& value);
std::string encode_primary(const PrimaryAssignment& assignment);
std::optional<PrimaryAssignment> decode_primary(const std::string& value);

}  // namespace pebblespindle
