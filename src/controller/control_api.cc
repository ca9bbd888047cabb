// The calls of the control plane (the page's GET, PUT and PATCH /configuration, PUT and DELETE /instances/ID,
// and GET /status). What is answered from this controller's own state is answered only while it may serve:
// one without a majority says 503.
#include "config/commands.h"
#include "config/configuration_reader.h"
#include "controller/constants.h"
#include "controller/controller.h"

namespace pebblespindle {
namespace {

const char* const kInstancesPath = "/instances/";
constexpr std::size_t kMaxVersionDigits = 18;  // digits; below what 64 bits hold

HttpReply error_reply(int status, const std::string& message) {
  return {status, message.empty() ? std::string() : Json{{"ErrorMessage", message}}.dump(), {}};
}

HttpReply reply_of(const Status& status) {
  return error_reply(http_status(status), status.message());
}

// Texts of databases stand in events, and may hold bytes that are no UTF-8.
HttpReply status_reply(const Json& status) {
  return {200, status.dump(2, ' ', false, Json::error_handler_t::replace) + "\n", {}};
}

// The version that a change builds on.
Result<std::uint64_t> base_version(const HttpRequest& request) {
  auto header = request.headers.find("if-match");
  if (header == request.headers.end()) return Status::invalid_argument("If-Match is missing");
  std::string digits = header->second;
  std::erase(digits, '"');
  const bool is_number = !digits.empty() && digits.size() <= kMaxVersionDigits &&
                         digits.find_first_not_of("0123456789") == std::string::npos;
  if (!is_number) return Status::invalid_argument("If-Match is not a number");
  return std::uint64_t(std::stoull(digits));
}

}  // namespace

void Controller::on_http(const HttpRequest& request, HttpDone done) {
  auto answer = [this, done = std::move(done)](HttpReply reply) {
    done(std::move(reply));
    loop_.rearm();
  };
  if (exiting_) return answer(error_reply(503, "this controller ends"));
  const std::string prefix = kInstancesPath;
  const bool get = request.method == "GET";
  if (request.path == "/configuration") {
    if (request.method == "PUT" || request.method == "PATCH") return on_change_configuration(request, answer);
    if (get) return on_get_configuration(answer);
  } else if (request.path.starts_with(prefix) && request.path.size() > prefix.size()) {
    const std::string id = request.path.substr(prefix.size());
    if (request.method == "PUT") return on_put_instance(id, request, answer);
    if (request.method == "DELETE") return on_delete_instance(id, answer);
  } else if (request.path == "/status" && get) {
    return answer(status_reply(status(false)));
  } else if (request.path == "/status/whole" && get) {
    return answer(status_reply(status(true)));
  }
  answer(error_reply(404, "no such place"));
}

Json Controller::status(bool verbose) const {
  const StatusReport::Sources sources{settings_,         *replica_,        node_leases_,
                                      outlier_detector_, quota_allocator_, events_};
  return StatusReport(sources, loop_.now()).document(verbose);
}

// --- configuration
// --------------------------------------------------------------------------------------------

void Controller::on_get_configuration(HttpDone done) {
  replica_->read(loop_.now(), kConfigurationKey, [done](const Result<std::optional<std::string>>& body) {
    if (!body) return done(error_reply(503, "the chain gives no answer"));
    if (!*body) return done(error_reply(404, "no configuration yet"));
    done({200, **body, {}});
  });
}

void Controller::on_change_configuration(const HttpRequest& request, HttpDone done) {
  auto base = base_version(request);
  if (!base) return done(reply_of(base.status()));
  // What no state makes valid is refused here. All else is the head's to decide, under its lease.
  const bool patch = request.method == "PATCH";
  Status valid;
  std::string change = "change of version=" + std::to_string(*base);
  if (patch) {
    valid = check_patch(request.body);
  } else if (auto configuration = read_configuration(request.body)) {
    change = "revision=" + std::to_string(configuration->revision);
  } else {
    valid = configuration.status();
  }
  if (!valid.is_ok()) {
    log_event("configuration refused: " + valid.message());
    return done(reply_of(valid));
  }
  Json command = patch ? patch_configuration(*base, request.body) : put_configuration(*base, request.body);
  if (Status refused = refusal_on_stored_version(*base, command); !refused.is_ok()) {
    log_event("configuration refused: " + refused.message());
    return done(reply_of(refused));
  }
  // What is acknowledged must bear the losses asked for: the first one waits until the voters are complete.
  const bool first = !replica_->state().find(kConfigurationKey);
  if (first && !replica_->has_all_voters() && loop_.now() < started_ + kInitialVotersWaitMs)
    return done(error_reply(503, "the core is still growing"));
  replica_->submit(loop_.now(), std::move(command), [this, done, change](const Status& result) {
    log_event("configuration " + (result.is_ok() ? "acknowledged: " + change
                                                 : "not acknowledged: " + change + ", " + result.message()));
    done(reply_of(result));
  });
}

// A change that is invalid on top of the version it names is so for ever. A controller that stores this
// version can tell by itself, also while no head answers. The head decides itself, under its lease.
Status Controller::refusal_on_stored_version(std::uint64_t base, const Json& command) {
  if (replica_->view().head() == replica_->self() && holds_lease()) return Status::ok();
  if (!replica_->all_committed()) return Status::ok();
  cluster_.update_from(replica_->state());
  if (!cluster_.has_configuration() || cluster_.configuration().revision != base) return Status::ok();
  const auto result = replica_->validate(command);
  return result.status.code() == StatusCode::kInvalidArgument ? result.status : Status::ok();
}

// --- databases
// ------------------------------------------------------------------------------------------------

std::string Controller::heartbeat_answer(const Instance& instance) const {
  if (!holds_lease()) return "{}";
  // Later heartbeats go to the controller in the database's own zone: no bytes between zones.
  const Endpoint& own = settings_.listeners.at("ControlPlane");
  if (instance.zone == settings_.zone && !replica_->is_leaving())
    return Json{{"HeartbeatEndpoint", own.text()}}.dump();
  for (auto& [host, peer] : peers_.all())
    if (peer.zone == instance.zone && peer.connection && is_in_view(host))
      return Json{{"HeartbeatEndpoint", Endpoint{host, own.port}.text()}}.dump();
  return "{}";
}

void Controller::on_put_instance(const std::string& id, const HttpRequest& request, HttpDone done) {
  auto read = read_instance_heartbeat(id, request.body);
  if (!read) return done(reply_of(read.status()));
  if (!holds_lease()) return done(error_reply(503, "out of the view"));
  const Instance& instance = *read;
  const Row* row = replica_->state().find_including_deleted(instance_key(instance.id));
  const auto known = row && !row->deleted ? decode_instance(instance.id, row->value) : std::nullopt;
  const bool says_nothing_new =
      row && (row->deleted || (known && known->equals_ignoring_call_count(instance)));
  if (says_nothing_new && replica_->may_serve(loop_.now()))
    return done({200, heartbeat_answer(instance), {}});
  std::string event;
  if (!known)
    event =
        "joins: address=" + instance.address.text() + (instance.primary ? " role=primary" : " role=replica");
  else if (instance.draining && !known->draining)
    event = "is leaving:";
  replica_->submit(loop_.now(), put_instance(instance), [this, instance, done, event](const Status& result) {
    if (!result.is_ok()) return done(reply_of(result));
    done({200, heartbeat_answer(instance), {}});
    on_instance_stored(instance, event);
  });
}

void Controller::on_instance_stored(const Instance& instance, const std::string& event) {
  if (!event.empty())
    log_event("database " + event + " id=" + instance.id.value + " service=" + instance.service);
  if (!instance.primary) return;
  if (replica_->is_leader(loop_.now()))
    failover_->on_heartbeat(loop_.now(), instance);
  else
    peers_.send(replica_->view().head(),
                {{"t", "told"}, {"id", instance.id.value}, {"v", encode_instance(instance)}});
}

void Controller::on_delete_instance(const std::string& id, HttpDone done) {
  if (!holds_lease()) return done(error_reply(503, "out of the view"));
  retire({id}, [this, id, done](const Status& result) {
    if (!result.is_ok()) return done(error_reply(503, result.message()));
    log_event("database left: id=" + id);
    done({});
  });
}

// A head of an older build does not know of retirement yet.
void Controller::retire(const InstanceId& id, const replication::SubmitCallback& done) {
  replica_->submit(loop_.now(), retire_instance(id), [this, id, done](const Status& result) {
    if (result.code() != StatusCode::kInvalidArgument) return done(result);
    replica_->submit(loop_.now(), remove_instance(id), done);
  });
}

// A database that speaks to the proxy on its own machine: its word comes with the agent.
void Controller::on_relayed_heartbeat(const InboundLink::Ptr& link, const Json& message) {
  const std::string id = message.value("id", "");
  const bool leaves = message.value("t", "") == "leave";
  const std::uint64_t calls = message.value("calls", std::uint64_t(0));
  auto done = [this, link, id, leaves, calls](const Status& result) {
    if (result.is_ok() && leaves) log_event("database left: id=" + id);
    link->send({{"t", "beaten"}, {"id", id}, {"calls", calls}, {"s", http_status(result)}});
  };
  if (!holds_lease()) return done(Status::unavailable("out of the view"));
  if (leaves) return retire({id}, done);
  auto instance = decode_instance({id}, message.value("v", ""));
  if (!instance) return done(Status::invalid_argument("not an instance"));
  replica_->submit(loop_.now(), put_instance(*instance), done);
}

}  // namespace pebblespindle
