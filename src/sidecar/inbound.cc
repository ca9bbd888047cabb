#include "sidecar/inbound.h"

#include <algorithm>

#include "sidecar/constants.h"
#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

void Inbound::set_database(std::optional<Instance> instance) {
  bool changed = !database_ || !instance || database_->id != instance->id;
  database_ = std::move(instance);
  if (!changed) return;
  // Another database process: results of the former one no longer apply, and its connections have ended.
  failure_share_ = mean_slot_ms_ = 0;
  timeouts_in_row_ = 0;
  down_ = probing_ = false;
  std::vector<ConnId> idle;
  for (auto& [id, connection] : connections_)
    if (connection.job_id == 0) idle.push_back(id);
  for (auto id : idle) drop_connection(id);
  refuse_queued("gone");  // queued requests were meant for the former process
}

void Inbound::refuse_queued(const char* why) {
  for (auto queue = std::exchange(queue_, {}); auto& position : queue) {
    auto id = std::get<1>(position);
    report_not_run(jobs_[id], why, false);
    end_job(id);
  }
}

Json Inbound::load_report() const {
  int capacity = database_ ? database_->capacity : 1;
  return Json::array({running_, queue_.size(), capacity, int(failure_share_ * 100)});
}

void Inbound::refuse_offer(LinkId link, std::uint64_t offer_number, const char* why, bool waited) {
  Json frame{{"t", "no"}, {"n", offer_number}, {"y", why}, {"l", load_report()}};
  if (waited) frame["w"] = true;
  port_.reply(link, frame);
}

// Reports that a request has not run. A request that was sent before, on a connection that then ended, may
// have run, and is reported as a failure.
void Inbound::report_not_run(const Job& job, const char* why, bool waited) {
  if (job.resent) return report_failure(job);
  if (job.caller_waiting) refuse_offer(job.link, job.offer_number, why, waited);
}

// Reports that a request ended without a usable response and may have run.
void Inbound::report_failure(const Job& job) {
  if (job.caller_waiting)
    port_.reply(job.link, {{"t", "fail"}, {"n", job.offer_number}, {"l", load_report()}});
}

void Inbound::offer(LinkId link, const Json& frame) {
  const std::uint64_t offer_number = unsigned_field(frame, "n");
  // A draining database takes no new requests. A caller that does not know yet tries another database.
  const bool meant_for_here =
      database_ && !database_->draining && text_field(frame, "i") == database_->id.value;
  if (!accepting_ || !meant_for_here) return refuse_offer(link, offer_number, "gone", false);
  Call call{text_field(frame, "m"), text_field(frame, "u"), text_field(frame, "b"),
            fields_from_json(frame.value("h", Json()))};
  if (!is_single_word(call.method) || !is_single_word(call.target))
    return refuse_offer(link, offer_number, "gone", false);
  if (down_ && (probing_ || now_ < next_probe_at_)) return refuse_offer(link, offer_number, "down", false);
  const Millis remaining = clamped_field(frame, "d", 0, 0, kMaxWaitMs);
  const Millis until_target = clamped_field(frame, "a", remaining, -kMaxWaitMs, kMaxWaitMs);
  const bool may_wait = clamped_field(frame, "w", 0, 0, kMaxWaitMs) > 0;
  // A request that starts later than this would not be answered within its latency target.
  const Millis wait = std::min(clamped_field(frame, "w", 0, 0, kMaxWaitMs),
                               until_target - Millis(kServiceTimeMargin * mean_slot_ms_));
  Job job;
  job.link = link;
  job.offer_number = offer_number;
  job.own_connection = call.method == "HEAD" || !find_field(call.fields, kRequestIdField);
  job.call = std::move(call);
  job.deadline = now_ + remaining;
  job.queue_deadline = now_ + wait;
  // The request whose latency target ends first is served first; each step of priority counts as a few
  // milliseconds of it.
  job.order_time = now_ + until_target + clamped_field(frame, "p", 1, 0, kMaxPriority) * kPriorityStepMs;
  job.idempotent = bool_field(frame, "s");
  job.caller = text_field(frame, "c");
  const std::uint64_t id = ++last_job_;
  // A request that would wait too long is refused at once.
  if (running_ >= slots() && (wait <= 0 || expected_wait_ms(queue_position(id, job)) > double(wait)))
    return refuse_offer(link, offer_number, "full", may_wait);
  jobs_[id] = std::move(job);
  if (down_) probing_ = true;
  admit(id);
}

