// A core's part in counting: it credits its share of each tenant's allowance while it holds its place in the
// view, hands rights to the nodes that ask, and evens out with the other cores. No I/O.
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

  // Time passes. `cores`: that share every allowance now; 0: this one has no place, and credits nothing.
  void accrue(Millis now, const std::map<std::string, Tenant>& tenants, std::size_t cores);
  // A holder asks for rights; `known` is what it knows of R[here][it]. The new sum; none for an unknown
  // tenant.
  std::optional<Rights> request(const std::string& tenant, const HolderId& who, Rights received,
                                Rights amount);
  bool on_transfer(const std::string& tenant, const HolderId& from, Rights sum);

  // What each tenant with a limit has here, for the other cores; null when there is nothing to say.
  Json balances() const;
  void on_peer_balances(const HolderId& peer, Millis now, const Json& sums);
  struct TransferRequest {
    HolderId peer;
    std::string tenant;
    Rights received = 0, amount = 0;
  };
  // Where this core is short of rights that another has: half the difference.
  std::vector<TransferRequest> transfer_requests(Millis now);
  Rights rights(const std::string& tenant) const;

 private:
  struct Store {
    BoundedCounter account;
    Rights most = 0;
    Millis asked_at = -1000000;
    bool in_use = false;
  };
  struct Peer {
    Millis at = 0;
    std::map<std::string, Rights> sums;
  };
  HolderId self_;
  Millis last_ = -1;
  std::map<std::string, Store> stores_;
  std::map<HolderId, Peer> peers_;
};

}  // namespace pebblespindle::quota
