#include "sidecar/outbound.h"

#include <charconv>
#include <cmath>

#include "membership/constants.h"
#include "sidecar/constants.h"
#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

namespace {

// Parses the whole number at the start of an HTTP field; a fraction of a millisecond is ignored.
std::optional<Millis> millis_of(const std::string* field) {
  if (!field) return std::nullopt;
  Millis value = 0;
  auto result = std::from_chars(field->data(), field->data() + field->size(), value);
  if (result.ec != std::errc() || value < 0) return std::nullopt;
  return value;
}

}  // namespace

Outbound::Outbound(OutboundPort& port, TimerQueue& timers, const ClusterState& cluster, Options options)
    : port_(port),
      timers_(timers),
      cluster_(cluster),
      options_(std::move(options)),
      budget_(options_.retry_ratio, options_.retry_window_ms),
      rng_(options_.seed) {}

Outbound::PendingCall* Outbound::find_call(CallId id) {
  auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : &it->second;
}

std::string Outbound::pick_service(const Route& route) {
  if (route.weighted_targets.empty()) return route.service;
  int sum = 0;
  for (auto& [service, weight] : route.weighted_targets) sum += weight;
  int ticket = int(rng_() % std::uint32_t(std::max(1, sum)));
  for (auto& [service, weight] : route.weighted_targets)
    if ((ticket -= weight) < 0) return service;
  return route.weighted_targets.front().service;
}

void Outbound::start_call(CallId id, Call call) {
  if (!accepting_) return port_.answer(id, local_reply(503, kRetryAfterMs));
  if (!cluster_.has_configuration()) return port_.answer(id, local_reply(503, kNodeRenewalMs));
  const std::string* host = find_field(call.fields, "Host");
  if (!host || call.target.empty() || call.target.front() != '/') return port_.answer(id, local_reply(400));
  auto path = std::string_view(call.target).substr(0, call.target.find('?'));
  auto route = cluster_.route(host->substr(0, host->find(':')), path);
  // Without a current cluster state, a route that does not exist cannot be told from one that has not arrived
  // yet.
  if (!route) return port_.answer(id, state_current_ ? local_reply(404) : local_reply(503, kNodeRenewalMs));
  PendingCall& pending = calls_[id];
  pending.route = route;
  pending.service = pick_service(*route);
  pending.idempotent = route->type == RouteType::kIdempotent;
  pending.started_at = now_;
  Millis remaining = route->timeout_ms;
  if (auto requested = millis_of(find_field(call.fields, kDeadlineField)))
    remaining = std::min(remaining, *requested);
  pending.deadline = now_ + std::max<Millis>(1, remaining - kReturnPathMs);
  pending.call = std::move(call);
  pending.deadline_timer = timers_.at(pending.deadline, [this, id] {
    PendingCall* expired = find_call(id);
    if (!expired) return;
    expired->deadline_timer = 0;
    withdraw_attempts(*expired);
    finish(id, expired->possible_runs > 0 ? local_reply(504) : local_reply(503, kRetryAfterMs));
  });
  if (pending.idempotent) {
    auto times = response_times_.find(route->name);
    double max_patience = double(route->latency_target_ms) * kHedgeTargetShare;
    double patience = times == response_times_.end()
                          ? max_patience
                          : times->second.mean + kHedgeDeviations * times->second.deviation;
    pending.hedge_timer = timers_.at(now_ + std::max<Millis>(kMinHedgeDelayMs, Millis(patience)), [this, id] {
      if (PendingCall* waiting = find_call(id)) {
        waiting->hedge_timer = 0;
        on_hedge(id);
      }
    });
  }
  try_next(id, false);
}

void Outbound::client_gone(CallId id) {
  PendingCall* pending = find_call(id);
  if (pending) finish(id, {});
}

// --- choice of a database -----------------------------------------------------------------

double Outbound::load(const Instance& instance, const Database& database) const {
  double capacity = std::max(1, instance.capacity);
  double freshness = std::exp2(-double(now_ - database.reported_at) / kLoadHalfLifeMs);
  double running = database.reported_load * freshness + kAssumedUtilization * capacity * (1 - freshness) +
                   database.sent_since_report * freshness;
  running = std::max(running, double(database.in_flight));
  double cost = (running + 1) / capacity + database.failure_share * kFailureCost;
  if (instance.zone != options_.zone) cost += kOtherZoneCost;
  return cost;
}

