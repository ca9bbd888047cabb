#include "chain/node.h"

#include <algorithm>

#include "keel/constants.h"

namespace pebblespindle::chain {
using namespace constants;

namespace {

template <class T>
T field(const Json& m, const char* name, T fallback) {
  auto it = m.find(name);
  if (it == m.end()) return fallback;
  if constexpr (std::is_same_v<T, std::string>) {
    if (!it->is_string()) return fallback;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!it->is_boolean()) return fallback;
  } else if (!it->is_number_integer()) {
    return fallback;
  }
  return it->template get<T>();
}

std::uint64_t number(const Json& m, const char* name) {
  return field<std::uint64_t>(m, name, 0);
}

}  // namespace

Node::Node(CoreName self, std::vector<CoreName> founders, bool bootstrap, Disk& disk, Outlet& out, Millis now)
    : self_(std::move(self)), founders_(std::move(founders)), disk_(disk), out_(out), born_(now) {
  std::sort(founders_.begin(), founders_.end());
  founders_.erase(std::unique(founders_.begin(), founders_.end()), founders_.end());
  auto meta = disk_.meta();
  last_id_ = std::uint64_t(now) << 20;  // ids of a former life are not met again
  if (meta.count("view")) {
    auto parsed = Json::parse(meta["durable"], nullptr, false);
    auto v = View::from(Json::parse(meta["view"], nullptr, false));
    if (v) view_ = *v;
    if (parsed.is_object()) {
      if (parsed.contains("founders")) founders_ = parsed["founders"].get<std::vector<std::string>>();
      promised_ = {number(parsed, "pi"), number(parsed, "pb")};
      accepted_ = {number(parsed, "ai"), number(parsed, "ab")};
      if (parsed.contains("av")) accepted_view_ = View::from(parsed["av"]);
      synced_ = number(parsed, "synced");
      remembers_ = field<bool>(parsed, "remembers", true);
      forgot_until_ = number(parsed, "forgot");
    }
    for (auto& r : disk_.rows()) ledger_.put(r);
    auto stored = Json::parse(meta["stored"], nullptr, false);
    if (stored.is_number_unsigned()) ledger_.set_stored(std::max<std::uint64_t>(ledger_.stored(), stored));
    if (tail() && synced_ == view_.number) committed_ = ledger_.stored();
  } else if (bootstrap) {
    view_.number = 1;
    for (auto& f : founders_) view_.members.push_back({f, 1});
    synced_ = view_.has(self_) ? 1 : 0;
    save({});
  } else {
    remembers_ = false;
    out_.note("The disk holds no state. This core rejoins as a newcomer.");
  }
}

std::uint64_t Node::index() const {
  auto it = std::find(founders_.begin(), founders_.end(), self_);
  return std::uint64_t(it - founders_.begin());
}

bool Node::may_vote() const {
  return remembers_ && std::find(founders_.begin(), founders_.end(), self_) != founders_.end();
}

// Everything durable but the rows is small; it is written whole with each batch.
bool Node::save(Batch b) {
  Json d{{"founders", founders_},    {"pi", promised_.instance}, {"pb", promised_.ballot},
         {"ai", accepted_.instance}, {"ab", accepted_.ballot},   {"synced", synced_},
         {"remembers", remembers_},  {"forgot", forgot_until_}};
  if (accepted_view_) d["av"] = accepted_view_->json();
  b.meta["durable"] = d.dump();
  b.meta["view"] = view_.json().dump();
  b.meta["stored"] = std::to_string(ledger_.stored());
  if (disk_.commit(b)) return true;
  out_.disk_failed();
  return false;
}

Millis Node::heard(const CoreName& core) const {
  auto it = heard_.find(core);
  return it == heard_.end() ? -1 : it->second;
}

bool Node::seated(Millis now) const {
  if (!in_step()) return false;
  std::size_t n = 1;
  for (auto& [core, since] : leased_from_)
    if (core != self_ && now < since + kViewLeaseMs - kDriftMarginMs) ++n;
  return n >= majority();
}

void Node::spread(const Json& m) {
  for (auto& f : founders_)
    if (f != self_) out_.send(f, m);
}

void Node::deliver(Millis now, const CoreName& to, const Json& m) {
  if (to == self_)
    receive(now, self_, m);
  else
    out_.send(to, m);
}

