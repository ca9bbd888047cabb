#include "failover/failover.h"

#include <algorithm>

#include "base/clock.h"
#include "config/command_validation.h"
#include "failover/constants.h"
#include "membership/constants.h"

namespace pebblespindle::failover {

const ClusterState& Failover::cluster() {
  if (!cluster_.follow(state_)) return cluster_;
  std::erase_if(known_, [&](auto& k) {
    if (cluster_.instance(k.first)) return false;
    departed_.push_back({k.second, now_});
    return true;
  });
  for (auto& [id, i] : cluster_.instances()) known_[id] = i;
  return cluster_;
}

std::vector<Instance> Failover::members(const std::string& service) {
  std::vector<Instance> out;
  for (auto* i : cluster().instances_of(service)) out.push_back(*i);
  return out;
}

// One that has told of its end goes on receiving until it ends: what it has received counts, unless the
// primary tells what does. One that leads is asked in any case.
std::vector<Instance> Failover::receivers(const std::string& service, const Job& job) {
  auto out = members(service);
  auto l = lead(service);
  std::erase_if(departed_, [&](auto& d) {
    return now_ > d.since + kDepartedDatabaseMs || (d.gone() && now_ > d.since + kDepartedUnqueriedMs);
  });
  for (auto& d : departed_) {
    if (d.instance.service != service) continue;
    if (!job.committed.none() && !(l && d.instance.id == l->primary)) continue;
    out.push_back(d.instance);
    out.back().draining = true;
  }
  return out;
}

Failover::Departed* Failover::departed(const InstanceId& id) {
  auto d = std::find_if(departed_.begin(), departed_.end(), [&](auto& x) { return x.instance.id == id; });
  return d == departed_.end() ? nullptr : &*d;
}

// What those that leave have answered: their logs, and whether they have ended. A single refusal may be the
// reset of a connection.
void Failover::note_departing(const std::string& service, Job& job) {
  for (auto& i : receivers(service, job)) {
    auto r = job.replies.find(i.id);
    if (r == job.replies.end()) continue;
    bool row = r->second.kind == DbReply::Kind::kRow;
    if (row && !r->second.info.primary) job.logs[i.id] = std::max(job.logs[i.id], r->second.info.received);
    if (Departed* d = departed(i.id)) {
      if (r->second.error.starts_with("WRONGNODE"))
        d->refusals = kRefusalsUntilGone;
      else if (r->second.kind == DbReply::Kind::kRefused)
        ++d->refusals;
      else
        d->refusals = 0;
    }
  }
}

std::optional<PrimaryAssignment> Failover::lead(const std::string& service) {
  const PrimaryAssignment* l = cluster().primary_of(service);
  return l ? std::optional(*l) : std::nullopt;
}

std::optional<Instance> Failover::instance(const InstanceId& id) {
  const Instance* i = cluster().instance(id);
  return i ? std::optional(*i) : std::nullopt;
}

int Failover::sync_replicas(const std::string& service) {
  auto& services = cluster().configuration().services;
  auto it = services.find(service);
  return it == services.end() ? 1 : it->second.sync_replicas;
}

bool Failover::busy() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [](auto& j) { return j.second.step != Step::kIdle; });
}

void Failover::go(Job& job, Step step) {
  job.step = step;
  job.since = now_;
  ++job.round;
}

void Failover::again(Millis now, Job& job) {
  go(job, Step::kHolding);
  job.retry_at = now + kFailoverRetryMs;
}

void Failover::suspect(Millis now, const InstanceId& id, const std::string& zone, const std::string& node,
                       bool refused, bool once) {
  auto& r = reports_[id];
  r.nodes[node] = {zone, now, once};
  if (refused) r.refused = now;
}

void Failover::cleared(Millis, const InstanceId& id, const std::string& node) {
  auto r = reports_.find(id);
  if (r != reports_.end()) r->second.nodes.erase(node);
}

void Failover::slow(Millis now, const InstanceId& id, const std::string& zone, const std::string& node) {
  reports_[id].slow[node] = {zone, now};
}

