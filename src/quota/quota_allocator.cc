#include "quota/quota_allocator.h"

#include "quota/constants.h"

namespace pebblespindle::quota {

void QuotaAllocator::accrue(Millis now, const std::map<std::string, Tenant>& tenants,
                            std::size_t controllers) {
  Millis elapsed = accrued_at_ < 0 ? 0 : std::min<Millis>(now - accrued_at_, kMaxCreditIntervalMs);
  accrued_at_ = now;
  std::erase_if(accounts_, [&](auto& entry) { return !tenants.count(entry.first); });
  for (auto& [name, tenant] : tenants) {
    if (tenant.rate_per_s <= 0 && tenant.burst <= 0) continue;  // no limit: nothing to count
    Account& account = accounts_[name];
    if (controllers == 0) continue;
    // Accumulated rights never exceed this controller's share of the burst, plus a minimum for small quotas.
    account.capacity =
        Rights(double(kRightsPerOperation) *
               (tenant.burst * kStoredBurstShare / double(controllers) + kMinStoredOperations));
    Rights accrued = Rights(tenant.rate_per_s * double(elapsed) /
                            double(controllers));  // operations per s are thousandths of an operation per ms
    account.counter.credit(
        std::min(accrued, std::max<Rights>(0, account.capacity - account.counter.rights())));
  }
}

std::optional<Rights> QuotaAllocator::request(const std::string& tenant, const HolderId& requester,
                                              Rights received, Rights amount) {
  auto it = accounts_.find(tenant);
  if (it == accounts_.end() || amount < 0) return std::nullopt;
  BoundedCounter& counter = it->second.counter;
  it->second.in_use = true;
  // The requester has not received an earlier transfer and asks again: repeats the total, transfers nothing
  // more.
  if (counter.transferred_to(requester) > received) return counter.transferred_to(requester);
  return counter.transfer(requester, std::min(amount, counter.rights() / 2));
}

bool QuotaAllocator::on_transfer(const std::string& tenant, const HolderId& from, Rights total) {
  auto it = accounts_.find(tenant);
  return it != accounts_.end() && it->second.counter.merge_received(from, total);
}

Rights QuotaAllocator::rights(const std::string& tenant) const {
  auto it = accounts_.find(tenant);
  return it == accounts_.end() ? 0 : it->second.counter.rights();
}

Json QuotaAllocator::balances() const {
  Json balances;
  for (auto& [name, account] : accounts_) balances[name] = account.counter.rights();
  return balances;
}

void QuotaAllocator::on_peer_balances(const HolderId& peer, Millis now, const Json& balances) {
  Peer& state = peers_[peer];
  state.reported_at = now;
  state.balances.clear();
  if (!balances.is_object()) return;
  for (auto& [name, rights] : balances.items())
    if (rights.is_number_integer()) state.balances[name] = rights.get<Rights>();
}

std::vector<QuotaAllocator::TransferRequest> QuotaAllocator::transfer_requests(Millis now) {
  std::vector<TransferRequest> requests;
  std::erase_if(peers_, [&](auto& entry) { return now > entry.second.reported_at + 3 * kQuotaSyncMs; });
  for (auto& [name, account] : accounts_) {
    Rights available = account.counter.rights();
    if (!account.in_use ||
        double(available) >= double(account.capacity) * kRequestBelowShare + double(kRightsPerOperation))
      continue;
    if (now < account.requested_at + kQuotaRequestMs) continue;
    const HolderId* richest = nullptr;
    Rights most = available + 2 * kRightsPerOperation;  // a smaller difference is not worth a message
    for (auto& [peer, state] : peers_) {
      auto balance = state.balances.find(name);
      if (balance != state.balances.end() && balance->second > most) richest = &peer, most = balance->second;
    }
    if (!richest) continue;
    account.requested_at = now;
    requests.push_back({*richest, name, account.counter.received_from(*richest), (most - available) / 2});
  }
  return requests;
}

}  // namespace pebblespindle::quota
