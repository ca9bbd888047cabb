// A node's part in counting: the rights it holds for each tenant, and when to ask the core for more. The
// cover check and the write to U are on the ordinary path of every operation; a refusal is given at once. No
// I/O.
#pragma once
#include <cmath>

#include "base/types.h"
#include "quota/bounded_counter.h"
#include "quota/constants.h"

namespace pebblespindle::pooler {

class QuotaClient {
 public:
  struct Outcome {
    bool acquired = false, exhausted = false;
    quota::Rights request_amount = 0;  // to be asked of the core now; 0: nothing
  };
  Outcome try_acquire(Millis now, const std::string& tenant) {
    Held& h = held_[tenant];
    settle(now, h);
    h.pace = h.pace * std::exp2(-double(now - h.at) / 1000.0) + 1;
    h.at = now;
    Outcome o;
    o.acquired = h.account.debit(quota::kRightsPerOperation);
    // Ahead of use: what is used here in a moment. Below a threshold more is asked for.
    auto ahead = quota::Rights(double(quota::kRightsPerOperation) * std::max(1.0, h.pace * kRightsAheadS));
    if (!o.acquired) o.exhausted = now < h.empty_until;
    bool low = !o.acquired || (h.pace > 3 && h.account.rights() < ahead / 10);
    if (low && !o.exhausted && now >= h.asked_at + kQuotaRequestMs) {
      h.asked_at = now;
      o.request_amount = ahead + quota::kRightsPerOperation;
    }
    return o;
  }
  void on_transfer(Millis now, const std::string& tenant, const quota::HolderId& from, quota::Rights sum) {
    Held& h = held_[tenant];
    settle(now, h);
    const quota::Rights before = h.account.received_from(from);
    if (!h.account.merge_received(from, sum)) return;
    h.asked_at = -1000000;
    h.heard_at = now;
    // Nothing more is to be had for a moment: refusals need not wait for the core.
    if (sum <= before) h.empty_until = now + kQuotaRequestMs;
  }
  quota::Rights received_from(const std::string& tenant, const quota::HolderId& core) const {
    auto it = held_.find(tenant);
    return it == held_.end() ? 0 : it->second.account.received_from(core);
  }

 private:
  struct Held {
    quota::BoundedCounter account;
    Millis at = 0, asked_at = -1000000, heard_at = 0, empty_until = 0;
    double pace = 0;  // operations of late, halved each second
  };
  // What was given long ago and not used is let go of: nobody could tell any more in which window it counts.
  static void settle(Millis now, Held& h) {
    if (now > h.heard_at + kRightsTtlMs) h.account.debit(h.account.rights());
  }
  std::map<std::string, Held> held_;
};

}  // namespace pebblespindle::pooler
