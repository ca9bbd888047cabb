#include "sql_protocol/sql_protocol.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

TEST(SqlProtocol, StatementsAreReadStrictly) {
  using sql_protocol::Verb;
  EXPECT_EQ(sql_protocol::parse_statement("BEGIN").verb, Verb::kBegin);
  EXPECT_TRUE(sql_protocol::parse_statement("BEGIN FETCH").read_only);
  EXPECT_EQ(sql_protocol::parse_statement("BEGIN STORE").verb, Verb::kBad);
  EXPECT_EQ(sql_protocol::parse_statement("WAITFOR 1.2 FETCH a").verb, Verb::kBad);  // never a client's
  auto s = sql_protocol::parse_statement("PREPARE s1 STORE q2c");
  EXPECT_EQ(s.verb, Verb::kPrepare);
  EXPECT_EQ(s.rest, "STORE q2c");
  EXPECT_EQ(sql_protocol::parse_statement("STORE 1a4 a b  c").rest, "a b  c");
  for (const char* bad :
       {"", "FETCH", "PREPARE x SCAN y", "EXECUTE p", "COMMIT now", "CONFIGURE a", "RELEASE"})
    EXPECT_EQ(sql_protocol::parse_statement(bad).verb, Verb::kBad) << bad;
  EXPECT_FALSE(sql_protocol::parse_idle("X 1.2"));
  EXPECT_FALSE(sql_protocol::parse_idle("I 1.x"));
  EXPECT_FALSE(sql_protocol::parse_info("replica 3 nonsense 0 12"));
  EXPECT_EQ(sql_protocol::parse_info("replica 3 3.1209 0 12 2 17")->received, (Position{3, 1209}));
}

}  // namespace
}  // namespace pebblespindle::test
