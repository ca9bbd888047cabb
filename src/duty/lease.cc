#include "duty/lease.h"

#include <algorithm>

#include "keel/constants.h"

namespace pebblespindle::duty {
using namespace constants;

void Lease::tick(Millis now, bool wants) {
  if (!wants || now < next_ask_) return;
  next_ask_ = now + kDutyLeaseMs / 3;
  if (!holds(now) && (mine_ == 0 || mine_ < token_)) {
    mine_ = token_ + 1;
    grants_.clear();
  }
  Json m{{"t", "dask"}, {"k", mine_}, {"at", now}};
  for (auto& c : cores_)
    if (c != self_) out_.send(c, m);
  on_ask(now, self_, mine_, now);
}

void Lease::on_ask(Millis now, const std::string& from, std::uint64_t token, Millis at) {
  bool same = token == token_ && from == holder_;
  bool free = holder_ == from || now >= std::max(granted_until_, born_ + kDutyLeaseMs + kDriftMarginMs) ||
              (token_ == 0 && holder_.empty());
  bool ok = same || (token > token_ && free);
  if (ok && !same) {
    token_ = token;
    holder_ = from;
    if (!out_.persist(token_, holder_)) return;
  }
  if (ok) granted_until_ = now + kDutyLeaseMs + kDriftMarginMs;
  Json r{{"t", "dgr"}, {"k", token}, {"at", at}, {"ok", ok}, {"top", token_}};
  if (from == self_)
    on_reply(now, self_, r);
  else
    out_.send(from, r);
}

void Lease::on_reply(Millis now, const std::string& from, const Json& m) {
  std::uint64_t token = m.value("k", std::uint64_t(0));
  if (token != mine_) return;
  if (!m.value("ok", false)) {
    std::uint64_t top = m.value("top", std::uint64_t(0));
    if (top >= mine_ && !holds(now)) mine_ = top + 1, grants_.clear();
    return;
  }
  Millis at = m.value("at", Millis(0));
  if (at > now) return;
  grants_[from] = std::max(grants_[from], at);
  // The lease runs from the oldest of the newest majority of grants.
  std::vector<Millis> times;
  for (auto& [core, t] : grants_) times.push_back(t);
  std::size_t majority = cores_.size() / 2 + 1;
  if (times.size() < majority) return;
  std::sort(times.rbegin(), times.rend());
  held_until_ = times[majority - 1] + kDutyLeaseMs - kDutyGuardMs;
}

void Lease::receive(Millis now, const std::string& from, const Json& m) {
  const std::string t = m.value("t", "");
  if (t == "dask") on_ask(now, from, m.value("k", std::uint64_t(0)), m.value("at", Millis(0)));
  if (t == "dgr") on_reply(now, from, m);
}

}  // namespace pebblespindle::duty