std::size_t Inbound::slots() const {
  return std::size_t(std::max(1, database_->capacity));
}

// Expected time until a slot is free for a request at this position: only requests ahead of it count.
double Inbound::expected_wait_ms(const QueuePosition& position) const {
  const auto before = std::distance(queue_.begin(), queue_.lower_bound(position));
  return double(before + 1) * mean_slot_ms_ / double(slots());
}

void Inbound::admit(std::uint64_t id) {
  Job& job = jobs_[id];
  if (running_ < slots()) return start(id);
  queue_.insert(queue_position(id, job));
  job.timer = timers_.at(std::min(job.queue_deadline, job.deadline), [this, id] {
    Job& expired = jobs_[id];
    expired.timer = 0;
    queue_.erase(queue_position(id, expired));
    report_not_run(expired, "full", true);
    end_job(id);
  });
}

void Inbound::start_queued() {
  while (database_ && !queue_.empty() && running_ < slots()) {
    auto id = std::get<1>(*queue_.begin());
    queue_.erase(queue_.begin());
    timers_.cancel(jobs_[id].timer);
    start(id);
  }
}

// Returns the idle connection that was used last, or 0. A connection that has been idle for longer than
// `idle_limit_`, after which others were found dead, does not get a request that must not run twice.
ConnId Inbound::find_idle_connection(bool idempotent) {
  ConnId best = 0;
  Millis latest = -1;
  std::vector<ConnId> expired;
  for (auto& [id, connection] : connections_) {
    if (!connection.connected || connection.job_id != 0) continue;
    Millis age = now_ - connection.idle_since;
    if (connection.keep_alive_ms > 0 && age >= connection.keep_alive_ms) {
      expired.push_back(id);
      continue;
    }
    if (!idempotent && age > std::max<Millis>(kMinIdleLimitMs, idle_limit_)) continue;
    if (connection.idle_since > latest) best = id, latest = connection.idle_since;
  }
  for (auto id : expired) drop_connection(id);
  return best;
}

void Inbound::start(std::uint64_t id) {
  ++running_;
  Job& job = jobs_[id];
  job.started_at = now_;
  job.timer = timers_.at(std::max(job.deadline, now_), [this, id] {
    jobs_[id].timer = 0;
    on_deadline(id);
  });
  if (ConnId connection_id = job.resent || job.own_connection ? 0 : find_idle_connection(job.idempotent))
    return send_on(id, connection_id);
  ConnId connection_id = ++last_connection_;
  AppConnection& connection = connections_[connection_id];
  connection.instance = database_->id;
  connection.job_id = id;
  job.connection_id = connection_id;
  connection.timer = timers_.at(now_ + kAppConnectTimeoutMs, [this, connection_id] {
    connections_[connection_id].timer = 0;
    app_connection_down(connection_id, false);
  });
  port_.open_app_connection(connection_id);
}

void Inbound::app_connection_up(ConnId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  AppConnection& connection = it->second;
  timers_.cancel(connection.timer);
  connection.connected = true;
  connection.idle_since = now_;
  const std::uint64_t job_id = connection.job_id;
  if (job_id == 0) return;
  Job& job = jobs_[job_id];
  if (job.caller_waiting && is_current(connection.instance)) return send_on(job_id, id);
  // The caller no longer waits, or the database process it was meant for has ended: the request is not sent.
  report_not_run(job, "gone", false);
  connection.job_id = 0;
  --running_;
  end_job(job_id);
  if (!is_current(connection.instance)) drop_connection(id);
  start_queued();
}

// A connection on which bytes arrive without a request is closed: what follows could be taken for the
// response to a later request.
void Inbound::app_bytes_received(ConnId id) {
  auto it = connections_.find(id);
  if (it != connections_.end() && it->second.job_id == 0) drop_connection(id);
}

