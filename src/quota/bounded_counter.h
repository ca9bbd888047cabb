// One holder's part in the bounded counter of one tenant (Balegas et al., "Extending Eventually Consistent
// Cloud Databases for Enforcing Numeric Invariants"): its own row of R, its entry of U, and its column of R.
// Rights are counted in thousandths of an operation. Only the holder writes its row; what others gave is
// merged by maximum, so that messages may be lost, repeated or overtake each other.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace pebblespindle::quota {

using HolderId = std::string;  // of one life of one process: a row is never continued by another life
using Rights = std::int64_t;   // thousandths of an operation
constexpr Rights kRightsPerOperation = 1000;  // one operation

class BoundedCounter {
 public:
  Rights rights() const {
    Rights sum = credited_ - used_;
    for (auto& [from, received] : got_) sum += received;
    for (auto& [to, given] : given_) sum -= given;
    return sum;
  }
  void credit(Rights amount) { credited_ += std::max<Rights>(0, amount); }  // R[i][i]
  // U[i]; only when covered.
  bool debit(Rights amount) {
    if (amount < 0 || rights() < amount) return false;
    used_ += amount;
    return true;
  }
  // R[i][to], as it stands after giving; only what is covered is given.
  Rights transfer(const HolderId& to, Rights amount) {
    Rights& sum = given_[to];
    if (amount > 0 && rights() >= amount) sum += amount;
    return sum;
  }
  Rights transferred_to(const HolderId& to) const {
    auto it = given_.find(to);
    return it == given_.end() ? 0 : it->second;
  }
  // R[from][i] as its writer tells it. False: it cannot be.
  bool merge_received(const HolderId& from, Rights sum) {
    if (sum < 0) return false;
    Rights& known = got_[from];
    known = std::max(known, sum);
    return true;
  }
  Rights received_from(const HolderId& from) const {
    auto it = got_.find(from);
    return it == got_.end() ? 0 : it->second;
  }
  Rights used() const { return used_; }

 private:
  Rights credited_ = 0, used_ = 0;
  std::map<HolderId, Rights> given_, got_;
};

}  // namespace pebblespindle::quota
