// The agreement on the next view: one decision a number, by a majority of the present view's voters.
#include <algorithm>

#include "base/constants.h"
#include "base/json_fields.h"
#include "replication/replica.h"

namespace pebblespindle::replication {
using namespace constants;

// Silent for so long, or its disk is lost: another identity speaks from its host.
bool Node::lost(Millis now, const CoreName& core, Millis silence) const {
  if (core == self_) return false;
  Millis last = std::max(heard(core), born_);
  auto other = present_.find(host_of(core));
  if (other != present_.end() && other->second != core && now - last > 2 * kCoreBeatMs) return true;
  return now - last > silence;
}

// A member behind one that has no state itself, or is silent, can't be blamed for having none.
bool Node::is_fed(Millis now, const CoreName& member) const {
  CoreName before = view_.before(member);
  if (before.empty()) return true;
  if (before == self_) return in_step();
  return in_step(before) && now - heard(before) <= 2 * kCoreBeatMs;
}

bool Node::departs(const CoreName& core) const {
  if (core == self_) return parting_;
  auto p = peers_.find(core);
  return p != peers_.end() && p->second.parting;
}

// The view this core would like next, if it would like another.
std::optional<View> Node::wanted(Millis now) const {
  View next;
  next.number = view_.number + 1;
  next.voters = view_.voters;
  bool changed = false;
  for (std::size_t i = 0; i < view_.members.size(); ++i) {
    auto& m = view_.members[i];
    auto p = peers_.find(m.name);
    bool away = lost(now, m.name, kCoreSilentMs);
    if (p != peers_.end()) {
      auto longer = [&](Millis since) { return since >= 0 && now - since > kCoreSilentMs; };
      // It is heard but does not hear, does not hold the view's state, or says that it takes no part.
      away = away || p->second.out || longer(p->second.out_of_step_since) || longer(p->second.unseated_since);
    }
    // Nothing comes back from the next member. The nearer to the tail, the sooner that is said, so that
    // the member at fault is named by the one before it.
    if (m.name == view_.after(self_) && stuck_since_ >= 0 &&
        now - stuck_since_ > kCoreSilentMs + Millis(view_.members.size() - i) * kCoreSilentMs / 2)
      away = true;
    if (away)
      changed = true;
    else
      next.members.push_back(m);
  }
  if (next.members.empty()) return std::nullopt;
  // The first member with a vote sees to that: the head may have given its own away.
  auto first =
      std::find_if(next.members.begin(), next.members.end(), [&](auto& m) { return view_.votes(m.name); });
  if (first != next.members.end() && first->name == self_) change_voters(now, next, changed);
  // A view that was accepted but not decided keeps leases from others: it is seen through.
  if (accepted_view_ && accepted_.instance == next.number && last_proposal_ + kCoreSilentMs < now)
    changed = true;
  if (!changed || next.members.size() < view_.majority()) return std::nullopt;
  next.headed = next.head() == view_.head() ? view_.headed : next.number;
  return next;
}

// Who joins the chain, and one change of the voters at most. A voter that wants to end keeps its vote until a
// core that stands by holds the state and takes it.
void Node::change_voters(Millis now, View& next, bool& changed) const {
  std::vector<CoreName> gone;
  for (auto& v : view_.voters)
    if (!next.has(v) && (lost(now, v, kGiveUpMs) || departs(v))) gone.push_back(v);
  for (auto& v : view_.voters)
    if (next.has(v) && departs(v)) gone.push_back(v);
  std::size_t wanted = gone.size() + (target_ > view_.voters.size() ? target_ - view_.voters.size() : 0);
  std::vector<CoreName> ready;  // hold the state, do not vote yet
  for (auto& m : next.members)
    if (!view_.votes(m.name) && !departs(m.name)) {
      if (wanted > 0) --wanted;
      if (in_step(m.name)) ready.push_back(m.name);
    }
  if (!ready.empty() && (!gone.empty() || view_.voters.size() < target_)) {
    if (view_.voters.size() < target_)
      next.voters.push_back(ready.front());
    else
      std::replace(next.voters.begin(), next.voters.end(), gone.front(), ready.front());
    std::sort(next.voters.begin(), next.voters.end());
    changed = true;
  }
  for (auto& [name, p] : peers_) {
    if (view_.has(name) || p.out || p.parting || p.heard < 0 || now - p.heard > kCoreBeatMs * 2) continue;
    auto here = present_.find(host_of(name));
    if (here != present_.end() && here->second != name) continue;
    // It has been heard for a while, and holds the state as of this view: the chain does not wait for it.
    // Where too few are left for a view there is nobody to take the state from, and nothing that would wait.
    if (now - p.since < kJoinStableMs || p.view != view_.number) continue;
    if (p.learned != view_.number && next.members.size() >= view_.majority()) continue;
    if (!view_.votes(name)) {
      if (wanted == 0) continue;
      --wanted;
    }
    next.members.push_back({name, next.number});
    changed = true;
  }
}

void Node::propose(Millis now) {
  if (!may_vote() || !view_.has(self_)) return;
  auto next = wanted(now);
  if (!next || !next->has(self_)) return;
  // Members propose in chain order, so that two seldom do so at once.
  std::size_t place = 0;
  while (next->members[place].name != self_) ++place;
  if (now < last_proposal_ + kProposalRetryMs * Millis(1 + place)) return;
  last_proposal_ = now;
  auto index =
      std::uint64_t(std::find(view_.voters.begin(), view_.voters.end(), self_) - view_.voters.begin());
  ballot_ = std::max(ballot_, promised_.instance == next->number ? promised_.ballot : 0) / kBallotStep *
                kBallotStep +
            kBallotStep + index;
  proposing_ = next->number;
  proposal_ = *next;
  accepting_ = false;
  promises_.clear();
  accepts_.clear();
  Json m{{"t", "prep"}, {"n", proposing_}, {"b", ballot_}};
  spread(m);
  receive(now, self_, m);
}

Json Node::decision() const {
  return {{"t", "dec"}, {"view", view_.json()}};
}

void Node::on_prepare(Millis now, const CoreName& from, const Json& m) {
  std::uint64_t n = number(m, "n"), b = number(m, "b");
  if (view_.number > 0 && n <= view_.number) return deliver(now, from, decision());
  if (n != view_.number + 1 || !may_vote() || !view_.votes(from)) return;
  if (promised_.instance == n && promised_.ballot > b) return;
  promised_ = {n, b};
  if (!save(now)) return;
  Json r{{"t", "prom"}, {"n", n}, {"b", b}, {"s", synced_}};
  if (accepted_view_ && accepted_.instance == n) {
    r["ab"] = accepted_.ballot;
    r["av"] = accepted_view_->json();
  }
  deliver(now, from, r);
}

void Node::on_promise(Millis now, const CoreName& from, const Json& m) {
  if (number(m, "n") != proposing_ || number(m, "b") != ballot_ || accepting_) return;
  if (proposing_ != view_.number + 1 || !view_.votes(from)) return;
  promises_[from] = m;
  if (promises_.size() < view_.majority()) return;
  View value = proposal_;
  std::uint64_t best = 0;
  for (auto& [core, p] : promises_)
    if (number(p, "ab") > best) {
      auto v = View::from(p.value("av", Json()));
      if (!v || !v->follows(view_)) continue;
      best = number(p, "ab");
      value = *v;
    }
  if (best == 0) {
    // The head must hold all that the old view committed: it was in step since it joined.
    auto& head = value.members.front();
    // A head without a vote promises nothing; its beats tell the same, and it was on its disk before.
    auto p = promises_.find(head.name);
    auto told = peers_.find(head.name);
    const std::uint64_t synced = p != promises_.end()                              ? number(p->second, "s")
                                 : !view_.votes(head.name) && told != peers_.end() ? told->second.synced
                                                                                   : 0;
    if (synced < head.joined) return;
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
  if (!v || n != view_.number + 1 || v->number != n || !may_vote() || !view_.votes(from)) return;
  if (!v->follows(view_)) return;
  if (promised_.instance == n && promised_.ballot > b) return;
  // Whoever is put out may still hold a lease that this core granted, or one that voters of former views
  // granted: wait for its end.
  for (auto& member : view_.members) {
    if (v->has(member.name) || member.name == self_) continue;
    auto& p = peers_[member.name];
    // One that says in this view that it takes no part acts on no lease of any former voters.
    bool gave_back = p.out && p.view == view_.number;
    Millis last = std::max({p.granted, gave_back ? Millis(-kViewLeaseMs) : voters_changed_at_, born_});
    if (now < last + kViewLeaseMs + kDriftMarginMs) {
      p.withheld_until = now + 2 * kViewLeaseMs;  // it gets no further lease, so that the end comes
      return;
    }
  }
  promised_ = {n, b};
  accepted_ = {n, b};
  accepted_view_ = v;
  if (!save(now)) return;
  deliver(now, from, {{"t", "accd"}, {"n", n}, {"b", b}});
}

void Node::on_accepted(Millis now, const CoreName& from, const Json& m) {
  if (!accepting_ || number(m, "n") != proposing_ || number(m, "b") != ballot_) return;
  if (proposing_ != view_.number + 1 || !view_.votes(from)) return;
  accepts_.insert(from);
  if (accepts_.size() < view_.majority()) return;
  View v = proposal_;
  accepting_ = false;
  spread({{"t", "dec"}, {"view", v.json()}});
  decide(now, v);
}

void Node::decide(Millis now, const View& v) {
  if (v.number <= view_.number) return;
  auto* me = v.find(self_);
  if (v.voters != view_.voters) voters_changed_at_ = now;
  std::string put_out;
  for (auto& m : view_.members)
    if (!v.has(m.name)) put_out += (put_out.empty() ? "" : ", ") + m.name;
  if (!put_out.empty()) put_out_at_ = now;
  bool led = view_.head() == self_;
  view_ = v;
  for (auto& [name, p] : peers_)
    p.leased_from = p.withheld_until = p.out_of_step_since = p.unseated_since = -1;
  stuck_since_ = -1;
  unseated_since_ = now;
  for (auto& m : v.members) meet(host_of(m.name));
  for (auto& name : v.voters) meet(host_of(name));
  // The head's state is the state of the new view; all others take what they lack from the member before
  // them.
  bool head = me && v.head() == self_ && synced_ >= me->joined;
  if (head) synced_ = v.number;
  if (head && v.headed == v.number) history_.begin(v.headed, state_.last_sequence() + 1);
  sent_.reset();
  have_waiting_.reset();
  source_since_ = now;
  source_at_ = 0;
  asked_at_ = -100000;
  if (!save(now)) return;
  std::string list, voters;
  for (auto& m : v.members) list += (list.empty() ? "" : ", ") + m.name;
  for (auto& n : v.voters) voters += (voters.empty() ? "" : ", ") + n;
  out_.note("View " + std::to_string(v.number) + ": " + list + "; voters: " + voters +
            (put_out.empty() ? "." : "; put out: " + put_out + "."));
  if (!me || (led && !head)) origins_.clear();  // what was under way here may never be committed
  last_progress_ = now;
  if (head) return in_step_now(now);
  ask_state(now);
  beat(now);
}

}  // namespace pebblespindle::replication
