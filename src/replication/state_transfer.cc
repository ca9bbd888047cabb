// How a core comes to hold the state of the view. It says what it holds, by number and term, and is sent what
// it lacks: rows in one message where they are few, else pieces, each asked for once the one before is on the
// disk. Who holds rows that are in nobody's history, or stands below what has been trimmed, takes the state
// whole.
#include "base/constants.h"
#include "base/json_fields.h"
#include "replication/replica.h"

namespace pebblespindle::replication {
using namespace constants;

Json Node::Stage::json() const {
  return {{"w", whole},      {"e", scanned}, {"c", cursor}, {"b", place.sequence},
          {"bk", place.key}, {"k", top},     {"kt", term}};
}

std::optional<Node::Stage> Node::Stage::from(const Json& j) {
  auto is_number = [&](const char* f) { return j.contains(f) && j[f].is_number_unsigned(); };
  if (!j.is_object() || !is_number("b") || !is_number("k") || !is_number("kt")) return std::nullopt;
  return Stage{field<bool>(j, "w", false),
               field<bool>(j, "e", false),
               field<std::string>(j, "c", ""),
               {number(j, "b"), field<std::string>(j, "bk", "")},
               number(j, "k"),
               number(j, "kt")};
}

// A member takes the state from the member before it. A core outside the chain asks the tail, and where that
// does not answer the others in turn; it is let in once it holds the state.
CoreName Node::source(Millis now) const {
  if (sick_ || leaving_ || view_.number == 0) return {};
  if (view_.has(self_)) return view_.before(self_);
  std::size_t n = view_.members.size();
  std::size_t turn = source_at_ + std::size_t((now - source_since_) / kCoreSilentMs);
  return view_.members[n - 1 - turn % n].name;
}

// Says what is held. A member without the view's state asks until it has it; one with it once after a break.
void Node::ask_state(Millis now) {
  CoreName from = source(now);
  if (from.empty()) return;
  const bool member = view_.has(self_);
  const bool done = member ? synced_ == view_.number : learned_ == view_.number;
  if (done && member && asked_at_ > 0) return;
  if (now < asked_at_ + (done && !member ? kStandbyAskMs : kStateAskMs)) return;
  asked_at_ = now;
  Json m{{"t", "have"},
         {"n", view_.number},
         {"q", ++asked_},
         {"s", synced_},
         {"c", committed_},
         {"k", state_.last_sequence()},
         {"kt", history_.at(state_.last_sequence())}};
  if (stage_) m["st"] = stage_->json();
  out_.send(from, m);
}

void Node::on_have(Millis now, const CoreName& from, const Json& m) {
  if (sick_ || leaving_ || number(m, "n") != view_.number || !view_.has(self_)) return;
  const bool next = view_.after(self_) == from;
  if (!next && view_.has(from)) return;
  if (!in_step()) {
    if (next) have_waiting_ = m;
    return;
  }
  if (next && number(m, "s") == view_.number) {
    if (number(m, "k") > state_.last_sequence()) {
      // It was sent more than is held here: this disk has gone back. What it holds is no state of the view.
      out_.note("The disk holds less than was passed on from here. This core takes the state anew.");
      synced_ = 0;
      save(now);
      return;
    }
    // It is in step: what it holds in the present view is a part of what is held here.
    peers_[from].synced = view_.number;
    sent_ = number(m, "k");
    if (*sent_ < state_.last_sequence()) pass_on(now);
    stuck_since_ = -1;
    return commit_up_to(now, std::min(number(m, "c"), state_.last_sequence()));
  }
  give_state(from, m);
}

// What a core that has told where it stands is sent next.
void Node::give_state(const CoreName& to, const Json& m) {
  const std::uint64_t k = number(m, "k"), top = state_.last_sequence();
  const bool follows = k >= state_.compacted_to() && k <= top && history_.agrees(k, number(m, "kt"));
  Json a{{"n", view_.number}, {"q", number(m, "q")}};
  if (follows) {
    auto lacks = state_.scan_by_sequence({k + 1, {}}, piece_bytes_);
    if (lacks.complete) {
      a.update(rows_after(k, lacks.rows));
      if (view_.after(self_) == to) sent_ = top;
      return out_.send(to, a);
    }
  }
  // In pieces. A state begun with another core goes on here if that one's place is in the history of this
  // one.
  auto stage = Stage::from(m.value("st", Json()));
  bool fresh = !stage || stage->top > top || !history_.agrees(stage->top, stage->term) ||
               stage->place.sequence <= state_.compacted_to() || (!stage->whole && !follows);
  if (fresh) {
    stage = Stage{};
    stage->whole = !follows || k == 0;
    stage->scanned = !stage->whole;
    stage->place.sequence = (stage->whole ? top : k) + 1;
    a["new"] = true;
  }
  StateTable::Chunk walk;
  bool whole_now = false;
  if (!stage->scanned) {
    walk = state_.scan_by_key(stage->cursor, piece_bytes_);
    if (!walk.rows.empty()) stage->cursor = walk.rows.back().key;
    stage->scanned = walk.complete;
    whole_now = walk.complete && stage->place.sequence > top;  // nothing has changed meanwhile
  } else {
    walk = state_.scan_by_sequence(stage->place, piece_bytes_);
    if (!walk.rows.empty()) stage->place = {walk.rows.back().sequence, walk.rows.back().key};
    whole_now = walk.complete;
  }
  stage->top = top;
  stage->term = history_.at(top);
  a["t"] = "pc";
  a["st"] = stage->json();
  a["r"] = encode_rows(walk.rows);
  if (whole_now) {
    a["e"] = history_.above(0);
    a["trimmed"] = state_.compacted_to();
    a["size"] = state_.size();
    if (view_.after(self_) == to) sent_ = top;
  }
  out_.send(to, a);
}

void Node::drop_stage(WriteBatch& b) {
  if (!stage_) return;
  stage_.reset();
  staged_.clear();
  b.clear_staged = true;
}

// A piece of a state. It is kept apart, also on the disk, and takes the place of what is held only when it is
// whole.
void Node::on_piece(Millis now, const CoreName& from, const Json& m) {
  if (sick_ || leaving_ || number(m, "n") != view_.number || number(m, "q") != asked_) return;
  const bool member = view_.has(self_);
  if (member && (view_.before(self_) != from || synced_ == view_.number)) return;
  auto stage = Stage::from(m.value("st", Json()));
  auto rows = decode_rows(m.value("r", Json()));
  if (!stage || !rows || (!stage_ && !m.contains("new"))) return;
  WriteBatch b;
  if (m.contains("new")) {
    drop_stage(b);
    b.clear_staged = true;
  }
  for (auto& r : *rows) staged_.put(r);
  b.staged_rows = std::move(*rows);
  stage_ = stage;
  asked_at_ = -100000;  // the next one is asked for at once
  if (!m.contains("e")) {
    if (save(now, b)) ask_state(now);
    return;
  }
  History history;
  staged_.compact(number(m, "trimmed"));
  if (!history.enter(m["e"]) || (stage->whole && staged_.size() != number(m, "size"))) {
    out_.note("A state taken from " + from + " is not whole. It is dropped and taken anew.");
    drop_stage(b);
    b.staged_rows.clear();
    save(now, b);
    return;
  }
  out_.note("The state up to " + std::to_string(stage->top) + " has been taken from " + from + ", " +
            std::to_string(staged_.size()) + (stage->whole ? " rows in whole." : " rows that were missing."));
  if (stage->whole) {
    b.staged_action = WriteBatch::StagedAction::kReplaceRows;
    state_.replace_with(staged_);
    state_.compact(number(m, "trimmed"));
    b.compact_to = state_.compacted_to();
  } else {
    b.staged_action = WriteBatch::StagedAction::kMergeIntoRows;
    for (auto& r : staged_.rows_after(0)) state_.put(r);
    staged_.clear();
  }
  state_.set_last_sequence(stage->top);
  history_ = std::move(history);
  stage_.reset();
  origins_.clear();
  if (member) synced_ = view_.number;
  if (!save(now, b)) return;
  if (member) return in_step_now(now);
  if (std::exchange(learned_, view_.number) != view_.number) beat(now);
}

// What is gone is kept until all who may ask for changes have heard of it: for a good while, and until the
// nodes with a lease here are past it. Whoever stands below is sent a whole state, so cores need not agree on
// it.
void Node::trim(Millis now, std::uint64_t acked) {
  if (!in_step()) return trims_.clear();
  if (!trims_.empty() && now < trims_.back().at + kTrimStepMs) return;
  trims_.push_back({now, committed_});
  std::uint64_t to = 0;
  while (trims_.front().at + kTrimAfterMs <= now) {
    to = trims_.front().number;
    trims_.erase(trims_.begin());
  }
  to = std::min(to, acked);
  if (to <= state_.compacted_to()) return;
  state_.compact(to);
  WriteBatch b;
  b.compact_to = to;
  save(now, b);
}

}  // namespace pebblespindle::replication
