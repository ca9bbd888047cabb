// What a core tells of itself and of the fleet: sums first, and by name what is out of the ordinary.
#include "controller/controller.h"

namespace pebblespindle {

Json Controller::status(bool whole) const {
  Millis now = loop_.now();
  Json members = Json::array(), catching_up = Json::array();
  for (auto& m : replica_->view().members) {
    members.push_back(m.id);
    if (!(m.id == replica_->self() ? replica_->in_sync() : replica_->is_peer_in_sync(m.id)))
      catching_up.push_back(m.id);
  }
  // Sums first, and what is out of the ordinary by name: with hundreds of nodes the rest tells nothing.
  Json zones = Json::object(), behind = Json::array(), suspended = Json::array(), leaving = Json::array();
  for (auto& [name, e] : node_leases_.nodes()) {
    zones[e.zone] = zones.value(e.zone, 0) + 1;
    if (e.acknowledged < replica_->committed()) behind.push_back(name);
  }
  ClusterState cluster;
  cluster.follow(replica_->state());
  for (auto& [id, i] : cluster.instances())
    if (i.draining) leaving.push_back(id.value);
  for (auto& [service, l] : cluster.primaries())
    if (l.suspended) suspended.push_back(service);
  Json nodes{{"leases", node_leases_.count(now)}, {"by_zone", zones}, {"behind", behind}};
  Json databases{{"known", cluster.instances().size()}, {"leaving", leaving}};
  Json services{{"led", cluster.primaries().size()}, {"suspended", suspended}};
  Json rights = quota_allocator_->sums();  // by tenant, thousandths of an operation, here
  if (whole) {
    for (auto& [name, e] : node_leases_.nodes())
      nodes["all"][name] = {
          {"zone", e.zone}, {"acknowledged", e.acknowledged}, {"lease_ms", e.expires_at - now}};
    for (auto& [id, i] : cluster.instances())
      databases["all"].push_back({{"id", id.value},
                                  {"service", i.service},
                                  {"zone", i.zone},
                                  {"address", i.address.text()},
                                  {"draining", i.draining},
                                  {"primary", i.primary}});
    for (auto& [service, l] : cluster.primaries())
      services["all"][service] = {{"primary", l.primary.value}, {"suspended", l.suspended}, {"term", l.term}};
  }
  Json events = Json::array();
  for (auto& e : events_) events.push_back({{"ago_ms", now - e.at}, {"what", e.sentence}});
  Json revision;
  if (cluster.has_configuration()) revision = cluster.configuration().revision;
  return {{"core", settings_.node_name},
          {"zone", settings_.zone},
          {"name", replica_->self()},
          {"view",
           {{"number", replica_->view().number},
            {"chain", members},
            {"voters", replica_->view().voters},
            {"catching_up", catching_up}}},
          {"seated", replica_->holds_lease(now)},
          {"disk", replica_->disk_failed() ? "refuses writes" : "well"},
          {"change", {{"stored", replica_->state().last_sequence()}, {"committed", replica_->committed()}}},
          {"configuration", revision},
          {"duty",
           {{"holder", replica_->view().head()},
            {"token", replica_->view().term},
            {"held_here", replica_->is_leader(now)}}},
          {"nodes", nodes},
          {"rights", whole ? rights : Json()},
          {"services", services},
          {"trouble",
           {{"databases", outlier_detector_.databases(now)}, {"routes", outlier_detector_.routes(now)}}},
          {"events", events},
          {"databases", databases}};
}

}  // namespace pebblespindle
