#include "storage/sqlite_store.h"

#include <gtest/gtest.h>

#include "storage/power_loss_vfs.h"

namespace pebblespindle::test {
namespace {

TEST(SqliteStore, KeepsWhatItCommittedThroughPowerLossWithTornWrites) {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    PowerVfs power;
    power.rng.seed(seed);
    const char* vfs = PowerVfs::install(&power);
    std::map<std::string, std::string> sure;  // what commit() said is kept
    for (int life = 0; life < 5; ++life) {
      auto disk = SqliteStore::open("ledger.db", vfs);
      ASSERT_TRUE(disk) << disk.status().message();
      auto meta = *(*disk)->metadata();
      int last = meta.count("n") ? std::stoi(meta["n"]) : 0;
      EXPECT_GE(last, sure.count("n") ? std::stoi(sure["n"]) : 0) << "a committed batch is gone";
      auto rows = *(*disk)->rows();
      EXPECT_EQ(rows.size(), std::size_t(std::min(last, 20))) << "half a batch is there";
      for (auto& r : rows) EXPECT_LE(r.sequence, std::uint64_t(last)) << "rows without their number";
      power.until_loss = long(power.rng() % 200);
      for (int n = last + 1; n < last + 60; ++n) {
        WriteBatch b;
        b.rows.push_back(
            {"k" + std::to_string(n % 20), std::string(power.rng() % 3000, 'x'), std::uint64_t(n), false});
        b.metadata["n"] = std::to_string(n);
        if (!(*disk)->commit(b).is_ok()) break;
        sure["n"] = b.metadata["n"];
      }
      disk->reset();
      power.power_cycle();
    }
  }
}

TEST(SqliteStore, ADamagedFileIsReported) {
  PowerVfs power;
  const char* vfs = PowerVfs::install(&power);
  {
    auto disk = SqliteStore::open("ledger.db", vfs);
    ASSERT_TRUE(disk);
    WriteBatch b;
    for (int i = 0; i < 200; ++i)
      b.rows.push_back({"k" + std::to_string(i), std::string(200, 'x'), 1, false});
    ASSERT_TRUE((*disk)->commit(b).is_ok());
  }
  auto& file = power.files["ledger.db"]->current;
  for (std::size_t i = 4096; i < 9000; ++i) file[i] = char(i * 31);
  auto disk = SqliteStore::open("ledger.db", vfs);
  ASSERT_FALSE(disk);
  EXPECT_EQ(disk.status().code(), StatusCode::kCorruption);
  EXPECT_NE(disk.status().message().find("ledger.db"), std::string::npos);
}

}  // namespace
}  // namespace pebblespindle::test