void Inbound::send_on(std::uint64_t id, ConnId connection_id) {
  Job& job = jobs_[id];
  AppConnection& connection = connections_[connection_id];
  connection.job_id = id;
  job.connection_id = connection_id;
  job.sent_at = now_;
  job.connection_idle_ms = connection.used ? now_ - connection.idle_since : 0;
  Call call = job.call;
  set_field(call.fields, kDeadlineField,
            std::to_string(std::max<Millis>(1, job.deadline - now_ - kReturnPathMs)));
  set_field(call.fields, kTargetInstanceField, connection.instance.value);
  set_field(call.fields, kCallerServiceField, job.caller);
  port_.send_to_app(connection_id, call);
}

void Inbound::app_reply_received(ConnId id, Reply reply, Millis keep_alive_ms) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  AppConnection& connection = it->second;
  const std::uint64_t job_id = connection.job_id;
  if (job_id == 0) return drop_connection(id);  // a response without a request
  Job& job = jobs_[job_id];
  const std::string *request_id = find_field(job.call.fields, kRequestIdField),
                    *reply_id = find_field(reply.fields, kRequestIdField);
  if (request_id && reply_id && *request_id != *reply_id) {
    connection.keep_alive_ms = -1;  // a late response to another request; the right one is still to come
    return;
  }
  const bool has_seal = find_field(reply.fields, kResponseSealField) != nullptr;
  const bool not_run =
      reply.status == 421 || (reply.status >= 400 && find_field(reply.fields, kNotExecutedField));
  // Not a valid response of a database: a success without its seal, a status outside 200 to 599, or a
  // response without a request id on a connection that has been used before, which may answer an earlier
  // request.
  const bool invalid = reply.status < 200 || reply.status > 599 || (reply.status < 300 && !has_seal) ||
                       (request_id && !reply_id && connection.used && reply.status < 400);
  if (invalid || reply.status < 500 || not_run)
    record_result(!invalid, false);
  else
    record_error_status();
  double took_ms = double(now_ - job.started_at);
  if (reply.status < 500)
    mean_slot_ms_ = mean_slot_ms_ == 0 ? took_ms : mean_slot_ms_ + (took_ms - mean_slot_ms_) * kResultWeight;
  // The connection has worked after this idle time, so others are used after the same time.
  if (connection.used && !invalid) idle_limit_ = std::max(idle_limit_, job.connection_idle_ms);
  const bool keep = keep_alive_ms >= 0 && connection.keep_alive_ms >= 0 && !invalid && reply_id &&
                    !job.own_connection && is_current(connection.instance);
  connection.job_id = 0;
  connection.used = true;
  connection.idle_since = now_;
  connection.keep_alive_ms = keep_alive_ms;
  --running_;
  if (invalid || (not_run && job.resent)) {
    report_failure(job);
  } else if (job.caller_waiting) {
    Json frame{{"t", "a"},
               {"n", job.offer_number},
               {"s", reply.status},
               {"h", fields_to_json(end_to_end_fields(reply.fields))},
               {"b", std::move(reply.body)},
               {"l", load_report()}};
    if (not_run) frame["x"] = true;
    port_.reply(job.link, frame);
  }
  end_job(job_id);
  if (!keep) drop_connection(id);
  start_queued();
}

void Inbound::lower_idle_limit(Millis idle_ms) {
  idle_limit_ = std::max(kMinIdleLimitMs, std::min(idle_limit_, Millis(double(idle_ms) * kTrustedIdleShare)));
}

void Inbound::app_connection_down(ConnId id, bool refused) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  AppConnection connection = it->second;
  drop_connection(id);
  if (connection.job_id == 0) {
    // The database closed an idle connection: it keeps others no longer than that.
    if (connection.used) lower_idle_limit(now_ - connection.idle_since);
    return;
  }
  Job& job = jobs_[connection.job_id];
  --running_;
  timers_.cancel(job.timer);
  if (!connection.connected) {  // the request has not been sent
    if (refused || ++timeouts_in_row_ >= kTimeoutsUntilDown) mark_down();
    record_result(false, false);
    report_not_run(job, "down", false);
  } else {
    // A connection that ends right after its first use in a while was dead before, and others that have been
    // idle as long may be too.
    bool stale = connection.used && now_ - job.sent_at < kMinIdleLimitMs;
    if (stale) lower_idle_limit(job.connection_idle_ms);
    if (stale && job.idempotent && job.caller_waiting && is_current(connection.instance)) {
      job.resent = true;  // to the same database on a new connection, which cannot be stale: no third time
      return admit(connection.job_id);
    }
    if (!stale) record_result(false, false);
    report_failure(job);
  }
  end_job(connection.job_id);
  start_queued();
}

