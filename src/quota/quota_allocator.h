// The controller's side of quota accounting. While a controller is a member of the view it credits its share
// of each tenant's quota, transfers rights to the nodes that request them, and balances its rights with the
// other controllers. Does no I/O itself.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/json_schema.h"
#include "config/state_rows.h"
#include "quota/bounded_counter.h"

namespace pebblespindle::quota {

class QuotaAllocator {
 public:
  explicit QuotaAllocator(HolderId self) : self_(std::move(self)) {}
  const HolderId& self() const { return self_; }

  // Credits the rights that have accrued since the last call. `controllers` is the number of controllers that
  // share each quota; 0 means that this one is not in the view and credits nothing.
  void accrue(Millis now, const std::map<std::string, Tenant>& tenants, std::size_t controllers);
  // Transfers up to `amount` to a holder that requests rights. `received` is the total that the holder knows
  // to have received from here (R[self][requester]). Returns the new total, or nullopt if the tenant is
  // unknown or has no limit.
  std::optional<Rights> request(const std::string& tenant, const HolderId& requester, Rights received,
                                Rights amount);
  // Another controller has transferred rights; `total` is all that it ever transferred to this one. Returns
  // false if the tenant or the total is invalid.
  bool on_transfer(const std::string& tenant, const HolderId& from, Rights total);

  // Returns the available rights of each tenant with a limit, to be sent to the other controllers; null if
  // there is no such tenant.
  Json balances() const;
  void on_peer_balances(const HolderId& peer, Millis now, const Json& balances);
  // A request to be sent to another controller.
  struct TransferRequest {
    HolderId peer;
    std::string tenant;
    Rights received = 0, amount = 0;
  };
  // Returns requests for the tenants of which this controller is short of rights while another one has more.
  // Each asks for half the difference.
  std::vector<TransferRequest> transfer_requests(Millis now);
  Rights rights(const std::string& tenant) const;

 private:
  struct Account {
    BoundedCounter counter;
    Rights capacity = 0;  // no more is credited once it holds this much
    Millis requested_at = -1000000;
    bool in_use = false;  // a holder has requested rights of this tenant
  };
  struct Peer {
    Millis reported_at = 0;
    std::map<std::string, Rights> balances;  // by tenant
  };
  HolderId self_;
  Millis accrued_at_ = -1;                   // -1: never
  std::map<std::string, Account> accounts_;  // by tenant
  std::map<HolderId, Peer> peers_;
};

}  // namespace pebblespindle::quota