// Half of the nodes, in more than one zone, find it slow: it is the database, not a link.
bool Failover::found_slow(const std::string& service, const InstanceId& id) {
  auto r = reports_.find(id);
  if (r == reports_.end()) return false;
  std::erase_if(r->second.slow, [&](auto& n) { return n.second.second < now_ - kSlowReportTtlMs; });
  std::set<std::string> zones;
  for (auto& [node, report] : r->second.slow) zones.insert(report.first);
  auto last = handed_over_.find(service);
  if (last != handed_over_.end() && now_ < last->second + kSlowHandOverIntervalMs) return false;
  if (zones.size() < 2 || 2 * r->second.slow.size() < out_.members()) {
    r->second.agreed_since = -1;
    return false;
  }
  if (r->second.agreed_since < 0) r->second.agreed_since = now_;
  return now_ >= r->second.agreed_since + kSlowAgreementMs;  // a stall passes by itself
}

std::size_t Failover::zones_missing(const InstanceId& id) {
  auto& r = reports_[id];
  std::erase_if(r.nodes, [&](auto& n) { return n.second.at < now_ - kSuspectWindowMs; });
  // One missed answer of one node says little; of several nodes, as much as several of one.
  bool many = r.nodes.size() >= kMinNodesMissingOnce;
  std::set<std::string> zones;
  for (auto& [node, miss] : r.nodes)
    if (many || !miss.once) zones.insert(miss.zone);
  return zones.size();
}

void Failover::told(Millis now, const Instance& i) {
  now_ = now;
  auto job = jobs_.find(i.service);
  if (job != jobs_.end() && job->second.step == Step::kAwaiting && i.primary &&
      job->second.successor == i.id) {
    job->second.told = true;
    tick(now);
  }
}

void Failover::tick(Millis now) {
  now_ = now;
  cluster();
  if (std::uint64_t token = out_.token(); token != token_) {  // the duty has been another's meanwhile
    token_ = token;
    jobs_.clear();
    releases_.clear();
  }
  if (!out_.holds()) return;  // with a change of view it comes back in a moment
  std::vector<std::string> services;
  for (auto& [service, l] : cluster().primaries()) services.push_back(service);
  for (auto& s : services) {
    consider(now, s, jobs_[s]);
    release(now, s);
  }
}

void Failover::consider(Millis now, const std::string& service, Job& job) {
  auto l = lead(service);
  if (!l) return;
  switch (job.step) {
    case Step::kIdle: {
      if (l->suspended) {  // taken over from another holder, or just begun
        job.held_number = state_.find(primary_key(service))->sequence;
        job.held_since = now;
        job.called = true;  // another holder may have called
        return go(job, Step::kHolding);
      }
      if (now < job.retry_at) return;
      auto primary = instance(l->primary);
      auto& all = cluster().instances_of(service);
      bool other = std::any_of(all.begin(), all.end(), [&](auto* i) { return i->id != l->primary; });
      bool successor =
          std::any_of(all.begin(), all.end(), [&](auto* i) { return i->id != l->primary && !i->draining; });
      // One that has told of its end and still runs tells what it has committed.
      Departed* left = primary ? nullptr : departed(l->primary);
      bool runs = left && !left->gone() && now <= left->since + kDepartedDatabaseMs;
      if (runs && !successor) return;
      if (!primary && other) return begin(now, service, *l, runs, "the primary has left");
      if (!primary) return;
      // Where all others are leaving, one of them takes over from a dead primary all the same: it alone can
      // hand its log on, while it runs.
      if (!other) return;
      if (primary->draining && successor) return begin(now, service, *l, true, "the primary is leaving");
      if (successor && found_slow(service, l->primary)) {
        handed_over_[service] = now;
        return begin(now, service, *l, true, "the primary is slow");
      }
      auto rep = reports_.find(l->primary);
      if (rep == reports_.end()) return;
      auto& r = rep->second;
      bool refused = r.refused > now - kSuspectWindowMs;
      std::size_t zones = zones_missing(l->primary);
      if (zones == 0 || r.asking || now < r.quiet_until) return;
      if (!refused && zones < 2) return;
      r.asking = true;
      out_.ask(*primary, "INFO", [this, service, lead = *l](DbReply reply) {
        auto& rr = reports_[lead.primary];
        rr.asking = false;
        if (reply.kind == DbReply::Kind::kRow || reply.kind == DbReply::Kind::kError) {
          rr = {};
          rr.quiet_until = now_ + kSuspectQuietMs;
          return;
        }
        // Silence counts only while nodes of two zones still miss every answer: a link may be at fault.
        bool dead = reply.kind == DbReply::Kind::kRefused || zones_missing(lead.primary) >= 2;
        if (!dead) return;
        rr = {};
        auto current = this->lead(service);
        if (current && !current->suspended && current->primary == lead.primary && out_.holds())
          begin(now_, service, *current, false,
                reply.kind == DbReply::Kind::kRefused ? "the primary refuses connections"
                                                      : "the primary is silent");
      });
      return;
    }
    case Step::kAsking:
      return;
    case Step::kHolding: {
      if (now < job.retry_at) return;
      // Whoever gives leases had stored the suspension when it was committed: older leases have ended by now.
      bool expired = now >= job.held_since + kNodeLeaseMs + 2 * kClockDriftMarginMs;
      if (!expired && !out_.all_acknowledged(job.held_number)) return;
      return survey(now, service, job);
    }
    case Step::kPromoting:
    case Step::kSurvey:
    case Step::kPausing:
    case Step::kFinishing:
      if (now > job.since + 4 * kPlatformTimeoutMs) again(now, job);  // an answer went missing
      return;
    case Step::kAwaiting:
      if (job.told || now >= job.since + kPromoteCheckMs) confirm_lead(now, service, job);
      return;
  }
}

