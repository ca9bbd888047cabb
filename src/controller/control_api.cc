// The calls of the control plane, but for those that change the configuration. What is answered from this
// core's own state is answered only while it serves: a core without a majority says 503.
#include "config/command_validation.h"
#include "controller/controller.h"

namespace pebblespindle {

namespace {

HttpReply plain(int status, const std::string& why = {}) {
  HttpReply r{status, why.empty() ? std::string() : Json{{"ErrorMessage", why}}.dump(), {}};
  return r;
}

}  // namespace

void Controller::on_http(HttpRequest r, HttpDone done) {
  auto answer = [this, done = std::move(done)](HttpReply reply) {
    done(std::move(reply));
    loop_.rearm();
  };
  const std::string prefix = "/instances/";
  if (r.path == "/configuration" && (r.method == "PUT" || r.method == "PATCH")) return on_config(r, answer);
  if (r.path == "/configuration" && r.method == "GET") {
    return replica_->read(loop_.now(), kConfigurationKey, [answer](Result<std::optional<std::string>> read) {
      if (!read) return answer(plain(503, "the chain gives no answer"));
      const std::optional<std::string>& body = *read;
      if (!body) return answer(plain(404, "no configuration yet"));
      answer({200, *body, {}});
    });
  }
  if (r.path.starts_with(prefix) && r.path.size() > prefix.size()) {
    std::string id = r.path.substr(prefix.size());
    if (r.method == "PUT") return on_beat(id, r, answer);
    if (r.method == "DELETE") {
      if (!may_grant()) return answer(plain(503, "out of the view"));
      return replica_->submit(loop_.now(), remove_instance({id}), [this, id, answer](Status a) {
        if (a.is_ok()) note("Database " + id + " has left.");
        answer(a.is_ok() ? HttpReply{} : plain(503, a.message()));
      });
    }
  }
  if (r.path == "/status" && r.method == "GET") return answer({200, status(false).dump(2) + "\n", {}});
  if (r.path == "/status/whole" && r.method == "GET") return answer({200, status(true).dump(2) + "\n", {}});
  answer(plain(404, "no such place"));
}

std::string Controller::beat_answer(const Instance& i) const {
  if (!may_grant()) return "{}";
  // Later beats go to the core in the database's own zone: no bytes between zones.
  auto port = settings_.listeners.at("ControlPlane").port;
  if (i.zone == settings_.zone && !replica_->is_leaving())
    return Json{{"HeartbeatEndpoint", settings_.listeners.at("ControlPlane").text()}}.dump();
  for (auto& [name, p] : peers_)
    if (p.zone == i.zone && p.conn && in_view(name))
      return Json{{"HeartbeatEndpoint", Endpoint{name, port}.text()}}.dump();
  return "{}";
}

void Controller::on_beat(const std::string& id, const HttpRequest& r, HttpDone done) {
  if (!may_grant()) return done(plain(503, "out of the view"));
  auto beat = read_instance_heartbeat(id, r.body);
  if (!beat) return done(plain(400, beat.status().message()));
  const Instance& i = *beat;
  const Row* row = replica_->state().find_including_deleted(instance_key(i.id));
  auto old = row && !row->deleted ? decode_instance(i.id, row->value) : std::nullopt;
  bool plain_renewal = row && (row->deleted || (old && old->same_but_calls(i)));
  if (plain_renewal && replica_->may_serve(loop_.now())) return done({200, beat_answer(i), {}});
  std::string news;
  if (!old)
    news = " joins at " + i.address.text() + (i.primary ? " as primary." : " as replica.");
  else if (i.draining && !old->draining)
    news = " is leaving.";
  replica_->submit(loop_.now(), put_instance(i), [this, i, done, news](Status a) {
    if (!a.is_ok()) return done(plain(http_status(a), a.message()));
    if (!news.empty()) note("Database " + i.id.value + " of " + i.service + news);
    done({200, beat_answer(i), {}});
    if (i.primary) {
      if (replica_->is_leader(loop_.now()))
        failover_->on_heartbeat(loop_.now(), i);
      else
        send(replica_->view().head(), {{"t", "told"}, {"id", i.id.value}, {"v", encode_instance(i)}});
    }
  });
}

// A database that speaks to the proxy on its own machine: its word comes with the agent.
void Controller::on_relayed_beat(const std::shared_ptr<Agent>& t, const Json& m) {
  const std::string id = m.value("id", ""), kind = m.value("t", "");
  auto done = [this, t, id, kind, calls = m.value("calls", std::uint64_t(0))](Status a) {
    if (a.is_ok() && kind == "leave") note("Database " + id + " has left.");
    t->conn->send(Json{{"t", "beaten"}, {"id", id}, {"calls", calls}, {"s", http_status(a)}}.dump() + "\n");
  };
  if (!may_grant()) return done(Status::unavailable("out of the view"));
  if (kind == "leave") return replica_->submit(loop_.now(), remove_instance({id}), done);
  auto i = decode_instance({id}, m.value("v", ""));
  if (!i) return done(Status::invalid_argument("not an instance"));
  replica_->submit(loop_.now(), put_instance(*i), done);
}

}  // namespace pebblespindle
