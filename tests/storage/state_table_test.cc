#include "storage/state_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace pebblespindle::test {
namespace {

TEST(StateTable, ScansGoInOrderWithinTheirBounds) {
  StateTable table;
  std::mt19937 rng(1);
  for (SequenceNumber sequence = 1; sequence <= 400; ++sequence)
    table.put({"k" + std::to_string(rng() % 120), std::string(rng() % 50, 'v'), sequence, rng() % 5 == 0});
  auto rows = table.rows_after(0);
  EXPECT_EQ(rows.size(), table.size());
  EXPECT_TRUE(std::is_sorted(rows.begin(), rows.end(),
                             [](auto& left, auto& right) { return left.sequence < right.sequence; }));
  for (bool keys : {true, false}) {
    std::vector<Row> scanned;
    StateTable::Chunk chunk;
    std::string cursor;
    StateTable::Position position;
    do {
      chunk = keys ? table.scan_by_key(cursor, 200) : table.scan_by_sequence(position, 200);
      ASSERT_FALSE(chunk.rows.empty());
      ASSERT_LE(chunk.rows.size(), 6u);
      scanned.insert(scanned.end(), chunk.rows.begin(), chunk.rows.end());
      cursor = chunk.rows.back().key;
      position = {chunk.rows.back().sequence, chunk.rows.back().key};
    } while (!chunk.complete);
    EXPECT_EQ(scanned.size(), table.size());
  }
  table.compact(200);
  for (auto& row : table.rows_after(0)) EXPECT_FALSE(row.deleted && row.sequence <= 200);
  EXPECT_EQ(table.size(), table.rows_after(0).size());
}

}  // namespace
}  // namespace pebblespindle::test
