#include "health/outlier_detector.h"

#include <gtest/gtest.h>

#include "health/constants.h"

namespace pebblespindle::test {
namespace {

TEST(OutlierDetector, TellsOfADatabaseWhenSeveralNodesOfAZoneAgree) {
  std::vector<std::string> logged;
  OutlierDetector detector([&](const std::string& line) { logged.push_back(line); });
  Json report{{"d", Json::array({Json::array({"i-1", 40, 20, 12, 0})})}};
  EXPECT_TRUE(detector.report(1000, "north", "n1", report));
  EXPECT_TRUE(detector.report(1100, "south", "n2", report));
  EXPECT_TRUE(logged.empty()) << "one node of a zone may be at fault itself";
  EXPECT_TRUE(detector.report(1200, "north", "n3", report));
  ASSERT_EQ(logged.size(), 1u);
  EXPECT_NE(logged[0].find("id=i-1 seen_from=north failing_percent=50 requests=80 nodes=2 "),
            std::string::npos)
      << logged[0];
  auto rows = detector.databases(1300);
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[0]["failing_percent"], 50);
  detector.expire(1300 + kHealthReportTtlMs);
  ASSERT_EQ(logged.size(), 2u);
  EXPECT_TRUE(detector.databases(9000).empty());
}

TEST(OutlierDetector, SingleFailuresAtSeveralNodesEjectADatabaseForTheirZone) {
  std::vector<std::string> ejected;
  OutlierDetector detector(
      [](const std::string&) {},
      [&](const std::string& id, const std::string& zone) { ejected.push_back(id + " " + zone); });
  auto one_failure = [](int requests) {
    return Json{{"d", Json::array({Json::array({"i-1", requests, 1, 12, 0})})}};
  };
  detector.report(1000, "north", "n1", one_failure(1));
  detector.report(1000, "south", "s1", one_failure(1));
  detector.report(1100, "north", "n2", one_failure(1));
  EXPECT_TRUE(ejected.empty()) << "two nodes may share the same bad link";
  detector.report(1200, "north", "n3", one_failure(1));
  EXPECT_EQ(ejected, std::vector<std::string>{"i-1 north"});
  detector.report(1300, "north", "n4", one_failure(1));
  EXPECT_EQ(ejected.size(), 1u) << "repeated only after a while";
  for (const char* node : {"s2", "s3", "s4"}) detector.report(1400, "south", node, one_failure(9));
  EXPECT_EQ(ejected.size(), 1u) << "one failure in nine requests occurs in normal operation";
}

TEST(OutlierDetector, RejectsInvalidCounts) {
  OutlierDetector detector([](const std::string&) {});
  for (const char* invalid :
       {R"({"d":[["i",3,9,1,0]]})", R"({"d":[["i",-1,0,1,0]]})", R"({"d":[["i",1,0,1]]})", R"({"d":{}})",
        R"({"d":[[7,1,0,1,0]]})", R"({"r":[["r",1e99,0,0,0]]})", R"({"r":[["r",99999999999,0,0,0]]})"})
    EXPECT_FALSE(detector.report(1000, "z", "n", Json::parse(invalid))) << invalid;
  EXPECT_TRUE(detector.databases(1000).empty());
}

}  // namespace
}  // namespace pebblespindle::test
