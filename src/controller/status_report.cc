#include "controller/status_report.h"

#include "base/exception_barrier.h"

namespace pebblespindle {
namespace {

Json stopped_exceptions_by_boundary() {
  Json by_boundary = Json::object();
  for (auto& [boundary, count] : stopped_exceptions()) by_boundary[name_of(boundary)] = count;
  return by_boundary;
}

}  // namespace

StatusReport::StatusReport(const Sources& sources, Instant now) : sources_(sources), now_(now) {
  cluster_.update_from(sources.replica.state());
}

Json StatusReport::document(bool verbose) const {
  const auto& replica = sources_.replica;
  const auto& outliers = sources_.outlier_detector;
  Json revision;
  if (cluster_.has_configuration()) revision = cluster_.configuration().revision;
  Json rights =
      verbose ? sources_.quota_allocator.balances() : Json();  // by tenant, thousandths of an operation
  return {{"core", sources_.settings.node_name},
          {"zone", sources_.settings.zone},
          {"name", replica.self()},
          {"view", view()},
          {"seated", replica.holds_lease(now_)},
          {"disk", replica.disk_failed() ? "refuses writes" : "well"},
          {"failed_validations", replica.failed_validation_count()},
          {"stopped_exceptions", stopped_exceptions_by_boundary()},
          {"change", {{"stored", replica.state().last_sequence()}, {"committed", replica.committed()}}},
          {"configuration", revision},
          {"duty",
           {{"holder", replica.view().head()},
            {"token", replica.view().term},
            {"held_here", replica.is_leader(now_)}}},
          {"nodes", nodes(verbose)},
          {"rights", rights},
          {"services", services(verbose)},
          {"trouble", {{"databases", outliers.databases(now_)}, {"routes", outliers.routes(now_)}}},
          {"events", events()},
          {"databases", databases(verbose)}};
}

Json StatusReport::view() const {
  const auto& replica = sources_.replica;
  Json chain = Json::array();
  Json catching_up = Json::array();
  for (auto& member : replica.view().members) {
    chain.push_back(member.id);
    const bool in_sync = member.id == replica.self() ? replica.in_sync() : replica.is_peer_in_sync(member.id);
    if (!in_sync) catching_up.push_back(member.id);
  }
  return {{"number", replica.view().number},
          {"chain", chain},
          {"voters", replica.view().voters},
          {"catching_up", catching_up}};
}

Json StatusReport::nodes(bool verbose) const {
  Json by_zone = Json::object();
  Json behind = Json::array();
  for (auto& [name, node] : sources_.node_leases.nodes()) {
    by_zone[node.zone] = by_zone.value(node.zone, 0) + 1;
    if (node.acknowledged < sources_.replica.committed()) behind.push_back(name);
  }
  Json nodes{{"leases", sources_.node_leases.count(now_)}, {"by_zone", by_zone}, {"behind", behind}};
  if (!verbose) return nodes;
  for (auto& [name, node] : sources_.node_leases.nodes())
    nodes["all"][name] = {
        {"zone", node.zone}, {"acknowledged", node.acknowledged}, {"lease_ms", node.expires_at - now_}};
  return nodes;
}

Json StatusReport::databases(bool verbose) const {
  Json leaving = Json::array();
  for (auto& [id, instance] : cluster_.instances())
    if (instance.draining) leaving.push_back(id.value);
  Json databases{{"known", cluster_.instances().size()}, {"leaving", leaving}};
  if (!verbose) return databases;
  for (auto& [id, instance] : cluster_.instances())
    databases["all"].push_back({{"id", id.value},
                                {"service", instance.service},
                                {"zone", instance.zone},
                                {"address", instance.address.text()},
                                {"draining", instance.draining},
                                {"primary", instance.primary}});
  return databases;
}

Json StatusReport::services(bool verbose) const {
  Json suspended = Json::array();
  for (auto& [service, assignment] : cluster_.primaries())
    if (assignment.suspended) suspended.push_back(service);
  Json services{{"led", cluster_.primaries().size()}, {"suspended", suspended}};
  if (!verbose) return services;
  for (auto& [service, assignment] : cluster_.primaries())
    services["all"][service] = {{"primary", assignment.primary.value},
                                {"suspended", assignment.suspended},
                                {"term", assignment.term}};
  return services;
}

Json StatusReport::events() const {
  Json events = Json::array();
  for (auto& event : sources_.events.newest())
    events.push_back({{"ago_ms", now_ - event.at}, {"what", event.text}});
  return events;
}

}  // namespace pebblespindle