void Node::tick(Millis now) {
  if (now >= next_beat_) {
    next_beat_ = now + kCoreBeatMs;
    beat(now);
  }
  for (auto& f : founders_) {
    auto s = peer_synced_.find(f);
    bool behind = f != self_ && view_.has(f) && s != peer_synced_.end() && s->second != view_.number;
    if (!behind)
      out_of_step_since_.erase(f);
    else
      out_of_step_since_.emplace(f, now);
  }
  propose(now);
  if (in_step() && !tail() && now >= last_progress_ + kSubmitRetryMs) {
    auto next = peer_synced_.find(view_.after(self_));
    bool waits_for_state = next != peer_synced_.end() && next->second != view_.number;
    if (waits_for_state)
      pass_on(now, 0);
    else if (committed_ < ledger_.stored())
      pass_on(now, committed_);
  }
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& [id, p] = *it;
    if (now >= p.first + kSubmitGiveUpMs) {
      auto done = std::move(p.done);
      it = pending_.erase(it);
      done({0, "no answer from the chain"});
      continue;
    }
    if (now >= p.sent + kSubmitRetryMs) {
      std::uint64_t again = id;
      ++it;
      offer(now, again, pending_[again]);
      continue;
    }
    ++it;
  }
  for (auto it = reads_.begin(); it != reads_.end();) {
    if (now >= it->second.first + kSubmitGiveUpMs) {
      auto done = std::move(it->second.done);
      it = reads_.erase(it);
      done(std::nullopt, false);
    } else {
      ++it;
    }
  }
}

void Node::beat(Millis now) {
  Json m{{"t", "b"}, {"v", view_.number}, {"s", synced_}, {"at", now}};
  if (!remembers_ && forgot_until_ > 0) m["m"] = true;
  spread(m);
}

void Node::on_beat(Millis now, const CoreName& from, const Json& m) {
  if (heard(from) < 0 || now - heard(from) > kCoreSilentMs) heard_since_[from] = now;
  heard_[from] = now;
  std::uint64_t v = number(m, "v");
  peer_synced_[from] = number(m, "s");
  peer_mute_[from] = field<bool>(m, "m", false);
  if (!remembers_ && forgot_until_ == 0) learn_what_was_forgotten(from, v);
  if (v < view_.number) return out_.send(from, {{"t", "dec"}, {"view", view_.json()}, {"f", founders_}});
  bool promised_away = accepted_view_ && accepted_.instance == view_.number + 1 && !accepted_view_->has(from);
  // A member without the view's state holds no lease: it can be put out at once and let in anew.
  bool whole = peer_synced_[from] == v;
  if (v == view_.number && view_.has(from) && whole && !promised_away && may_vote() &&
      now >= withheld_[from]) {
    granted_[from] = now;
    out_.send(from, {{"t", "a"}, {"v", v}, {"at", m.value("at", Json())}});
  }
}

// A core that lost its disk may have voted on the view after the newest that the others know. It abstains
// until a later one is decided; which is the newest, a majority must tell it.
void Node::learn_what_was_forgotten(const CoreName& from, std::uint64_t v) {
  peer_view_[from] = v;
  if (peer_view_.size() < majority()) return;
  std::uint64_t newest = view_.number;
  for (auto& [core, number] : peer_view_) newest = std::max(newest, number);
  forgot_until_ = newest;
  if (view_.number > 0) save({});
}

// The view this core would like next, if it would like another.
std::optional<View> Node::wanted(Millis now) const {
  View next{view_.number + 1, {}};
  bool changed = false;
  for (auto& m : view_.members) {
    bool silent = m.name != self_ && now - std::max(heard(m.name), born_) > kCoreSilentMs;
    auto o = out_of_step_since_.find(m.name);
    bool empty = o != out_of_step_since_.end() && now - o->second > kCoreSilentMs;
    if (silent || empty)
      changed = true;
    else
      next.members.push_back(m);
    // A member that may not vote gets its vote back with the next view.
    auto mute = peer_mute_.find(m.name);
    if (mute != peer_mute_.end() && mute->second && !silent) changed = true;
  }
  if (next.members.empty()) return std::nullopt;
  if (next.members.front().name == self_) {
    for (auto& f : founders_) {
      if (view_.has(f) || heard(f) < 0 || now - heard(f) > kCoreBeatMs * 2) continue;
      if (now - heard_since_.at(f) < kJoinStableMs) continue;
      next.members.push_back({f, next.number});
      changed = true;
    }
  }
  // A view that was accepted but not decided keeps leases from whom it leaves out: it is seen through.
  if (accepted_view_ && accepted_.instance == next.number && last_proposal_ + kCoreSilentMs < now)
    changed = true;
  if (!changed || next.members.size() < majority()) return std::nullopt;
  return next;
}

