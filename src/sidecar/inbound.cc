#include "sidecar/inbound.h"

#include <algorithm>

#include "sidecar/constants.h"
#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

void Inbound::set_database(std::optional<Instance> i) {
  bool other = !here_ || !i || here_->id != i->id;
  here_ = std::move(i);
  if (!other) return;
  // Another life: what was learned of the former one is void, and its connections have ended with it.
  ill_ = mean_ = 0;
  silent_ = 0;
  down_ = trial_ = false;
  std::vector<ConnId> idle;
  for (auto& [id, s] : servers_)
    if (s.job == 0) idle.push_back(id);
  for (auto id : idle) drop_server(id);
  turn_away("gone");  // who waits was meant for the former one
}

void Inbound::turn_away(const char* why) {
  for (auto queue = std::exchange(queue_, {}); auto& r : queue) {
    auto id = std::get<1>(r);
    say_not_run(jobs_[id], why, false);
    end_job(id);
  }
}

Json Inbound::load() const {
  int cap = here_ ? here_->capacity : 1;
  return Json::array({running_, queue_.size(), cap, int(ill_ * 100)});
}

void Inbound::say_no(LinkId link, std::uint64_t n, const char* why, bool waited) {
  Json m{{"t", "no"}, {"n", n}, {"y", why}, {"l", load()}};
  if (waited) m["w"] = true;
  port_.reply(link, m);
}

// A request that has not run. One that was sent before, over a connection that then ended, may have.
void Inbound::say_not_run(const Job& j, const char* why, bool waited) {
  if (j.again) return say_fail(j);
  if (j.wanted) say_no(j.link, j.n, why, waited);
}

// It may have run.
void Inbound::say_fail(const Job& j) {
  if (j.wanted) port_.reply(j.link, {{"t", "fail"}, {"n", j.n}, {"l", load()}});
}

void Inbound::offer(LinkId link, const Json& m) {
  const std::uint64_t n = unsigned_field(m, "n");
  // One that is leaving takes nothing new: whoever sends has not heard yet, and turns elsewhere.
  const bool meant_for_here = here_ && !here_->draining && text_field(m, "i") == here_->id.value;
  if (!accepting_ || !meant_for_here) return say_no(link, n, "gone", false);
  Call call{text_field(m, "m"), text_field(m, "u"), text_field(m, "b"),
            fields_from_json(m.value("h", Json()))};
  if (!is_single_word(call.method) || !is_single_word(call.target)) return say_no(link, n, "gone", false);
  if (down_ && (trial_ || now_ < trial_at_)) return say_no(link, n, "down", false);
  const Millis left = clamped_field(m, "d", 0, 0, kMaxWaitMs);
  const Millis until_aim = clamped_field(m, "a", left, -kMaxWaitMs, kMaxWaitMs);
  const bool may_wait = clamped_field(m, "w", 0, 0, kMaxWaitMs) > 0;
  // What begins later than this would not end within its aim.
  const Millis wait =
      std::min(clamped_field(m, "w", 0, 0, kMaxWaitMs), until_aim - Millis(kServiceTimeMargin * mean_));
  Job j;
  j.link = link;
  j.n = n;
  j.alone = call.method == "HEAD" || !find_field(call.fields, kRequestIdField);
  j.call = std::move(call);
  j.deadline = now_ + left;
  j.until = now_ + wait;
  // The aim that ends first goes first; a rank is worth a little of it.
  j.due = now_ + until_aim + clamped_field(m, "p", 1, 0, kMaxPriority) * kPriorityStepMs;
  j.safe = bool_field(m, "s");
  j.caller = text_field(m, "c");
  const std::uint64_t id = ++last_job_;
  // A wait that will be too long is refused now.
  if (running_ >= slots() && (wait <= 0 || expected_wait_ms(rank(id, j)) > double(wait)))
    return say_no(link, n, "full", may_wait);
  jobs_[id] = std::move(j);
  if (down_) trial_ = true;
  admit(id);
}

std::size_t Inbound::slots() const {
  return std::size_t(std::max(1, here_->capacity));
}

// Until a slot is free for it, as things stand: only those that go before it count.
double Inbound::expected_wait_ms(const Rank& rank) const {
  const auto before = std::distance(queue_.begin(), queue_.lower_bound(rank));
  return double(before + 1) * mean_ / double(slots());
}

void Inbound::admit(std::uint64_t id) {
  Job& j = jobs_[id];
  if (running_ < slots()) return start(id);
  queue_.insert(rank(id, j));
  j.timer = timers_.at(std::min(j.until, j.deadline), [this, id] {
    Job& x = jobs_[id];
    x.timer = 0;
    queue_.erase(rank(id, x));
    say_not_run(x, "full", true);
    end_job(id);
  });
}

void Inbound::pump() {
  while (here_ && !queue_.empty() && running_ < slots()) {
    auto id = std::get<1>(*queue_.begin());
    queue_.erase(queue_.begin());
    timers_.cancel(jobs_[id].timer);
    start(id);
  }
}

