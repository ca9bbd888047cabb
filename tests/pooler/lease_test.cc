// Leases of a view: each test is the smallest run that reproduces a fault once found.
#include "replication/replica_cluster.h"

namespace pebblespindle::test {
namespace {

// Guards against a leader that acts on leases after accepting its own removal. One controller misses its
// heartbeats and proposes the removal; the leader accepts it and never receives the decision, while the
// leases granted by the third controller are still valid.
TEST(Lease, AControllerThatHasAcceptedItsOwnRemovalActsOnNoLease) {
  ReplicaCluster cluster(21);
  cluster.run(1500);
  ASSERT_TRUE(cluster.at("core0").is_leader(cluster.net.now));
  auto deliver = cluster.net.deliver;
  cluster.net.deliver = [&](const std::string& to, const std::string& from, const Json& message) {
    const std::string type = message.value("t", "");
    if (to == "core0" && type == "dec") return;                   // core0 does not receive the decision
    if (to == "core1" && from == "core0" && type == "b") return;  // core1 does not receive its heartbeats
    deliver(to, from, message);
  };
  cluster.run(4000);  // run() checks that there is at most one leader at any time
  EXPECT_TRUE(cluster.at("core1").is_leader(cluster.net.now));
}

}  // namespace
}  // namespace pebblespindle::test
