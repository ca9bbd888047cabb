// Leases of a view, each hole once met as the smallest run that shows it.
#include "replication/replica_cluster.h"

namespace pebblespindle::test {
namespace {

// The head is not heard by one core alone, which has it put out; the head itself accepts that and never hears
// how it was decided. The leases that the third core gave it still run: it must not act on them any more.
TEST(Lease, ACoreThatHasAcceptedItsOwnRemovalActsOnNoLease) {
  ReplicaCluster f(21);
  f.run(1500);
  ASSERT_TRUE(f.at("core0").is_leader(f.net.now));
  auto deliver = f.net.deliver;
  f.net.deliver = [&](const std::string& to, const std::string& from, const Json& m) {
    const std::string t = m.value("t", "");
    if (to == "core0" && t == "dec") return;                   // it does not hear the decision
    if (to == "core1" && from == "core0" && t == "b") return;  // and its beats are late
    deliver(to, from, m);
  };
  f.run(4000);  // at every moment at most one core leads: checked in run()
  EXPECT_TRUE(f.at("core1").is_leader(f.net.now));
}

}  // namespace
}  // namespace pebblespindle::test