void Failover::begin(Millis now, const std::string& service, const PrimaryAssignment& l, bool planned,
                     const std::string& why) {
  auto& job = jobs_[service];
  const Row* row = state_.find(primary_key(service));
  if (!row) return;
  out_.note("Failover of " + service + " begins: " + why + " (" + l.primary.value + ").");
  PrimaryAssignment next = l;
  next.suspended = true;
  next.releasing = false;
  next.planned = planned;
  job = Job{};
  job.since = now;
  go(job, Step::kAsking);
  std::uint64_t round = job.round;
  out_.submit(assign_primary(service, row->value, next), [this, service, round](Status) {
    auto& j = jobs_[service];
    if (j.step != Step::kAsking || j.round != round) return;
    auto current = lead(service);
    if (!current || !current->suspended) {
      j.retry_at = now_ + kFailoverRetryMs;
      return go(j, Step::kIdle);
    }
    j.held_number = state_.find(primary_key(service))->sequence;
    j.held_since = now_;
    go(j, Step::kHolding);
    consider(now_, service, j);
  });
}

void Failover::ask_all(const std::string& service, Job& job, const std::vector<Instance>& whom,
                       const std::string& statement, std::function<void()> then) {
  job.replies.clear();
  job.awaited = whom.size();
  std::uint64_t round = job.round;
  for (auto& i : whom)
    out_.ask(i, statement, [this, service, round, id = i.id, then](DbReply r) {
      auto& j = jobs_[service];
      if (j.round != round) return;
      j.replies[id] = r;
      if (--j.awaited == 0) then();
    });
}

// Learns the newest term, and whether someone leads already.
void Failover::survey(Millis now, const std::string& service, Job& job) {
  go(job, Step::kSurvey);
  auto l = lead(service);
  if (!l) return;
  // A primary that is said to be alive is waited for: what it has committed must not be left behind. One that
  // may be dead is asked as well, but not waited for: what it has acknowledged is on the replicas.
  bool wait = l->planned && !job.called && job.blind < kMaxUnknownPositionAttempts;
  job.committed = {};  // what a primary told that has died since leaves out what others have received
  auto whom = receivers(service, job);
  if (wait) std::erase_if(whom, [&](auto& i) { return i.id != l->primary && !instance(i.id); });
  if (!wait) {
    for (auto& i : whom)
      if (i.id == l->primary) {
        std::uint64_t round = job.round;
        out_.ask(i, "INFO", [this, service, round, id = i.id](DbReply r) {
          auto& j = jobs_[service];
          if (j.round == round && j.step == Step::kSurvey) j.replies[id] = r;
        });
      }
    std::erase_if(whom, [&](auto& i) { return i.id == l->primary; });
  }
  if (whom.empty()) return again(now, job);
  ask_all(service, job, whom, "INFO", [this, service] { surveyed(now_, service, jobs_[service]); });
}