void Node::propose(Millis now) {
  if (!may_vote() || view_.number == 0 || !view_.has(self_)) return;
  auto next = wanted(now);
  if (!next || !next->has(self_)) return;
  // Members propose in chain order, so that two seldom do so at once.
  std::size_t place = 0;
  while (next->members[place].name != self_) ++place;
  if (now < last_proposal_ + kProposalRetryMs * Millis(1 + place)) return;
  last_proposal_ = now;
  ballot_ =
      std::max(ballot_, promised_.instance == next->number ? promised_.ballot : 0) / 16 * 16 + 16 + index();
  proposing_ = next->number;
  proposal_ = *next;
  accepting_ = false;
  promises_.clear();
  accepts_.clear();
  Json m{{"t", "prep"}, {"n", proposing_}, {"b", ballot_}};
  spread(m);
  receive(now, self_, m);
}

void Node::on_prepare(Millis now, const CoreName& from, const Json& m) {
  std::uint64_t n = number(m, "n"), b = number(m, "b");
  if (n <= view_.number) return deliver(now, from, {{"t", "dec"}, {"view", view_.json()}, {"f", founders_}});
  if (n != view_.number + 1 || !may_vote()) return;
  if (promised_.instance == n && promised_.ballot > b) return;
  promised_ = {n, b};
  if (!save({})) return;
  Json r{{"t", "prom"}, {"n", n}, {"b", b}, {"s", synced_}};
  if (accepted_view_ && accepted_.instance == n) {
    r["ab"] = accepted_.ballot;
    r["av"] = accepted_view_->json();
  }
  deliver(now, from, r);
}

void Node::on_promise(Millis now, const CoreName& from, const Json& m) {
  if (number(m, "n") != proposing_ || number(m, "b") != ballot_ || accepting_) return;
  if (proposing_ != view_.number + 1) return;
  promises_[from] = m;
  if (promises_.size() < majority()) return;
  View value = proposal_;
  std::uint64_t best = 0;
  for (auto& [core, p] : promises_)
    if (number(p, "ab") > best) {
      auto v = View::from(p["av"]);
      if (!v) continue;
      best = number(p, "ab");
      value = *v;
    }
  if (best == 0) {
    // The head must hold all that the old view committed: it was in step since it joined.
    auto& head = value.members.front();
    auto p = promises_.find(head.name);
    if (p == promises_.end() || number(p->second, "s") < head.joined) return;
  }
  accepting_ = true;
  proposal_ = value;
  Json a{{"t", "acc"}, {"n", proposing_}, {"b", ballot_}, {"view", value.json()}};
  spread(a);
  receive(now, self_, a);
}

void Node::on_accept(Millis now, const CoreName& from, const Json& m) {
  std::uint64_t n = number(m, "n"), b = number(m, "b");
  auto v = View::from(m.value("view", Json()));
  if (!v || n != view_.number + 1 || v->number != n || !may_vote()) return;
  if (promised_.instance == n && promised_.ballot > b) return;
  // Whoever is put out may still hold a lease that this core granted: wait for its end.
  for (auto& member : view_.members) {
    if (v->has(member.name) || member.name == self_) continue;
    auto g = granted_.find(member.name);
    Millis last = g == granted_.end() ? born_ : std::max(g->second, born_);
    if (now < last + kViewLeaseMs + kDriftMarginMs) {
      withheld_[member.name] = now + 2 * kViewLeaseMs;  // it gets no further lease, so that the end comes
      return;
    }
  }
  promised_ = {n, b};
  accepted_ = {n, b};
  accepted_view_ = v;
  if (!save({})) return;
  deliver(now, from, {{"t", "accd"}, {"n", n}, {"b", b}});
}