// The connection used last is the warmest. One that has rested as long as others were found dead is not
// trusted with what may not run twice.
ConnId Inbound::idle_server(bool safe) {
  ConnId best = 0;
  Millis since = -1;
  std::vector<ConnId> old;
  for (auto& [id, s] : servers_) {
    if (!s.up || s.job != 0) continue;
    Millis age = now_ - s.idle_since;
    if (s.keep_alive_ms > 0 && age >= s.keep_alive_ms) {
      old.push_back(id);
      continue;
    }
    if (!safe && age > std::max<Millis>(kMinIdleLimitMs, idle_most_)) continue;
    if (s.idle_since > since) best = id, since = s.idle_since;
  }
  for (auto id : old) drop_server(id);
  return best;
}

void Inbound::start(std::uint64_t id) {
  ++running_;
  Job& j = jobs_[id];
  j.started = now_;
  j.timer = timers_.at(std::max(j.deadline, now_), [this, id] {
    jobs_[id].timer = 0;
    on_deadline(id);
  });
  if (ConnId c = j.again || j.alone ? 0 : idle_server(j.safe)) return run_on(id, c);
  ConnId c = ++last_conn_;
  Server& s = servers_[c];
  s.life = here_->id;
  s.job = id;
  j.conn = c;
  s.timer = timers_.at(now_ + kAppConnectTimeoutMs, [this, c] {
    servers_[c].timer = 0;
    app_connection_down(c, false);
  });
  port_.open_app_connection(c);
}

void Inbound::app_connection_up(ConnId id) {
  auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server& s = it->second;
  timers_.cancel(s.timer);
  s.up = true;
  s.idle_since = now_;
  const std::uint64_t job = s.job;
  if (job == 0) return;
  Job& j = jobs_[job];
  if (j.wanted && here(s.life)) return run_on(job, id);
  // Nobody waits for it any more, or the database it was meant for has ended: it is not written.
  say_not_run(j, "gone", false);
  s.job = 0;
  --running_;
  end_job(job);
  if (!here(s.life)) drop_server(id);
  pump();
}

// A connection that speaks unasked is not used again: what it says next could be taken for an answer.
void Inbound::app_bytes_received(ConnId id) {
  auto it = servers_.find(id);
  if (it != servers_.end() && it->second.job == 0) drop_server(id);
}

void Inbound::run_on(std::uint64_t id, ConnId conn) {
  Job& j = jobs_[id];
  Server& s = servers_[conn];
  s.job = id;
  j.conn = conn;
  j.sent = now_;
  j.rested = s.used ? now_ - s.idle_since : 0;
  Call c = j.call;
  set_field(c.fields, kDeadlineField, std::to_string(std::max<Millis>(1, j.deadline - now_ - kReturnPathMs)));
  set_field(c.fields, kTargetInstanceField, s.life.value);
  set_field(c.fields, kCallerServiceField, j.caller);
  port_.send_to_app(conn, c);
}

void Inbound::app_reply_received(ConnId id, Reply r, Millis keep_alive_ms) {
  auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server& s = it->second;
  const std::uint64_t job = s.job;
  if (job == 0) return drop_server(id);  // an answer nobody waits for
  Job& j = jobs_[job];
  const std::string *ours = find_field(j.call.fields, kRequestIdField),
                    *theirs = find_field(r.fields, kRequestIdField);
  if (ours && theirs && *ours != *theirs) {
    s.keep_alive_ms = -1;  // of another request, late: ours is still due, on this connection
    return;
  }
  const bool stamped = find_field(r.fields, kResponseSealField) != nullptr;
  const bool not_run = r.status == 421 || (r.status >= 400 && find_field(r.fields, kNotExecutedField));
  // Not what a database says: a success without its stamp, a status that is none; or one without an id on a
  // connection that has carried others, and so perhaps an answer to one of them.
  const bool broken = r.status < 200 || r.status > 599 || (r.status < 300 && !stamped) ||
                      (ours && !theirs && s.used && r.status < 400);
  if (broken || r.status < 500 || not_run)
    met(!broken, false);
  else
    met_error();
  double took = double(now_ - j.started);
  if (r.status < 500) mean_ = mean_ == 0 ? took : mean_ + (took - mean_) * kResultWeight;
  // One that has rested longer than is trusted works all the same: others are trusted as long.
  if (s.used && !broken) idle_most_ = std::max(idle_most_, j.rested);
  const bool keep =
      keep_alive_ms >= 0 && s.keep_alive_ms >= 0 && !broken && theirs && !j.alone && here(s.life);
  s.job = 0;
  s.used = true;
  s.idle_since = now_;
  s.keep_alive_ms = keep_alive_ms;
  --running_;
  if (broken || (not_run && j.again)) {
    say_fail(j);
  } else if (j.wanted) {
    Json m{{"t", "a"},
           {"n", j.n},
           {"s", r.status},
           {"h", fields_to_json(end_to_end_fields(r.fields))},
           {"b", std::move(r.body)},
           {"l", load()}};
    if (not_run) m["x"] = true;
    port_.reply(j.link, m);
  }
  end_job(job);
  if (!keep) drop_server(id);
  pump();
}

