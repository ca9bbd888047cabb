#include "quota/quota_allocator.h"

#include "quota/constants.h"

namespace pebblespindle::quota {

void QuotaAllocator::pass(Millis now, const std::map<std::string, Tenant>& tenants, std::size_t cores) {
  Millis since = last_ < 0 ? 0 : std::min<Millis>(now - last_, kMaxCreditIntervalMs);
  last_ = now;
  std::erase_if(stores_, [&](auto& s) { return !tenants.count(s.first); });
  for (auto& [name, t] : tenants) {
    if (t.rate_per_s <= 0 && t.burst <= 0) continue;  // no limit: nothing to count
    Store& s = stores_[name];
    if (cores == 0) continue;
    // Rights that pile up never exceed this core's share of the burst, and a little for the smallest.
    s.most = Rights(double(kOne) * (t.burst * kStoredBurstShare / double(cores) + kMinStoredOperations));
    Rights more =
        Rights(t.rate_per_s * double(since) / double(cores));  // operations a second are thousandths a ms
    s.account.credit(std::min(more, std::max<Rights>(0, s.most - s.account.rights())));
  }
}

std::optional<Rights> QuotaAllocator::ask(const std::string& tenant, const Holder& who, Rights known,
                                          Rights want) {
  auto it = stores_.find(tenant);
  if (it == stores_.end() || want < 0) return std::nullopt;
  BoundedCounter& a = it->second.account;
  it->second.in_use = true;
  // One that has not heard of what it was given asks again: it is told, not given twice.
  if (a.given(who) > known) return a.given(who);
  return a.give(who, std::min(want, a.rights() / 2));
}

bool QuotaAllocator::paid(const std::string& tenant, const Holder& from, Rights sum) {
  auto it = stores_.find(tenant);
  return it != stores_.end() && it->second.account.hear(from, sum);
}

Rights QuotaAllocator::rights(const std::string& tenant) const {
  auto it = stores_.find(tenant);
  return it == stores_.end() ? 0 : it->second.account.rights();
}

Json QuotaAllocator::sums() const {
  Json j;
  for (auto& [name, s] : stores_) j[name] = s.account.rights();
  return j;
}

void QuotaAllocator::heard(const Holder& peer, Millis now, const Json& sums) {
  Peer& p = peers_[peer];
  p.at = now;
  p.sums.clear();
  if (!sums.is_object()) return;
  for (auto& [name, n] : sums.items())
    if (n.is_number_integer()) p.sums[name] = n.get<Rights>();
}

std::vector<QuotaAllocator::Ask> QuotaAllocator::shortages(Millis now) {
  std::vector<Ask> out;
  std::erase_if(peers_, [&](auto& p) { return now > p.second.at + 3 * kQuotaSyncMs; });
  for (auto& [name, s] : stores_) {
    Rights have = s.account.rights();
    if (!s.in_use || double(have) >= double(s.most) * kRequestBelowShare + double(kOne)) continue;
    if (now < s.asked_at + kQuotaRequestMs) continue;
    const Holder* richest = nullptr;
    Rights most = have + 2 * kOne;  // less is not worth a message
    for (auto& [peer, p] : peers_) {
      auto n = p.sums.find(name);
      if (n != p.sums.end() && n->second > most) richest = &peer, most = n->second;
    }
    if (!richest) continue;
    s.asked_at = now;
    out.push_back({*richest, name, s.account.got(*richest), (most - have) / 2});
  }
  return out;
}

}  // namespace pebblespindle::quota