void Failover::surveyed(Millis now, const std::string& service, Job& job) {
  auto l = lead(service);
  if (!l || !l->suspended) return go(job, Step::kIdle);
  std::uint64_t newest = l->term, old_term = 0;
  InstanceId leader;
  std::uint64_t leader_term = 0;
  note_departing(service, job);
  for (auto& [id, r] : job.replies) {
    // Its address is another's by now: the database of that name is no more.
    if (r.error.starts_with("WRONGNODE")) out_.submit(remove_instance(id), [](Status) {});
    if (r.kind != DbReply::Kind::kRow) continue;
    newest = std::max({newest, r.info.term, r.info.received.term, r.info.held});
    const std::uint64_t known = std::max(l->term, job.follow_term);
    if (id == l->primary && r.info.primary && known > 0 && r.info.term > known) {
      leader = id, leader_term = r.info.term;  // it has been replaced and promoted again
      continue;
    }
    if (id == l->primary && r.info.primary) {
      old_term = r.info.term;
      // Once a promote may have been called, it is the logs of all who received that count: what the primary
      // has stored since, and nobody was told of, is no reason to let the others go on.
      if (!job.called) job.committed = r.info.received;
    }
    if (id != l->primary && r.info.primary && r.info.term > leader_term)
      leader = id, leader_term = r.info.term;
  }
  // Whoever still leads a term that has been followed by another has missed the promote, not won it.
  if (!leader.empty() && leader_term > std::max(old_term, l->term))
    return announce(now, service, job, leader, leader_term);
  if (newest == 0) return again(now, job);  // nobody told a term
  bool alive = job.alive = old_term > 0;
  if (!alive && l->planned && !job.called && ++job.blind < kMaxUnknownPositionAttempts)
    return again(now, job);
  if (alive && !l->planned && !job.called) return abandon(now, service, job);
  auto old = job.replies.find(l->primary);
  job.follows = old != job.replies.end() && old->second.kind == DbReply::Kind::kRow && !alive;
  if (job.follows) job.follow_term = std::max(job.follow_term, newest);
  std::vector<Instance> whom;
  for (auto& i : receivers(service, job))
    if (i.id != l->primary || job.follows) whom.push_back(i);
  if (whom.empty()) return again(now, job);
  std::vector<Instance> former;
  for (auto& i : whom)
    if (auto r = job.replies.find(i.id); r != job.replies.end() && r->second.info.primary)
      former.push_back(i);
  if (!former.empty()) {
    ++job.round;
    return ask_all(service, job, former, "STEPDOWN " + std::to_string(newest),
                   [this, service] { again(now_, jobs_[service]); });
  }
  job.term = newest;
  go(job, Step::kPausing);
  ask_all(service, job, whom, "PAUSE " + std::to_string(newest + 1),
          [this, service] { paused(now_, service, jobs_[service]); });
}

