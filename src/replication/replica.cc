#include "replication/replica.h"

#include <algorithm>

#include "base/constants.h"
#include "base/json_fields.h"
#include "replication/message_validation.h"

namespace pebblespindle::replication {
using namespace constants;

Node::Node(Start start, Storage& disk, Outlet& out, Millis now)
    : self_(start.host),
      target_(2 * start.losses + 1),
      piece_bytes_(start.piece_bytes),
      disk_(disk),
      out_(out),
      born_(now),
      voters_changed_at_(now),
      put_out_at_(now),
      unseated_since_(now) {
  last_id_ = asked_ = start.life << 16 >> 16;  // ids of a former life are not met again
  for (auto& s : start.seeds) meet(s);
  load();
  if (view_.number > 0) return;
  auto seeds = start.seeds;
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  if (start.bootstrap && std::find(seeds.begin(), seeds.end(), self_) != seeds.end()) {
    view_.number = view_.headed = 1;
    for (auto& f : seeds) view_.members.push_back({f, 1});
    view_.voters = seeds;
    synced_ = 1;
    history_.begin(1, 1);
    save(now);
    return;
  }
  static const char* hex = "0123456789abcdef";
  self_ += '~';
  for (int i = 0; i < 8; ++i) self_ += hex[(start.life >> (4 * i)) & 15];
  out_.note("The disk holds no state. This core is a newcomer: " + self_ + ".");
}

// Takes the state from the disk: at the start, and after the disk has refused a write.
void Node::load() {
  auto meta = disk_.metadata();
  auto parsed = Json::parse(meta["durable"], nullptr, false);
  auto v = View::from(Json::parse(meta["view"], nullptr, false));
  state_.clear();
  staged_.clear();
  stage_.reset();
  history_ = History();
  sent_.reset();
  have_waiting_.reset();
  learned_ = 0;
  committed_ = 0;
  origins_.clear();
  promised_ = accepted_ = {};
  accepted_view_.reset();
  accepting_ = false;
  synced_ = 0;
  view_ = v ? *v : View{};
  if (!v || !parsed.is_object()) return;
  self_ = field<std::string>(parsed, "self", self_);
  promised_ = {number(parsed, "pi"), number(parsed, "pb")};
  accepted_ = {number(parsed, "ai"), number(parsed, "ab")};
  if (parsed.contains("av")) accepted_view_ = View::from(parsed["av"]);
  synced_ = number(parsed, "synced");
  for (auto& r : disk_.rows()) state_.put(r);
  auto stored = Json::parse(meta["stored"], nullptr, false);
  if (stored.is_number_unsigned())
    state_.set_last_sequence(std::max<std::uint64_t>(state_.last_sequence(), stored));
  state_.compact(number(parsed, "trimmed"));
  // A state of a former version knows no terms: all that it holds counts as of the present head's.
  if (!history_.enter(parsed.value("terms", Json())) && state_.last_sequence() > 0)
    history_.begin(view_.headed, 1);
  stage_ = Stage::from(parsed.value("stage", Json()));
  if (stage_)
    for (auto& r : disk_.staged_rows()) staged_.put(r);
  // What the tail holds, all members before it hold as well.
  if (tail() && synced_ == view_.number) committed_ = state_.last_sequence();
  for (auto& m : view_.members) meet(host_of(m.name));
  for (auto& name : view_.voters) meet(host_of(name));
}

// Everything durable but the rows is small; it is written whole with each batch.
bool Node::save(Millis now, WriteBatch b) {
  Json d{{"self", self_},
         {"pi", promised_.instance},
         {"pb", promised_.ballot},
         {"ai", accepted_.instance},
         {"ab", accepted_.ballot},
         {"synced", synced_},
         {"terms", history_.above(0)},
         {"trimmed", state_.compacted_to()}};
  if (stage_) d["stage"] = stage_->json();
  if (accepted_view_) d["av"] = accepted_view_->json();
  b.metadata["durable"] = d.dump();
  b.metadata["view"] = view_.json().dump();
  b.metadata["stored"] = std::to_string(state_.last_sequence());
  if (disk_.commit(b).is_ok()) return true;
  // What memory holds is not what the disk holds: this core takes no part until it has read the disk anew.
  sick_ = true;
  give_back(now);
  out_.note("The disk refuses a write. This core takes no part until it takes one again.");
  return false;
}

// Tries the disk now and then; once it takes a write, what it holds is what counts.
void Node::recover(Millis now) {
  if (now < try_disk_at_) return;
  try_disk_at_ = now + kDiskRetryMs;
  if (!disk_.reopen().is_ok()) return;  // it has taken a trial write
  sick_ = false;
  load();
  unseated_since_ = now;
  next_beat_ = now;
  out_.note("The disk takes writes again. This core takes part again.");
}

// Whoever takes no part says so, and acts on no lease it was given: the others need not wait for their end.
void Node::give_back(Millis now) {
  stepped_out_at_ = now;
  for (auto& [name, p] : peers_) p.leased_from = -1;
  beat(now);
}

void Node::part(Millis now) {
  parting_ = true;
  beat(now);
}

bool Node::may_go(Millis now) const {
  if (!view_.has(self_)) return true;
  if (!view_.votes(self_)) {  // once as many know of it as can take the next loss
    auto knows = [&](const CoreName& v) {
      auto p = peers_.find(v);
      return p != peers_.end() && p->second.view >= view_.number;
    };
    return std::size_t(std::count_if(view_.voters.begin(), view_.voters.end(), knows)) >= view_.majority();
  }
  for (auto& [name, p] : peers_) {
    if (view_.votes(name) || p.out || p.parting || p.heard < 0 || now - p.heard > kCoreSilentMs) continue;
    auto here = present_.find(host_of(name));
    if (here == present_.end() || here->second == name) return false;  // it can take the vote
  }
  return true;
}

void Node::step_out(Millis now) {
  leaving_ = true;
  give_back(now);
}

void Node::meet(const std::string& host) {
  if (host != host_of(self_) && !host.empty()) contacts_.insert(host);
}

std::set<std::string> Node::hosts() const {
  return contacts_;
}

Millis Node::heard(const CoreName& core) const {
  auto it = peers_.find(core);
  return it == peers_.end() ? -1 : it->second.heard;
}

bool Node::in_step(const CoreName& peer) const {
  auto it = peers_.find(peer);
  return it != peers_.end() && it->second.synced == view_.number && view_.has(peer);
}

bool Node::seated(Millis now, Millis guard) const {
  if (!in_step()) return false;
  std::size_t n = view_.votes(self_) && still_grants(self_) ? 1 : 0;
  for (auto& [core, p] : peers_)
    if (core != self_ && p.leased_from >= 0 && view_.votes(core) &&
        now < p.leased_from + kViewLeaseMs - kDriftMarginMs - guard)
      ++n;
  return n >= view_.majority();
}

bool Node::in_touch(Millis now) const {
  std::size_t n = view_.votes(self_) ? 1 : 0;
  for (auto& [core, p] : peers_)
    if (core != self_ && view_.votes(core) && p.heard >= 0 && now - p.heard <= kCoreSilentMs &&
        p.view == view_.number)
      ++n;
  return view_.number > 0 && n >= view_.majority();
}

// Once a next view may be decided that leaves it out, or that others will vote on, no lease of this one is
// given: not to oneself either.
bool Node::still_grants(const CoreName& to) const {
  return !(accepted_view_ && accepted_.instance == view_.number + 1 &&
           (!accepted_view_->has(to) || accepted_view_->voters != view_.voters));
}

// A head is replaced only once a majority's leases to it have ended, so there is one at a time.
bool Node::leads(Millis now) const {
  return view_.head() == self_ && seated(now, kDutyGuardMs);
}

void Node::spread(const Json& m) {
  for (auto& host : contacts_) {
    auto p = present_.find(host);
    out_.send(p == present_.end() ? host : p->second, m);
  }
}

void Node::deliver(Millis now, const CoreName& to, const Json& m) {
  if (to == self_)
    receive(now, self_, m);
  else
    out_.send(to, m);
}

void Node::tick(Millis now) {
  if (sick_) recover(now);
  if (!sick_ && !leaving_) {
    if (now >= next_beat_) {
      next_beat_ = now + kCoreBeatMs;
      beat(now);
    }
    if (seated(now) || !view_.has(self_))
      unseated_since_ = -1;
    else if (unseated_since_ < 0)
      unseated_since_ = now;
    for (auto& [name, p] : peers_) {
      bool behind = view_.has(name) && p.heard >= 0 && p.synced != view_.number && is_fed(now, name);
      if (!behind)
        p.out_of_step_since = -1;
      else if (p.out_of_step_since < 0)
        p.out_of_step_since = now;
    }
    bool waits = in_step() && !tail() && committed_ < state_.last_sequence() && seated(now);
    if (!waits)
      stuck_since_ = -1;
    else if (stuck_since_ < 0)
      stuck_since_ = now;
    propose(now);
    answer_origins(now);  // what waited for the seat
    ask_state(now);
    // Nothing comes back: the next member is asked what it holds, and is sent what it lacks.
    if (in_step() && !tail() && (committed_ < state_.last_sequence() || !in_step(view_.after(self_))) &&
        now >= last_progress_ + kSubmitRetryMs) {
      sent_.reset();
      pass_on(now);
    }
  }
  repeat_unanswered(now);
}

void Node::repeat_unanswered(Millis now) {
  std::vector<std::uint64_t> ended, again;
  for (auto& [id, p] : pending_) {
    if (now >= p.first + kSubmitGiveUpMs)
      ended.push_back(id);
    else if (now >= p.sent + kSubmitRetryMs)
      again.push_back(id);
  }
  for (auto id : again)
    if (auto it = pending_.find(id); it != pending_.end()) offer(now, id, it->second);
  for (auto id : ended) finish(id, {0, "no answer from the chain"});
  ended.clear();
  again.clear();
  for (auto& [id, r] : reads_) {
    if (now >= r.first + kSubmitGiveUpMs)
      ended.push_back(id);
    else if (now >= r.sent + kSubmitRetryMs)
      again.push_back(id);
  }
  for (auto id : again)
    if (auto it = reads_.find(id); it != reads_.end()) ask_tail(now, id, it->second);
  for (auto id : ended) {
    auto it = reads_.find(id);
    if (it == reads_.end()) continue;
    auto done = std::move(it->second.done);
    reads_.erase(it);
    done(std::nullopt, false);
  }
}

void Node::beat(Millis now) {
  Json m{{"t", "b"}, {"v", view_.number}, {"s", synced_}, {"at", now}};
  if (unseated_since_ >= 0) m["u"] = true;
  if (learned_ == view_.number && !view_.has(self_)) m["l"] = learned_;
  if (sick_ || leaving_) m["x"] = true;
  if (parting_) m["w"] = true;
  spread(m);
}

void Node::on_beat(Millis now, const CoreName& from, const Json& m) {
  auto& p = peers_[from];
  present_[host_of(from)] = from;
  meet(host_of(from));
  if (p.heard < 0 || now - p.heard > kCoreSilentMs) p.since = now;
  p.heard = now;
  p.view = number(m, "v");
  p.synced = number(m, "s");
  p.learned = number(m, "l");
  // Without the view's state it has no seat either; that is told by itself.
  if (!field<bool>(m, "u", false) || p.synced != view_.number)
    p.unseated_since = -1;
  else if (p.unseated_since < 0)
    p.unseated_since = now;
  p.out = field<bool>(m, "x", false);
  p.parting = field<bool>(m, "w", false);
  Millis at = field<Millis>(m, "at", -1);
  if (p.out) {
    if (at >= p.granted_at) p.granted = -1;  // not a word of a former life that comes late
    return;
  }
  if (p.view < view_.number) return out_.send(from, decision());
  if (p.view != view_.number || !view_.has(from) || !may_vote() || now < p.withheld_until) return;
  if (!still_grants(from)) return;
  // A member without the view's state holds no lease: it can be put out at once and let in anew.
  if (p.synced != view_.number) return;
  p.granted = now;
  p.granted_at = at;
  out_.send(from, {{"t", "a"}, {"v", view_.number}, {"at", m.value("at", Json())}});
}

// Sends the member after this one every row it has not been sent yet. Where it stands is its own word: a core
// that does not know it asks.
void Node::pass_on(Millis now) {
  CoreName next = view_.after(self_);
  if (next.empty()) return;
  last_progress_ = now;
  if (!sent_) {
    out_.send(next, decision());  // the view first, so that the question is not met too early
    out_.send(next, {{"t", "ask"}, {"n", view_.number}});
    return;
  }
  Json m = rows_after(*sent_, state_.rows_after(*sent_));
  m["n"] = view_.number;
  sent_ = state_.last_sequence();
  out_.send(next, m);
}

// All that follows on a number, as one message.
Json Node::rows_after(std::uint64_t base, const std::vector<Row>& rows) const {
  Json m{{"t", "up"},
         {"base", base},
         {"bt", history_.at(base)},
         {"k", state_.last_sequence()},
         {"r", encode_rows(rows)}};
  if (Json terms = history_.above(base); !terms.empty()) m["e"] = std::move(terms);
  Json o = Json::array();
  for (auto& x : origins_)
    if (x.number > base && x.status == 200) o.push_back(Json::array({x.number, x.core, x.id}));
  if (!o.empty()) m["o"] = std::move(o);
  return m;
}

// Rows that follow on what is held here. Whether they do is told by number and term of the base.
void Node::on_update(Millis now, const CoreName& from, const Json& m) {
  if (sick_ || leaving_ || number(m, "n") != view_.number) return;
  const bool member = view_.has(self_), joining = synced_ != view_.number;
  // The member before speaks by itself; else it is an answer to the last question.
  const bool answer = number(m, "q") != 0 && number(m, "q") == asked_;
  if (member ? view_.before(self_) != from : !answer) return;
  auto rows = decode_rows(m.value("r", Json()));
  if (!rows) return;
  const std::uint64_t base = number(m, "base"), k = number(m, "k"), before = state_.last_sequence();
  if (base > before || k < base || !history_.agrees(base, number(m, "bt")) || (joining && base != before)) {
    if (answer) return;
    asked_at_ = -100000;
    return ask_state(now);
  }
  WriteBatch b;
  drop_stage(b);
  if (k > before) {
    history_.enter(m.value("e", Json()));
    for (auto& r : *rows)
      if (r.sequence > before) b.rows.push_back(r);
    for (auto& r : b.rows) state_.put(r);
    state_.set_last_sequence(k);
  }
  if (member) synced_ = view_.number;
  if ((k > before || (member && joining) || b.clear_staged) && !save(now, b)) return;
  if (!member) {
    if (std::exchange(learned_, view_.number) != view_.number) beat(now);  // it may be let in
    return;
  }
  if (joining) origins_.clear();
  if (m.contains("o"))
    for (auto& o : m["o"]) {
      Origin x{o.at(0), o.at(1), o.at(2), 200, {}, 0};
      bool known = false;
      for (auto& y : origins_) known = known || (y.core == x.core && y.id == x.id);
      if (!known) origins_.push_back(x);
    }
  if (joining) return in_step_now(now);
  if (tail())
    commit_up_to(now, state_.last_sequence());
  else if (k > before)
    pass_on(now);
}

// This core has come to hold the view's state.
void Node::in_step_now(Millis now) {
  last_progress_ = now;
  if (tail()) {
    commit_up_to(now, state_.last_sequence());
  } else if (have_waiting_) {
    Json m = *std::exchange(have_waiting_, std::nullopt);
    on_have(now, view_.after(self_), m);
  } else {
    pass_on(now);
  }
  beat(now);
}

void Node::linked() {
  next_beat_ = 0;
  asked_at_ = -100000;
}

void Node::on_commit(Millis now, const CoreName& from, const Json& m) {
  if (number(m, "n") != view_.number || view_.after(self_) != from || !in_step()) return;
  stuck_since_ = -1;
  commit_up_to(now, std::min(number(m, "k"), state_.last_sequence()));
}

void Node::commit_up_to(Millis now, std::uint64_t k) {
  bool rose = k > committed_;
  committed_ = std::max(committed_, k);
  last_progress_ = now;
  CoreName before = view_.before(self_);
  if (!before.empty()) out_.send(before, {{"t", "com"}, {"n", view_.number}, {"k", committed_}});
  answer_origins(now);
  if (rose) out_.committed(committed_);
  take_waiting(now);
}

// Updates are answered from the tail; what changed nothing, or was refused, from the head. Both speak only
// from a seat.
void Node::answer_origins(Millis now) {
  if (origins_.empty() || !seated(now)) return;
  std::vector<Origin> ready;
  std::erase_if(origins_, [&](Origin& o) {
    if (o.number > committed_) return false;
    if (tail() || o.status != 200 || o.reason == "same") ready.push_back(o);
    return true;
  });
  for (auto& o : ready) {
    Json m{{"t", "done"}, {"id", o.id}, {"s", o.status}};
    if (o.status != 200) m["why"] = o.reason, m["q"] = o.tried;
    deliver(now, o.core, m);
  }
}

// An offer names the view it was meant for: one that was long on its way, from before another head may have
// refused it, is not taken.
void Node::on_offer(Millis now, const CoreName& from, const Json& m) {
  if (number(m, "n") < view_.number) return deliver(now, from, decision());
  if (number(m, "n") == view_.number) head_takes(now, from, number(m, "id"), number(m, "q"), m["u"]);
}

void Node::head_takes(Millis now, const CoreName& origin, std::uint64_t id, std::uint64_t tried,
                      const Json& update) {
  if (view_.head() != self_ || !seated(now)) return;
  auto again = [&](auto& o) {  // offered again while under way
    if (o.core != origin || o.id != id) return false;
    o.tried = std::max(o.tried, tried);
    return true;
  };
  if (std::any_of(origins_.begin(), origins_.end(), again)) return;
  if (std::any_of(waiting_.begin(), waiting_.end(), again)) return;
  waiting_.push_back({origin, id, tried, update, now});
  take_waiting(now);
}

// One batch is on its way at a time: what is offered meanwhile shares the next sync and the next message.
void Node::take_waiting(Millis now) {
  if (waiting_.empty() || committed_ < state_.last_sequence()) return;
  auto offers = std::move(waiting_);
  waiting_.clear();
  if (view_.head() != self_ || !seated(now)) return;  // they are offered again, here or elsewhere
  WriteBatch b;
  for (auto& o : offers) {
    if (now >= o.at + kSubmitGiveUpMs) continue;  // nobody waits for it any more
    Verdict v = out_.judge(state_, o.update);
    if (v.status != 200 || v.rows.empty()) {
      origins_.push_back(
          {state_.last_sequence(), o.core, o.id, v.status, v.status == 200 ? "same" : v.reason, o.tried});
      continue;
    }
    std::uint64_t next = state_.last_sequence() + 1;
    for (auto& r : v.rows) {
      r.sequence = next;
      state_.put(r);
      b.rows.push_back(r);
    }
    origins_.push_back({next, o.core, o.id, 200, {}, o.tried});
  }
  if (b.rows.empty()) return answer_origins(now);
  if (!save(now, b)) return;
  if (tail()) return commit_up_to(now, state_.last_sequence());
  pass_on(now);
}

void Node::offer(Millis now, std::uint64_t id, Pending& p) {
  p.sent = now;
  CoreName head = view_.head();
  if (head.empty()) return;
  p.asked = head;
  ++p.tries;
  if (head == self_) return head_takes(now, self_, id, p.tries, Json(p.update));
  out_.send(head, {{"t", "sub"}, {"id", id}, {"n", view_.number}, {"q", p.tries}, {"u", p.update}});
}

void Node::submit(Millis now, Json update, std::function<void(Answer)> done) {
  std::uint64_t id = ++last_id_;
  auto& p = pending_[id];
  p.update = std::move(update);
  p.done = std::move(done);
  p.first = now;
  offer(now, id, p);
}

// That an update was taken is true whoever of the chain says so. A refusal counts only from the head that was
// asked last, and for the last try: after an earlier one the update may have been taken.
void Node::on_done(const CoreName& from, const Json& m) {
  auto it = pending_.find(number(m, "id"));
  if (it == pending_.end()) return;
  int status = field<int>(m, "s", 0);
  bool counts = status == 200 ? from == it->second.asked || view_.has(from)
                              : from == it->second.asked && number(m, "q") == it->second.tries;
  if (counts) finish(it->first, {status, field<std::string>(m, "why", "")});
}

void Node::finish(std::uint64_t id, Answer a) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  auto done = std::move(it->second.done);
  pending_.erase(it);
  done(std::move(a));
}