// Whether a request may be sent over the link to `at`; starts to connect where there is none. With
// Link::kUp only an established link counts: the machine behind a missing link may be gone, and as it looks
// idle it would be chosen for every request. With Link::kFirstAttempt a link that is being established also
// counts, unless connecting to it has failed before: such a machine counts as gone until its link is up.
bool Outbound::has_link(const Endpoint& at, Link link) {
  if (port_.is_linked(at)) {
    unreachable_.erase(at);
    return link == Link::kUp;
  }
  const auto backoff = unreachable_.find(at);
  if (backoff != unreachable_.end() && now_ < backoff->second.until) return false;
  port_.connect(at);
  return link == Link::kFirstAttempt && backoff == unreachable_.end();
}

// Whether the database may have a free slot or room in its queue, as far as its reports that have not expired
// say.
bool Outbound::may_have_place(const PendingCall& pending, const InstanceId& id, Place place) {
  const Database& database = databases_[id];
  const auto refused = database.no_room_until.find(pending.route->name);
  if (refused != database.no_room_until.end() && now_ < refused->second) return false;
  return place == Place::kQueue || (now_ >= database.full_until && pending.full.count(id) == 0);
}

const Instance* Outbound::choose_instance(const PendingCall& pending, Place place, Link link) {
  std::vector<const Instance*> same_zone, other_zones;
  for (auto* instance : cluster_.instances_of(pending.service)) {
    if (instance->draining || pending.tried.count(instance->id) ||
        !may_have_place(pending, instance->id, place))
      continue;
    if (now_ < databases_[instance->id].backoff.until || shutting_down_peers_.count(instance->address))
      continue;
    if (!has_link(instance->address, link)) continue;
    (instance->zone == options_.zone ? same_zone : other_zones).push_back(instance);
  }
  return least_loaded(same_zone, other_zones);
}

// Returns the least loaded of a few random candidates of this zone and of the other zones, or null. Comparing
// only a few keeps all nodes from choosing the same database.
const Instance* Outbound::least_loaded(std::vector<const Instance*>& same_zone,
                                       std::vector<const Instance*>& other_zones) {
  const Instance* best = nullptr;
  double best_load = 0;
  for (auto* list : {&same_zone, &other_zones}) {
    for (std::size_t index = 0; index < std::min(list->size(), kCandidatesPerZone); ++index) {
      std::swap((*list)[index], (*list)[index + rng_() % (list->size() - index)]);
      double candidate_load = load(*(*list)[index], databases_[(*list)[index]->id]);
      if (!best || candidate_load < best_load) best = (*list)[index], best_load = candidate_load;
    }
  }
  return best;
}

Millis Outbound::queue_deadline(const PendingCall& pending) const {
  return std::min(pending.deadline,
                  pending.started_at + Millis(double(pending.route->latency_target_ms) * kMaxQueueShare));
}

void Outbound::try_next(CallId id, bool may_queue) {
  PendingCall* pending = find_call(id);
  if (!pending) return;
  may_queue = may_queue || int(pending->full.size()) >= kMaxFullRefusals || is_crowded(*pending);
  const Instance* instance = choose_instance(*pending, Place::kSlot, Link::kUp);
  if (!instance) {  // every database is full, down or without a link
    may_queue = true;
    instance = choose_instance(*pending, Place::kQueue, Link::kUp);
  }
  if (!instance) instance = choose_instance(*pending, Place::kQueue, Link::kFirstAttempt);
  if (may_queue && now_ >= queue_deadline(*pending)) instance = nullptr;  // no queue time left
  if (!may_ask_another(*pending)) instance = nullptr;
  if (!instance) {
    if (pending->open_attempts.empty()) fail_call(id);
    return;
  }
  send(id, *instance, may_queue);
}

void Outbound::send(CallId id, const Instance& instance, bool may_queue) {
  PendingCall& pending = *find_call(id);
  Database& database = databases_[instance.id];
  ++database.sent_since_report;
  ++database.in_flight;
  ++pending.databases_reached;
  ++pending.possible_runs;
  std::uint64_t attempt_id = ++last_attempt_;
  attempts_[attempt_id] = {id, instance.id, instance.address, now_};
  pending.open_attempts.insert(attempt_id);
  pending.tried.insert(instance.id);
  Json frame{{"t", "q"},
             {"n", attempt_id},
             {"i", instance.id.value},
             {"m", pending.call.method},
             {"u", pending.call.target},
             {"h", fields_to_json(pending.call.fields)},
             {"b", pending.call.body},
             {"d", pending.deadline - now_},
             {"w", may_queue ? queue_deadline(pending) - now_ : 0},
             {"a", pending.started_at + pending.route->latency_target_ms - now_},
             {"p", pending.route->priority},
             {"s", pending.idempotent},
             {"c", options_.caller}};
  port_.offer(instance.address, frame);
}