void Node::on_accepted(Millis now, const CoreName& from, const Json& m) {
  if (!accepting_ || number(m, "n") != proposing_ || number(m, "b") != ballot_) return;
  accepts_.insert(from);
  if (accepts_.size() < majority() || proposing_ != view_.number + 1) return;
  View v = proposal_;
  accepting_ = false;
  spread({{"t", "dec"}, {"view", v.json()}, {"f", founders_}});
  decide(now, v);
}

void Node::decide(Millis now, const View& v) {
  if (v.number <= view_.number) return;
  auto* me = v.find(self_);
  // Votes lost with the disk were for this view at the latest: it is closed, so they no longer matter.
  if (forgot_until_ > 0 && v.number > forgot_until_) remembers_ = true;
  view_ = v;
  leased_from_.clear();
  out_of_step_since_.clear();
  // The head's state is the state of the new view; all others take it from the member before them.
  bool head = me && v.head() == self_ && synced_ >= me->joined;
  if (head) synced_ = v.number;
  if (!save({})) return;
  std::string list;
  for (auto& m : v.members) list += (list.empty() ? "" : ", ") + m.name;
  out_.note("View " + std::to_string(v.number) + ": " + list + ".");
  if (!me) origins_.clear();  // what was under way here may never be committed
  last_progress_ = now;
  if (head) {
    if (tail()) return commit_up_to(now, ledger_.stored());
    pass_on(now, 0);
  }
  beat(now);
}

// Sends the member after this one every row above base; base 0 sends the whole state.
void Node::pass_on(Millis now, std::uint64_t base) {
  CoreName next = view_.after(self_);
  if (next.empty()) return;
  auto rows = ledger_.since(base);
  Json o = Json::array();
  for (auto& x : origins_)
    if (x.number > base && x.status == 200) o.push_back(Json::array({x.number, x.core, x.id}));
  Json m{
      {"t", "up"}, {"n", view_.number}, {"base", base}, {"k", ledger_.stored()}, {"r", rows_to_json(rows)}};
  if (!o.empty()) m["o"] = o;
  last_progress_ = now;
  out_.send(next, m);
}

void Node::on_update(Millis now, const CoreName& from, const Json& m) {
  if (number(m, "n") != view_.number || view_.before(self_) != from) return;
  auto rows = rows_from_json(m.value("r", Json()));
  if (!rows) return;
  std::uint64_t base = number(m, "base"), k = number(m, "k"), before = ledger_.stored();
  bool whole = base == 0, joining = synced_ != view_.number;
  if (joining && !whole) return;
  if (!joining && (base > before)) return;
  Batch b;
  if (joining) {
    ledger_.clear();
    origins_.clear();
    b.clear_rows = true;
    synced_ = view_.number;
    before = 0;
  }
  if (k > ledger_.stored() || joining) {
    for (auto& r : *rows.value)
      if (r.number > ledger_.stored() || joining) b.rows.push_back(r);
    for (auto& r : b.rows) ledger_.put(r);
    ledger_.set_stored(k);
    if (!save(b)) return;
  }
  if (m.contains("o"))
    for (auto& o : m["o"]) {
      Origin x{o[0], o[1], o[2], 200, {}};
      bool known = false;
      for (auto& y : origins_) known = known || (y.core == x.core && y.id == x.id);
      if (!known) origins_.push_back(x);
    }
  if (tail())
    commit_up_to(now, ledger_.stored());
  else
    pass_on(now, joining ? 0 : std::min(before, base == 0 ? before : base));
}

void Node::on_commit(Millis now, const CoreName& from, const Json& m) {
  if (number(m, "n") != view_.number || view_.after(self_) != from || synced_ != view_.number) return;
  commit_up_to(now, std::min(number(m, "k"), ledger_.stored()));
}

void Node::commit_up_to(Millis now, std::uint64_t k) {
  bool rose = k > committed_;
  committed_ = std::max(committed_, k);
  last_progress_ = now;
  CoreName before = view_.before(self_);
  if (!before.empty()) out_.send(before, {{"t", "com"}, {"n", view_.number}, {"k", committed_}});
  answer_origins(now);
  if (rose) out_.committed(committed_);
}

