// Answers to their own callers, requests at most once, promises that stay true: the mesh under everything
// that may end a connection, a process or a database in the middle of its work.
#include "answers_databases.h"

namespace pebblespindle::test::mesh {
namespace {

// 500 seeds in CI; PEBBLESPINDLE_SEEDS asks for the long form.
int seeds() {
  const char* more = std::getenv("PEBBLESPINDLE_SEEDS");
  return more ? std::max(1, std::atoi(more)) : 500;
}

TEST(Answers, ReachTheirOwnCallersThroughResetsRestartsAndSilence) {
  long asked = 0, served = 0, refused = 0, unknown = 0, elsewhere = 0, taken_back = 0, repeated = 0;
  const int most = seeds();
  for (int seed = 1; seed <= most; ++seed) {
    SCOPED_TRACE(seed);
    World w{std::uint32_t(seed)};
    for (int t = 0; t < 1600; ++t) {
      if (t < 1000)
        for (int n = 0; n < kShips; ++n)
          if (w.ships[std::size_t(n)] && w.chance(0.04)) w.ask(n);
      if (t < 1100) w.trouble();
      w.step();
      if (HasFatalFailure()) return;
    }
    asked += w.asked, served += w.served, refused += w.refused, unknown += w.unknown;
    elsewhere += w.elsewhere, taken_back += w.taken_back, repeated += w.repeated;
  }
  std::printf(
      "%d seeds: %ld asked, %ld served, %ld refused, %ld unknown, %ld elsewhere, %ld again, %ld taken back\n",
      most, asked, served, refused, unknown, elsewhere, repeated, taken_back);
  // What shows nothing proves nothing.
  EXPECT_GT(served, asked / 3);
  EXPECT_GT(refused, 0);
  EXPECT_GT(unknown, 0);
  EXPECT_GT(elsewhere, 0);
  if (most >= 100) {
    EXPECT_GT(taken_back, 0);
    EXPECT_GT(repeated, 0);
  }
}

}  // namespace
}  // namespace pebblespindle::test::mesh