void Failover::paused(Millis now, const std::string& service, Job& job) {
  auto l = lead(service);
  if (!l || !l->suspended) return go(job, Step::kIdle);
  const bool must_have_all = sync_replicas(service) > 0;
  std::optional<Position> furthest;
  bool missing = false;
  std::string out_of_reach;
  note_departing(service, job);
  std::vector<Instance> whom;
  for (auto& i : receivers(service, job)) {
    if (i.id == l->primary && !job.follows) continue;
    auto r = job.replies.find(i.id);
    // One that has told of its end, and has ended. Where its log was never learnt, the primary may be back
    // before long, and knows what was committed.
    Departed* d = departed(i.id);
    if (d && d->gone() && (job.logs.count(i.id) || now > d->since + kDepartedUnqueriedMs)) continue;
    if (r == job.replies.end() || r->second.kind != DbReply::Kind::kRow) {
      missing = true;
      const char* how[] = {"a row", "an error", "a refusal", "silence"};
      out_of_reach =
          i.id.value + " answers with " +
          (r == job.replies.end() ? "nothing" : how[int(r->second.kind)] + (" " + r->second.error));
      continue;
    }
    whom.push_back(i);
    if (!furthest || r->second.info.received > *furthest) furthest = r->second.info.received;
  }
  auto former = instance(l->primary);  // it may lead, follow or be gone
  if (missing && l->planned && former && !former->draining && !job.called) return abandon(now, service, job);
  if (whom.empty() || (missing && must_have_all)) {
    // Which commits the one out of reach holds is not known: nothing is promoted over it.
    if (now > job.since) out_.note("Failover of " + service + " waits: " + out_of_reach + ".");
    return again(now, job);
  }
  // What one that left took along is nowhere but in the log of the primary. Nodes pass no commit on as kept
  // meanwhile, so to let the others receive lets nothing be acknowledged.
  for (auto& [id, position] : job.logs) {
    bool here = std::any_of(whom.begin(), whom.end(), [&, name = id](auto& i) { return i.id == name; });
    if (here || !must_have_all || !former || position <= *furthest || !job.committed.none()) continue;
    out_.note("Failover of " + service + " waits: " + id.value + " has ended and had received " +
              position.text() + ", the others " + furthest->text() + ".");
    if (!job.alive) return again(now, job);
    // Where the others don't take it from there, because they know of a promote whose lead has ended since,
    // the former primary follows as well, and is the furthest.
    if (++job.unheard > kMaxUnknownPositionAttempts) {
      ++job.round;
      return ask_all(service, job, {*former}, "STEPDOWN " + std::to_string(job.term + 1),
                     [this, service] { again(now_, jobs_[service]); });
    }
    return receive_more(service, job, whom);
  }
  if (*furthest < job.committed) {
    // Something was committed with the help of a database that is not known here: let the others receive it.
    out_.note("Failover of " + service + " waits: the replicas stand at " + furthest->text() +
              ", the primary at " + job.committed.text() + ".");
    return receive_more(service, job, whom);
  }
  const Instance* best = nullptr;
  for (auto& i : whom) {
    if (job.replies[i.id].info.received != *furthest) continue;
    if (!best || (best->draining && !i.draining) ||
        (best->draining == i.draining && job.replies[i.id].info.lag_ms < job.replies[best->id].info.lag_ms))
      best = &i;
  }
  if (best->draining && l->planned && !job.called) {
    bool other = std::any_of(whom.begin(), whom.end(), [](auto& i) { return !i.draining; });
    // One that stays will have caught up in a moment: let the replicas receive once more.
    if (other) return receive_more(service, job, whom);
  }
  job.successor = best->id;
  promote(now, service, job);
}

void Failover::receive_more(const std::string& service, Job& job, const std::vector<Instance>& whom) {
  ++job.round;
  ask_all(service, job, whom, "CONTINUE", [this, service] { again(now_, jobs_[service]); });
}

void Failover::promote(Millis now, const std::string& service, Job& job) {
  if (!out_.holds()) return go(job, Step::kIdle);
  go(job, Step::kPromoting);
  job.called = true;
  std::uint64_t round = job.round;
  std::string seen;
  for (auto& [id, r] : job.replies)
    if (r.kind == DbReply::Kind::kRow)
      seen += (seen.empty() ? "" : ", ") + id.value + " at " + r.info.received.text();
  out_.note("Failover of " + service + " promotes " + job.successor.value + " (" + seen + ").");
  out_.promote(service, job.successor, [this, service, round](int status) {
    auto& j = jobs_[service];
    if (j.round != round) return;
    if (status == 409 || status < 0) return again(now_, j);  // or not sent: the duty was gone
    if (status == 200 || status == 0) {
      go(j, Step::kAwaiting);
      j.told = false;
      return;
    }
    out_.note("The platform answered " + std::to_string(status) + "; the call is made again.");
    j.retry_at = now_ + kPromoteRetryMs;
    go(j, Step::kHolding);
  });
  (void)now;
}

void Failover::confirm_lead(Millis now, const std::string& service, Job& job) {
  auto i = instance(job.successor);
  if (Departed* d = departed(job.successor); !i && d) i = d->instance;
  if (!i) return again(now, job);
  go(job, Step::kFinishing);
  std::uint64_t round = job.round;
  out_.ask(*i, "INFO", [this, service, round](DbReply r) {
    auto& j = jobs_[service];
    if (j.round != round) return;
    if (r.kind == DbReply::Kind::kRow && r.info.primary)
      return announce(now_, service, j, j.successor, r.info.term);
    again(now_, j);
  });
}

