// What a berth knows of the control state: configuration, databases and leads, from numbered rows.
#pragma once
#include <map>
#include <memory>
#include <set>

#include "ledger/ledger.h"
#include "ordinance/records.h"

namespace pebblespindle::berth {

class Chart {
 public:
  // Applies rows up to number; older numbers are ignored. True when something changed.
  bool apply(std::uint64_t number, const std::vector<Row>& rows);

  std::uint64_t number() const { return number_; }
  bool fed() const { return config_.revision > 0; }
  const Configuration& config() const { return config_; }
  std::shared_ptr<const Route> route(const std::string& host) const;
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  const Instance* instance(const InstanceId& id) const;
  const Lead* lead(const std::string& service) const;

 private:
  std::uint64_t number_ = 0;
  Configuration config_;
  std::map<std::string, std::shared_ptr<const Route>> routes_;
  std::map<InstanceId, Instance> instances_;
  std::map<std::string, Lead> leads_;
};

}  // namespace pebblespindle::berth