void Inbound::distrust(Millis rested) {
  idle_most_ = std::max(kMinIdleLimitMs, std::min(idle_most_, Millis(double(rested) * kTrustedIdleShare)));
}

void Inbound::app_connection_down(ConnId id, bool refused) {
  auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server s = it->second;
  drop_server(id);
  if (s.job == 0) {
    // It was closed while it rested: the database keeps them no longer than that.
    if (s.used) distrust(now_ - s.idle_since);
    return;
  }
  Job& j = jobs_[s.job];
  --running_;
  timers_.cancel(j.timer);
  if (!s.up) {  // the request was never sent
    if (refused || ++silent_ >= kTimeoutsUntilDown) set_down();
    met(false, false);
    say_not_run(j, "down", false);
  } else {
    // A connection that had rested and ends as soon as it is used was dead before: so may be others as old.
    bool stale = s.used && now_ - j.sent < kMinIdleLimitMs;
    if (stale) distrust(j.rested);
    if (stale && j.safe && j.wanted && here(s.life)) {
      j.again = true;  // once more, at the same database; over a new connection, so not a third time
      return admit(s.job);
    }
    if (!stale) met(false, false);
    say_fail(j);
  }
  end_job(s.job);
  pump();
}

void Inbound::on_deadline(std::uint64_t id) {
  Job& j = jobs_[id];
  auto it = servers_.find(j.conn);
  bool sent = it != servers_.end() && it->second.up;
  if (it != servers_.end()) drop_server(j.conn);
  --running_;
  met(false, true);
  if (sent)
    say_fail(j);
  else
    say_not_run(j, "down", false);
  end_job(id);
  pump();
}

void Inbound::end_job(std::uint64_t id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  timers_.cancel(it->second.timer);
  jobs_.erase(it);
}

void Inbound::drop_server(ConnId id) {
  auto it = servers_.find(id);
  if (it == servers_.end()) return;
  timers_.cancel(it->second.timer);
  servers_.erase(it);
  port_.close_app_connection(id);
}

// Each result at the database counts: it alone is asked through here.
void Inbound::met(bool good, bool silent) {
  ill_ += ((good ? 0.0 : 1.0) - ill_) * kResultWeight;
  failed_ = good ? 0 : failed_ + 1;
  if (good) {
    silent_ = 0;
    down_ = trial_ = false;
    return;
  }
  const bool too_silent = silent && ++silent_ >= kTimeoutsUntilDown;
  if (too_silent || trial_ || failed_ >= kFailuresUntilDown) set_down();
}

// The database says itself that it failed, perhaps since what it asks did: it is chosen less, and takes on.
// To close all of a service off for the failures of another one would spread these.
void Inbound::met_error() {
  ill_ += (1.0 - ill_) * kResultWeight;
  failed_ = silent_ = 0;
  down_ = trial_ = false;
}

// It takes nothing until one request has been answered; who waits is told at once.
void Inbound::set_down() {
  down_ = true;
  trial_ = false;
  trial_at_ = now_ + kDownProbeIntervalMs;
  turn_away("down");
}

void Inbound::fail_pending() {
  accepting_ = false;
  turn_away("gone");
  std::vector<std::uint64_t> running;
  for (auto& [id, job] : jobs_) running.push_back(id);
  for (auto id : running) {
    Job& job = jobs_[id];
    const auto server = servers_.find(job.conn);
    const bool sent = server != servers_.end() && server->second.up;
    if (sent)
      say_fail(job);
    else
      say_not_run(job, "gone", false);
    drop_server(job.conn);
    end_job(id);
  }
  running_ = 0;
}

void Inbound::cancel(LinkId link, std::uint64_t n) {
  for (auto& [id, j] : jobs_) {
    if (j.link != link || j.n != n) continue;
    if (abandon(id)) end_job(id);
    return;
  }
}

void Inbound::link_closed(LinkId link) {
  std::vector<std::uint64_t> never_run;
  for (auto& [id, j] : jobs_)
    if (j.link == link && abandon(id)) never_run.push_back(id);
  for (auto id : never_run) end_job(id);
}

// True: it still waits here, and is over with this.
bool Inbound::abandon(std::uint64_t id) {
  Job& j = jobs_[id];
  if (!std::exchange(j.wanted, false)) return false;
  if (queue_.erase(rank(id, j))) return true;
  if (!j.safe) return false;  // what is known of it then would be less than what its database says
  timers_.cancel(j.timer);
  j.timer = timers_.at(std::min(j.deadline, now_ + kAbandonedRequestLimitMs), [this, id] {
    jobs_[id].timer = 0;
    break_off(id);
  });
  return false;
}

// The end of its connection ends it at the database.
void Inbound::break_off(std::uint64_t id) {
  drop_server(jobs_[id].conn);
  --running_;
  end_job(id);
  pump();
}

}  // namespace pebblespindle::sidecar