// --- outcomes of attempts -----------------------------------------------------------------

void Outbound::record_load(const InstanceId& id, const Json& report) {
  if (!report.is_array() || report.size() != 4) return;
  for (auto& value : report)
    if (!value.is_number_unsigned() && !value.is_number_integer()) return;
  Database& database = databases_[id];
  database.reported_queue = report[1].get<double>();
  database.reported_load = report[0].get<double>() + database.reported_queue;
  database.failure_share = report[3].get<double>() / 100.0;
  database.reported_at = now_;
  database.sent_since_report = 0;
  database.backoff.pause = 0;
}

// A full database is expected to stay full for longer the more requests it has in its queue.
void Outbound::record_full(Database& database) {
  const double ttl_ms = double(kFullReportTtlMs) * (1 + database.reported_queue);
  database.full_until =
      now_ + Millis(std::clamp(ttl_ms, double(kFullReportTtlMs), double(kMaxFullReportTtlMs)));
}

void Outbound::record_no_room(const PendingCall& pending, const InstanceId& id) {
  const auto has_passed = [this](auto& until) { return until.second <= now_; };
  const Millis until = now_ + kNoRoomTtlMs;
  for (auto* by_route : {&databases_[id].no_room_until, &crowded_until_}) {
    std::erase_if(*by_route, has_passed);  // routes that have been removed would stay otherwise
    (*by_route)[pending.route->name] = until;
  }
}

// Whether a request of the same route was refused a moment ago because its wait would have been too long.
// Asking one database after the other for a free slot would then only load the links.
bool Outbound::is_crowded(const PendingCall& pending) const {
  const auto crowded = crowded_until_.find(pending.route->name);
  return crowded != crowded_until_.end() && now_ < crowded->second;
}

void Outbound::close_attempt(std::uint64_t attempt_id, Attempt& attempt) {
  if (PendingCall* pending = find_call(attempt.call_id)) pending->open_attempts.erase(attempt_id);
  auto& database = databases_[attempt.instance];
  if (database.in_flight > 0) --database.in_flight;
}

void Outbound::handle_frame(const Endpoint& from, const Json& frame) {
  auto it = attempts_.find(unsigned_field(frame, "n"));
  // The address is compared as well: the number alone could be one of an earlier process, or come from
  // another sidecar that has taken over an address.
  if (it == attempts_.end() || !(it->second.address == from)) return;
  const std::string type = text_field(frame, "t");
  if (type != "no" && type != "fail" && type != "a") return;
  Attempt attempt = it->second;
  const std::uint64_t attempt_id = it->first;
  if (frame.contains("l")) record_load(attempt.instance, frame["l"]);
  PendingCall* pending = find_call(attempt.call_id);
  close_attempt(attempt_id, attempt);
  attempts_.erase(it);
  if (!pending) return;
  CallId id = attempt.call_id;
  if (type == "no") {  // refused by the sidecar: the database has not received the request
    --pending->databases_reached;
    --pending->possible_runs;
    const std::string why = text_field(frame, "y");
    if (why == "full") {
      record_full(databases_[attempt.instance]);
      if (bool_field(frame, "w")) {  // its wait in the queue expired or would have been too long
        record_no_room(*pending, attempt.instance);
        if (pending->open_attempts.empty()) fail_call(id);
        return;
      }
      pending->full.insert(attempt.instance);
      pending->tried.erase(attempt.instance);
    } else {
      back_off(attempt.instance);
    }
    if (!pending->open_attempts.empty()) return;
    return try_next(id, false);
  }
  if (!std::exchange(pending->counted, true)) budget_.count_first_attempt(now_);
  if (type == "fail") return attempt_failed(id);
  Reply reply{int(clamped_field(frame, "s", 0, 0, 999)), text_field(frame, "b"),
              fields_from_json(frame.value("h", Json()))};
  if (bool_field(frame, "x"))
    --pending->possible_runs;  // the database states that it has not run the request
  // Clients take these statuses as a promise that the request has not run, which this database has not given
  // by its Not-Executed field. A status below 200 or above 599 is not a final response.
  const bool implies_not_run =
      reply.status == 408 || reply.status == 421 || reply.status == 429 || reply.status == 503;
  if (bool_field(frame, "x") || implies_not_run || reply.status < 200 || reply.status > 599)
    return attempt_failed(id);
  if (reply.status >= 500 && reply.status != 504 && pending->idempotent) {
    if (may_ask_another(*pending) && spend_retry(*pending)) return try_next(id, false);
    if (!pending->open_attempts.empty()) return;
  }
  if (reply.status < 400) {
    auto& times = response_times_[pending->route->name];
    double took_ms = double(now_ - pending->started_at);
    times.mean = times.mean == 0 ? took_ms : times.mean + (took_ms - times.mean) * kResponseTimeWeight;
    times.deviation =
        times.deviation == 0
            ? took_ms
            : times.deviation + (std::abs(took_ms - times.mean) - times.deviation) * kResponseTimeWeight;
  }
  finish(id, std::move(reply));
}