// Updates are answered from the tail; what changed nothing, or was refused, from the head.
void Node::answer_origins(Millis now) {
  std::vector<Origin> ready;
  std::erase_if(origins_, [&](Origin& o) {
    if (o.number > committed_) return false;
    if (tail() || o.status != 200 || o.reason == "same") ready.push_back(o);
    return true;
  });
  for (auto& o : ready) {
    Json m{{"t", "done"}, {"id", o.id}, {"s", o.status}};
    if (o.status != 200) m["why"] = o.reason;
    deliver(now, o.core, m);
  }
}

void Node::head_takes(Millis now, const CoreName& origin, std::uint64_t id, const Json& update) {
  if (view_.head() != self_ || !seated(now)) return;
  for (auto& o : origins_)
    if (o.core == origin && o.id == id) return;  // offered again while under way
  Verdict v = out_.judge(ledger_, update);
  if (v.status != 200 || v.rows.empty()) {
    origins_.push_back({ledger_.stored(), origin, id, v.status, v.status == 200 ? "same" : v.reason});
    return answer_origins(now);
  }
  std::uint64_t base = ledger_.stored();
  Batch b;
  for (auto& r : v.rows) {
    r.number = base + 1;
    ledger_.put(r);
    b.rows.push_back(r);
  }
  origins_.push_back({base + 1, origin, id, 200, {}});
  if (!save(b)) return;
  if (tail()) return commit_up_to(now, ledger_.stored());
  pass_on(now, base);
}

void Node::offer(Millis now, std::uint64_t id, Pending& p) {
  p.sent = now;
  CoreName head = view_.head();
  if (head.empty()) return;
  if (head == self_) return head_takes(now, self_, id, Json(p.update));
  out_.send(head, {{"t", "sub"}, {"id", id}, {"u", p.update}});
}

void Node::submit(Millis now, Json update, std::function<void(Answer)> done) {
  std::uint64_t id = ++last_id_;
  auto& p = pending_[id];
  p.update = std::move(update);
  p.done = std::move(done);
  p.first = now;
  offer(now, id, p);
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
  reads_[id] = {key, std::move(done), now};
  Json m{{"t", "read"}, {"id", id}, {"key", key}};
  if (!view_.tail().empty()) deliver(now, view_.tail(), m);
}

void Node::serve_read(Millis now, const CoreName& from, const Json& m) {
  if (!tail() || !seated(now)) return;
  const Row* r = ledger_.find(field<std::string>(m, "key", ""));
  Json a{{"t", "val"}, {"id", number(m, "id")}};
  if (r) a["v"] = r->value;
  deliver(now, from, a);
}

void Node::receive(Millis now, const CoreName& from, const Json& m) {
  std::string t = field<std::string>(m, "t", "");
  if (t == "b") return on_beat(now, from, m);
  if (t == "a") {
    if (number(m, "v") == view_.number) {
      Millis at = field<Millis>(m, "at", -1);
      if (at >= 0 && at <= now) leased_from_[from] = std::max(leased_from_[from], at);
    }
    return;
  }
  if (t == "up") return on_update(now, from, m);
  if (t == "com") return on_commit(now, from, m);
  if (t == "sub") return head_takes(now, from, number(m, "id"), m.value("u", Json()));
  if (t == "done") return finish(number(m, "id"), {field<int>(m, "s", 0), field<std::string>(m, "why", "")});
  if (t == "read") return serve_read(now, from, m);
  if (t == "val") {
    auto it = reads_.find(number(m, "id"));
    if (it == reads_.end()) return;
    auto done = std::move(it->second.done);
    reads_.erase(it);
    if (m.contains("v"))
      done(field<std::string>(m, "v", ""), true);
    else
      done(std::nullopt, true);
    return;
  }
  if (t == "prep") return on_prepare(now, from, m);
  if (t == "prom") return on_promise(now, from, m);
  if (t == "acc") return on_accept(now, from, m);
  if (t == "accd") return on_accepted(now, from, m);
  if (t == "dec") {
    auto v = View::from(m.value("view", Json()));
    if (!v) return;
    if (!remembers_ && view_.number == 0 && m.contains("f"))
      founders_ = m["f"].get<std::vector<std::string>>();
    decide(now, *v);
  }
}

}  // namespace pebblespindle::chain
