#include "quota/quota_allocator.h"

#include "quota/constants.h"

namespace pebblespindle::quota {

void QuotaAllocator::accrue(Millis now, const std::map<std::string, Tenant>& tenants, std::size_t cores) {
  Millis since = last_ < 0 ? 0 : std::min<Millis>(now - last_, kMaxCreditIntervalMs);
  last_ = now;
  std::erase_if(stores_, [&](auto& s) { return !tenants.count(s.first); });
  for (auto& [name, t] : tenants) {
    if (t.rate_per_s <= 0 && t.burst <= 0) continue;  // no limit: nothing to count
    Store& s = stores_[name];
    if (cores == 0) continue;
    // Rights that pile up never exceed this core's share of the burst, and a little for the smallest.
    s.most = Rights(double(kRightsPerOperation) *
                    (t.burst * kStoredBurstShare / double(cores) + kMinStoredOperations));
    Rights more =
        Rights(t.rate_per_s * double(since) / double(cores));  // operations a second are thousandths a ms
    s.account.credit(std::min(more, std::max<Rights>(0, s.most - s.account.rights())));
  }
}

std::optional<Rights> QuotaAllocator::request(const std::string& tenant, const HolderId& who, Rights received,
                                              Rights amount) {
  auto it = stores_.find(tenant);
  if (it == stores_.end() || amount < 0) return std::nullopt;
  BoundedCounter& a = it->second.account;
  it->second.in_use = true;
  // One that has not heard of what it was given asks again: it is told, not given twice.
  if (a.transferred_to(who) > received) return a.transferred_to(who);
  return a.transfer(who, std::min(amount, a.rights() / 2));
}

bool QuotaAllocator::on_transfer(const std::string& tenant, const HolderId& from, Rights sum) {
  auto it = stores_.find(tenant);
  return it != stores_.end() && it->second.account.merge_received(from, sum);
}

Rights QuotaAllocator::rights(const std::string& tenant) const {
  auto it = stores_.find(tenant);
  return it == stores_.end() ? 0 : it->second.account.rights();
}

Json QuotaAllocator::balances() const {
  Json j;
  for (auto& [name, s] : stores_) j[name] = s.account.rights();
  return j;
}

void QuotaAllocator::on_peer_balances(const HolderId& peer, Millis now, const Json& sums) {
  Peer& p = peers_[peer];
  p.at = now;
  p.sums.clear();
  if (!sums.is_object()) return;
  for (auto& [name, n] : sums.items())
    if (n.is_number_integer()) p.sums[name] = n.get<Rights>();
}

std::vector<QuotaAllocator::TransferRequest> QuotaAllocator::transfer_requests(Millis now) {
  std::vector<TransferRequest> out;
  std::erase_if(peers_, [&](auto& p) { return now > p.second.at + 3 * kQuotaSyncMs; });
  for (auto& [name, s] : stores_) {
    Rights have = s.account.rights();
    if (!s.in_use || double(have) >= double(s.most) * kRequestBelowShare + double(kRightsPerOperation))
      continue;
    if (now < s.asked_at + kQuotaRequestMs) continue;
    const HolderId* richest = nullptr;
    Rights most = have + 2 * kRightsPerOperation;  // less is not worth a message
    for (auto& [peer, p] : peers_) {
      auto n = p.sums.find(name);
      if (n != p.sums.end() && n->second > most) richest = &peer, most = n->second;
    }
    if (!richest) continue;
    s.asked_at = now;
    out.push_back({*richest, name, s.account.received_from(*richest), (most - have) / 2});
  }
  return out;
}

}  // namespace pebblespindle::quota