// The only rule for sending a request to a second database: it is idempotent, or the first has not run it.
bool Outbound::may_ask_another(const PendingCall& pending) const {
  return (pending.idempotent || pending.possible_runs == 0) &&
         pending.databases_reached < pending.route->max_attempts && now_ < pending.deadline;
}

// An attempt has ended without a usable response.
void Outbound::attempt_failed(CallId id) {
  PendingCall* pending = find_call(id);
  if (!pending || !pending->open_attempts.empty()) return;  // another attempt is still open
  if (may_ask_another(*pending) && (pending->databases_reached == 0 || spend_retry(*pending)))
    return try_next(id, false);
  fail_call(id);
}

// Takes one retry out of the budget; false if it is exhausted.
bool Outbound::spend_retry(PendingCall& pending) {
  if (!std::exchange(pending.counted, true)) budget_.count_first_attempt(now_);
  return budget_.try_spend(now_);
}

void Outbound::Backoff::extend(Millis now) {
  pause = std::clamp(pause * 2, kFirstPeerBackoffMs, kMaxPeerBackoffMs);
  until = now + pause;
}

void Outbound::back_off(const InstanceId& id) {
  databases_[id].backoff.extend(now_);
}

void Outbound::fail_call(CallId id) {
  PendingCall* pending = find_call(id);
  if (pending->possible_runs > 0) return finish(id, local_reply(502));
  finish(id, local_reply(503, kRetryAfterMs));
}

// The response takes longer than usual: the request is also sent to a second database, and the first response
// counts.
void Outbound::on_hedge(CallId id) {
  PendingCall* pending = find_call(id);
  if (!pending || pending->hedged || pending->databases_reached == 0 || !may_ask_another(*pending)) return;
  if (!spend_retry(*pending)) return;
  pending->hedged = true;
  try_next(id, false);
}

// Withdraws all attempts without an outcome. An offer that had not left this machine has not run and will
// not.
void Outbound::withdraw_attempts(PendingCall& pending) {
  for (auto attempt_id : std::exchange(pending.open_attempts, {})) {
    auto it = attempts_.find(attempt_id);
    if (it == attempts_.end()) continue;
    if (port_.withdraw(it->second.address, attempt_id)) --pending.databases_reached, --pending.possible_runs;
    auto& database = databases_[it->second.instance];
    if (database.in_flight > 0) --database.in_flight;
    attempts_.erase(it);
  }
}

void Outbound::finish(CallId id, Reply reply) {
  PendingCall* pending = find_call(id);
  timers_.cancel(pending->deadline_timer);
  timers_.cancel(pending->hedge_timer);
  withdraw_attempts(*pending);
  calls_.erase(id);
  if (reply.status != 0) port_.answer(id, std::move(reply));
}

void Outbound::fail_pending() {
  accepting_ = false;
  std::vector<CallId> open;
  for (auto& [id, work] : calls_) open.push_back(id);
  for (auto id : open) {
    withdraw_attempts(calls_[id]);
    fail_call(id);
  }
}

void Outbound::link_down(const Endpoint& at, bool sent) {
  shutting_down_peers_.erase(at);
  unreachable_[at].extend(now_);
  std::vector<std::uint64_t> lost;
  for (auto& [attempt_id, attempt] : attempts_)
    if (attempt.address == at) lost.push_back(attempt_id);
  for (auto attempt_id : lost) {
    auto it = attempts_.find(attempt_id);
    if (it == attempts_.end()) continue;
    Attempt attempt = it->second;
    close_attempt(attempt_id, attempt);
    attempts_.erase(it);
    PendingCall* pending = find_call(attempt.call_id);
    if (!pending) continue;
    if (!sent) --pending->databases_reached, --pending->possible_runs;
    attempt_failed(attempt.call_id);
  }
}

}  // namespace pebblespindle::sidecar