void Failover::announce(Millis now, const std::string& service, Job& job, const InstanceId& id,
                        std::uint64_t term) {
  const Row* row = state_.find(primary_key(service));
  auto l = lead(service);
  if (!row || !l) return;
  go(job, Step::kFinishing);
  std::uint64_t round = job.round;
  out_.note("Failover of " + service + ": " + id.value + " leads term " + std::to_string(term) + ".");
  out_.submit(assign_primary(service, row->value, PrimaryAssignment{id, false, false, term, true}),
              [this, service, round](Status) {
                auto& j = jobs_[service];
                if (j.round != round) return;
                auto current = lead(service);
                if (!current || current->suspended) return again(now_, j);
                j = Job{};
                reports_.clear();
                release(now_, service);
              });
  (void)now;
}

// After a switch, or one given up: whoever is held receives again, and a former primary learns that it is
// one. The state says so until all have answered, so that the next holder goes on where this one stops.
void Failover::release(Millis now, const std::string& service) {
  auto l = lead(service);
  if (!l || l->suspended || !l->releasing) {
    releases_.erase(service);
    return;
  }
  auto& r = releases_[service];
  if (r.awaited > 0 || now < r.retry_at) return;
  std::vector<Instance> whom;
  for (auto& i : members(service))
    if (i.id != l->primary && !r.done.count(i.id)) whom.push_back(i);
  if (whom.empty() && !r.twice) {  // a PAUSE that went unanswered may arrive after the first CONTINUE
    r.twice = true;
    r.tries = 0;
    r.done.clear();
    r.refusals.clear();
    r.retry_at = now + kLateStatementMs;
    return;
  }
  if (whom.empty()) {
    const Row* row = state_.find(primary_key(service));
    PrimaryAssignment next = *l;
    next.releasing = false;
    r.retry_at = now + kFailoverRetryMs;
    return out_.submit(assign_primary(service, row->value, next), [](Status) {});
  }
  r.awaited = whom.size();
  r.retry_at = now + kFailoverRetryMs * Millis(std::min<std::size_t>(++r.tries, 5));
  std::uint64_t serial = r.serial = ++last_release_;
  for (auto& i : whom) {
    auto done = [this, service, serial, id = i.id](DbReply reply) {
      auto it = releases_.find(service);
      if (it == releases_.end() || it->second.serial != serial) return;
      --it->second.awaited;
      // A process that is gone holds nothing; one that comes back has started anew. A single refusal may be
      // the reset of a connection.
      auto& refusals = it->second.refusals[id];
      refusals = reply.kind == DbReply::Kind::kRefused ? refusals + 1 : 0;
      if (reply.kind == DbReply::Kind::kRow || refusals >= kRefusalsUntilGone) it->second.done.insert(id);
    };
    if (!i.primary) {
      out_.ask(i, "CONTINUE", done);
      continue;
    }
    // What it last said of itself may be old: it may lead still, or be held by now.
    out_.ask(i, "STEPDOWN " + std::to_string(l->term), [this, i, service, serial, done](DbReply reply) {
      auto it = releases_.find(service);
      if (it == releases_.end() || it->second.serial != serial) return;  // another switch has begun
      if (reply.kind == DbReply::Kind::kRow)
        out_.ask(i, "CONTINUE", done);
      else
        done(reply);
    });
  }
}

// The primary is there after all: the replicas go on receiving and it leads again.
void Failover::abandon(Millis now, const std::string& service, Job& job) {
  const Row* row = state_.find(primary_key(service));
  auto l = lead(service);
  if (!row || !l) return;
  out_.note("Failover of " + service + " is given up: the primary answers.");
  go(job, Step::kFinishing);
  std::uint64_t round = job.round;
  PrimaryAssignment next = *l;
  next.suspended = next.planned = false;
  next.releasing = true;
  out_.submit(assign_primary(service, row->value, next), [this, service, round](Status) {
    auto& j = jobs_[service];
    if (j.round != round) return;
    auto current = lead(service);
    if (!current || current->suspended) return again(now_, j);
    j = Job{};
    j.retry_at = now_ + kFailoverRetryMs;
  });
  (void)now;
}

}  // namespace pebblespindle::failover