void Node::read(Millis now, const std::string& key,
                std::function<void(std::optional<std::string>, bool)> done) {
  std::uint64_t id = ++last_id_;
  reads_[id] = {key, std::move(done), now, now, {}};
  ask_tail(now, id, reads_[id]);
}

void Node::ask_tail(Millis now, std::uint64_t id, PendingRead& r) {
  r.sent = now;
  r.asked = view_.tail();
  Json m{{"t", "read"}, {"id", id}, {"key", r.key}};
  if (!view_.tail().empty()) deliver(now, view_.tail(), m);
}

void Node::serve_read(Millis now, const CoreName& from, const Json& m) {
  if (!tail() || !seated(now)) return;
  const Row* r = state_.find(field<std::string>(m, "key", ""));
  Json a{{"t", "val"}, {"id", number(m, "id")}};
  if (r) a["v"] = r->value;
  deliver(now, from, a);
}

void Node::on_value(const CoreName& from, const Json& m) {
  auto it = reads_.find(number(m, "id"));
  if (it == reads_.end() || it->second.asked != from) return;
  auto done = std::move(it->second.done);
  reads_.erase(it);
  if (m.contains("v"))
    done(field<std::string>(m, "v", ""), true);
  else
    done(std::nullopt, true);
}

void Node::receive(Millis now, const CoreName& from, const Json& m) {
  if (!from.empty() && well_formed(m)) take(now, from, m);
}

