// One holder's part in the bounded counter of one tenant (Balegas et al., "Extending Eventually Consistent
// Cloud Databases for Enforcing Numeric Invariants"): its row of the matrix R of transferred rights, its
// entry of the vector U of used rights, and its column of R. Only the holder writes its row. Totals received
// from other holders are merged by maximum, so messages may be lost, repeated or reordered.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace pebblespindle::quota {

using HolderId = std::string;  // identifies one run of one process; a restarted process uses another one
using Rights = std::int64_t;   // thousandths of an operation
constexpr Rights kRightsPerOperation = 1000;

class BoundedCounter {
 public:
  // The rights that are available here: credited and received, less those used and transferred.
  Rights rights() const {
    Rights sum = credited_ - used_;
    for (auto& [from, received] : received_) sum += received;
    for (auto& [to, transferred] : transferred_) sum -= transferred;
    return sum;
  }
  // Creates rights (R[i][i]).
  void credit(Rights amount) { credited_ += std::max<Rights>(0, amount); }
  // Uses rights (U[i]). Returns false and changes nothing if fewer are available.
  bool debit(Rights amount) {
    if (amount < 0 || rights() < amount) return false;
    used_ += amount;
    return true;
  }
  // Transfers rights to another holder, or none if fewer are available. Returns the total that was ever
  // transferred to it (R[i][to]).
  Rights transfer(const HolderId& to, Rights amount) {
    Rights& total = transferred_[to];
    if (amount > 0 && rights() >= amount) total += amount;
    return total;
  }
  Rights transferred_to(const HolderId& to) const {
    auto it = transferred_.find(to);
    return it == transferred_.end() ? 0 : it->second;
  }
  // Merges the total that another holder has transferred here (R[from][i]). Returns false if it is negative.
  bool merge_received(const HolderId& from, Rights total) {
    if (total < 0) return false;
    Rights& known = received_[from];
    known = std::max(known, total);
    return true;
  }
  Rights received_from(const HolderId& from) const {
    auto it = received_.find(from);
    return it == received_.end() ? 0 : it->second;
  }
  Rights used() const { return used_; }

 private:
  Rights credited_ = 0, used_ = 0;
  std::map<HolderId, Rights> transferred_, received_;  // totals by the other holder
};

}  // namespace pebblespindle::quota
