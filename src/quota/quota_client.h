// A node's side of quota accounting: the rights that it holds for each tenant, and when to request more from
// the controller. Every operation only checks and debits local rights, so an operation without quota is
// refused without a round trip. Does no I/O itself.
#pragma once
#include <cmath>

#include "base/types.h"
#include "quota/bounded_counter.h"
#include "quota/constants.h"

namespace pebblespindle::pooler {

class QuotaClient {
 public:
  struct Outcome {
    bool acquired = false, exhausted = false;  // exhausted: the controller has recently had no rights to give
    quota::Rights request_amount = 0;          // to be requested from the controller now; 0: nothing
  };
  // Uses the rights of one operation, if they are available.
  Outcome try_acquire(Millis now, const std::string& tenant) {
    Account& account = accounts_[tenant];
    drop_expired(now, account);
    account.recent_operations =
        account.recent_operations * std::exp2(-double(now - account.used_at) / 1000.0) + 1;
    account.used_at = now;
    Outcome outcome;
    outcome.acquired = account.counter.debit(quota::kRightsPerOperation);
    // The rights needed for the next kRightsAheadS seconds. More are requested when a tenth of them is left.
    auto ahead = quota::Rights(double(quota::kRightsPerOperation) *
                               std::max(1.0, account.recent_operations * kRightsAheadS));
    if (!outcome.acquired) outcome.exhausted = now < account.exhausted_until;
    bool low = !outcome.acquired || (account.recent_operations > 3 && account.counter.rights() < ahead / 10);
    if (low && !outcome.exhausted && now >= account.requested_at + kQuotaRequestMs) {
      account.requested_at = now;
      outcome.request_amount = ahead + quota::kRightsPerOperation;
    }
    return outcome;
  }
  // The controller has answered a request; `total` is all that it ever transferred to this node.
  void on_transfer(Millis now, const std::string& tenant, const quota::HolderId& from, quota::Rights total) {
    Account& account = accounts_[tenant];
    drop_expired(now, account);
    const quota::Rights before = account.counter.received_from(from);
    if (!account.counter.merge_received(from, total)) return;
    account.requested_at = -1000000;
    account.received_at = now;
    // The controller had nothing to give: for a moment operations are refused without asking it again.
    if (total <= before) account.exhausted_until = now + kQuotaRequestMs;
  }
  // The total that this node knows to have received from the controller.
  quota::Rights received_from(const std::string& tenant, const quota::HolderId& controller) const {
    auto it = accounts_.find(tenant);
    return it == accounts_.end() ? 0 : it->second.counter.received_from(controller);
  }

 private:
  struct Account {
    quota::BoundedCounter counter;
    Millis used_at = 0, requested_at = -1000000, received_at = 0, exhausted_until = 0;
    double recent_operations = 0;  // halved each second
  };
  // Debits rights that were received more than kRightsTtlMs ago: if they could be used later, the operations
  // of one window could exceed what was granted for it.
  static void drop_expired(Millis now, Account& account) {
    if (now > account.received_at + kRightsTtlMs) account.counter.debit(account.counter.rights());
  }
  std::map<std::string, Account> accounts_;  // by tenant
};

}  // namespace pebblespindle::pooler