void Node::take(Millis now, const CoreName& from, const Json& m) {
  std::string t = field<std::string>(m, "t", "");
  if (t == "b") return on_beat(now, from, m);
  if (t == "a") {
    if (number(m, "v") == view_.number) {
      Millis at = field<Millis>(m, "at", -1);
      auto& p = peers_[from];
      if (at > stepped_out_at_ && at <= now) p.leased_from = std::max(p.leased_from, at);
    }
    return;
  }
  if (t == "up") return on_update(now, from, m);
  if (t == "com") return on_commit(now, from, m);
  if (t == "have") return on_have(now, from, m);
  if (t == "pc") return on_piece(now, from, m);
  if (t == "ask") {
    if (number(m, "n") != view_.number || view_.before(self_) != from) return;
    asked_at_ = -100000;
    return ask_state(now);
  }
  if (t == "sub") return on_offer(now, from, m);
  if (t == "done") return on_done(from, m);
  if (t == "read") return serve_read(now, from, m);
  if (t == "val") return on_value(from, m);
  if (t == "prep") return on_prepare(now, from, m);
  if (t == "prom") return on_promise(now, from, m);
  if (t == "acc") return on_accept(now, from, m);
  if (t == "accd") return on_accepted(now, from, m);
  if (t == "dec") {
    auto v = View::from(m.value("view", Json()));
    if (v && !sick_ && (v->number != view_.number + 1 || view_.number == 0 || v->follows(view_)))
      return decide(now, *v);
  }
}

}  // namespace pebblespindle::replication