void Inbound::on_deadline(std::uint64_t id) {
  Job& job = jobs_[id];
  auto it = connections_.find(job.connection_id);
  bool sent = it != connections_.end() && it->second.connected;
  if (it != connections_.end()) drop_connection(job.connection_id);
  --running_;
  record_result(false, true);
  if (sent)
    report_failure(job);
  else
    report_not_run(job, "down", false);
  end_job(id);
  start_queued();
}

void Inbound::end_job(std::uint64_t id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  timers_.cancel(it->second.timer);
  jobs_.erase(it);
}

void Inbound::drop_connection(ConnId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  timers_.cancel(it->second.timer);
  connections_.erase(it);
  port_.close_app_connection(id);
}

// Counts a result of the database. All requests to it pass through here, so these are all its results.
void Inbound::record_result(bool succeeded, bool timed_out) {
  failure_share_ += ((succeeded ? 0.0 : 1.0) - failure_share_) * kResultWeight;
  failures_in_row_ = succeeded ? 0 : failures_in_row_ + 1;
  if (succeeded) {
    timeouts_in_row_ = 0;
    down_ = probing_ = false;
    return;
  }
  const bool too_many_timeouts = timed_out && ++timeouts_in_row_ >= kTimeoutsUntilDown;
  if (too_many_timeouts || probing_ || failures_in_row_ >= kFailuresUntilDown) mark_down();
}

// Counts a status of 500 or above from the database itself, which may come from a service that it calls.
// Callers choose it less often, but it stays in use: marking all databases of a service as down because
// another service fails would spread that failure.
void Inbound::record_error_status() {
  failure_share_ += (1.0 - failure_share_) * kResultWeight;
  failures_in_row_ = timeouts_in_row_ = 0;
  down_ = probing_ = false;
}

// Refuses new offers until one probe request has been answered, and queued requests at once.
void Inbound::mark_down() {
  down_ = true;
  probing_ = false;
  next_probe_at_ = now_ + kDownProbeIntervalMs;
  refuse_queued("down");
}

void Inbound::fail_pending() {
  accepting_ = false;
  refuse_queued("gone");
  std::vector<std::uint64_t> running;
  for (auto& [id, job] : jobs_) running.push_back(id);
  for (auto id : running) {
    Job& job = jobs_[id];
    const auto connection = connections_.find(job.connection_id);
    const bool sent = connection != connections_.end() && connection->second.connected;
    if (sent)
      report_failure(job);
    else
      report_not_run(job, "gone", false);
    drop_connection(job.connection_id);
    end_job(id);
  }
  running_ = 0;
}

void Inbound::cancel(LinkId link, std::uint64_t offer_number) {
  for (auto& [id, job] : jobs_) {
    if (job.link != link || job.offer_number != offer_number) continue;
    if (abandon(id)) end_job(id);
    return;
  }
}

void Inbound::link_closed(LinkId link) {
  std::vector<std::uint64_t> never_run;
  for (auto& [id, job] : jobs_)
    if (job.link == link && abandon(id)) never_run.push_back(id);
  for (auto id : never_run) end_job(id);
}

// Called when the caller of a job no longer waits. True: the job was still queued and has to be ended.
bool Inbound::abandon(std::uint64_t id) {
  Job& job = jobs_[id];
  if (!std::exchange(job.caller_waiting, false)) return false;
  if (queue_.erase(queue_position(id, job))) return true;
  if (!job.idempotent) return false;  // its result at the database is still worth knowing
  timers_.cancel(job.timer);
  job.timer = timers_.at(std::min(job.deadline, now_ + kAbandonedRequestLimitMs), [this, id] {
    jobs_[id].timer = 0;
    abort_job(id);
  });
  return false;
}

// Closes the connection of a job, which makes the database stop working on it.
void Inbound::abort_job(std::uint64_t id) {
  drop_connection(jobs_[id].connection_id);
  --running_;
  end_job(id);
  start_queued();
}

}  // namespace pebblespindle::sidecar
