// The state's disk where each file that was made, renamed or removed may be kept or lost by itself.
#include "storage/store_recovery.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "storage/power_loss_vfs.h"

namespace pebblespindle::test {
namespace {

const std::string kPath = "d/ledger.db", kJournal = kPath + "-journal";

struct Machine {
  explicit Machine(std::uint32_t seed = 1) {
    power.rng.seed(seed);
    vfs = PowerVfs::install(&power);
    folder.exists = [this](const std::string& p) { return power.exists(p); };
    folder.rename = [this](const std::string& from, const std::string& to) {
      return done(power.rename(from, to));
    };
    folder.remove = [this](const std::string& p) { return done(power.remove(p)); };
    folder.sync = [this] { return done(power.sync_folder()); };
  }
  std::unique_ptr<SqliteStore> open() {
    auto disk = open_store("d", folder, vfs, [this](const std::string& s) { notes.push_back(s); });
    return disk ? std::move(*disk) : nullptr;
  }
  static Status done(bool good) { return good ? Status::ok() : Status::io_error("no power"); }
  PowerVfs power;
  const char* vfs;
  Directory folder;
  std::vector<std::string> notes;
};

WriteBatch batch(int n, std::size_t size, int keys = 20) {
  WriteBatch b;
  b.rows.push_back({"k" + std::to_string(n % keys), std::string(size, 'x'), std::uint64_t(n), false});
  b.metadata = {{"stored", std::to_string(n)}, {"durable", R"({"self":"c~1"})"}, {"view", R"({"n":1})"}};
  return b;
}

std::uint64_t stored(SqliteStore& disk) {
  auto m = *disk.metadata();
  return m.count("stored") ? std::stoull(m["stored"]) : 0;
}

TEST(StoreRecovery, NothingCommittedIsLostWithANameThatWasNotSynced) {
  const char* text = std::getenv("PEBBLESPINDLE_SEEDS");
  const std::uint32_t seeds = text ? std::uint32_t(std::atoi(text)) : 500;
  int lives = 0, losses = 0;
  for (std::uint32_t seed = 1; seed <= seeds && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Machine m(seed);
    std::uint64_t sure = 0;
    for (int life = 0; life < 4; ++life, ++lives) {
      m.power.until_loss = long(m.power.rng() % (life == 0 ? 40 : 80));
      if (auto disk = m.open()) {
        std::uint64_t last = stored(*disk);
        EXPECT_GE(last, sure) << "a committed batch is gone";
        EXPECT_EQ(disk->rows()->size(), std::min<std::size_t>(last, 20)) << "half a batch is there";
        for (int n = int(last) + 1; n < int(last) + 20; ++n) {
          if (!disk->commit(batch(n, m.power.rng() % 3000)).is_ok()) break;
          sure = std::uint64_t(n);
        }
      }
      losses += m.power.dark;
      m.power.power_cycle();
    }
    EXPECT_TRUE(m.notes.empty()) << m.notes[0];
  }
  EXPECT_GT(losses, lives / 3);
}

// Setting aside is cut at each of its steps: the damaged file is never used, and what the new one commits
// lasts.
TEST(StoreRecovery, AFileSetAsideStaysAsideWhereverThePowerFails) {
  for (std::uint32_t seed = 1; seed <= 150 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Machine m(seed);
    {
      auto disk = m.open();
      for (int n = 1; n <= 60; ++n) ASSERT_TRUE(disk->commit(batch(n, 1000, 60)).is_ok());
      // Power fails within a commit: a hot journal stays beside the file.
      m.power.until_loss = 5 + long(m.power.rng() % 8);
      EXPECT_FALSE(disk->commit(batch(61, 2500, 60)).is_ok());
    }
    m.power.power_cycle();
    auto& file = *m.power.files[kPath];
    ASSERT_GT(file.current.size(), 20000u);
    file.current.resize(file.current.size() / 2);
    file.synced = file.current;
    std::uint64_t sure = 0;
    bool renewed = false;
    for (int life = 0; life < 4; ++life) {
      m.power.until_loss = life < 3 ? long(m.power.rng() % 25) : -1;
      if (auto disk = m.open()) {
        renewed = true;
        EXPECT_GE(stored(*disk), sure) << "a committed batch is gone";
        EXPECT_LT(stored(*disk), 60u) << "the damaged file is used";
        for (int n = int(stored(*disk)) + 1, end = n + 5; n < end; ++n) {
          if (!disk->commit(batch(n, 500, 60)).is_ok()) break;
          sure = std::uint64_t(n);
        }
      }
      m.power.power_cycle();
    }
    EXPECT_TRUE(renewed);
    EXPECT_TRUE(m.power.exists(kPath + ".damaged-1"));
  }
}

// A file that is damaged or contradicts itself is set aside, and the core has nothing.
void expect_newcomer(Machine& m, const std::string& reason) {
  auto disk = m.open();
  ASSERT_TRUE(disk);
  EXPECT_TRUE(disk->rows()->empty());
  EXPECT_TRUE(disk->metadata()->empty());
  ASSERT_EQ(m.notes.size(), 1u) << "it was taken for whole";
  EXPECT_NE(m.notes[0].find(reason), std::string::npos) << m.notes[0];
  EXPECT_TRUE(m.power.exists(kPath + ".damaged-1"));
}

void fill(Machine& m, int batches) {
  auto disk = m.open();
  for (int n = 1; n <= batches; ++n) ASSERT_TRUE(disk->commit(batch(n, 900, batches)).is_ok());
}

TEST(StoreRecovery, ACutFileIsSetAside) {
  for (std::size_t left : {50u, 4096u, 4097u, 20000u}) {
    SCOPED_TRACE(left);
    Machine m;
    fill(m, 60);
    m.power.files[kPath]->current.resize(left);
    expect_newcomer(m, "damaged");
  }
}

TEST(StoreRecovery, AHeaderThatDoesNotFitIsSetAside) {
  for (std::size_t at : {0u, 16u, 100u}) {  // its name, the size of its pages, the root of its schema
    SCOPED_TRACE(at);
    Machine m;
    fill(m, 60);
    auto& bytes = m.power.files[kPath]->current;
    for (std::size_t i = at; i < at + 8; ++i) bytes[i] = char(0x5a);
    expect_newcomer(m, "damaged");
  }
}

TEST(StoreRecovery, RowsAndMetaThatContradictEachOtherAreSetAside) {
  auto with = [](const std::string& key, const std::string& value, const std::string& reason) {
    Machine m;
    {
      auto disk = m.open();
      WriteBatch b = batch(7, 100);
      b.metadata[key] = value;
      ASSERT_TRUE(disk->commit(b).is_ok());
    }
    expect_newcomer(m, reason);
  };
  with("stored", "6", "rows go up to 7");
  with("stored", "", "up to which sequence number");
  with("durable", "", "no durable state");
  with("view", "null", "no view state");
  Machine m;
  fill(m, 5);
  EXPECT_EQ(stored(*m.open()), 5u) << "a whole one is used";
  EXPECT_TRUE(m.notes.empty());
}

TEST(StoreRecovery, TheJournalOfANewerDatabaseIsNotTakenForItsOwn) {
  std::string foreign;
  for (long writes = 5; writes < 400 && foreign.empty(); writes += 4) {
    Machine other(3);
    fill(other, 200);
    auto disk = other.open();
    WriteBatch big;
    for (int n = 1; n <= 199; n += 2) big.rows.push_back(batch(n, 100, 200).rows[0]);
    other.power.until_loss = writes;  // within the commit, after the journal was synced
    if (disk->commit(big).is_ok()) break;
    auto& bytes = other.power.files[kJournal]->synced;
    if (static_cast<unsigned char>(bytes[0]) == 0xd9 && bytes[11] != 0) foreign = bytes;
  }
  ASSERT_FALSE(foreign.empty()) << "no hot journal";
  Machine m;
  fill(m, 90);
  m.power.files[kJournal]->current = foreign;
  expect_newcomer(m, "");
}

}  // namespace
}  // namespace pebblespindle::test
