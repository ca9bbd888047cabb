// Random and mutated input of the pooler's fuzz tests. PEBBLESPINDLE_FUZZ multiplies the number of rounds.
#pragma once
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace pebblespindle::test {

inline int fuzz_rounds(int default_rounds) {
  const char* factor = std::getenv("PEBBLESPINDLE_FUZZ");
  return factor ? default_rounds * std::max(1, std::atoi(factor)) : default_rounds;
}

struct InputGenerator {
  explicit InputGenerator(std::uint32_t seed) : rng(seed) {}
  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  char any() {
    switch (pick(4)) {
      case 0:
        return ' ';
      case 1:
        return char('A' + pick(26));
      case 2:
        return char('0' + pick(10));
      default:
        return char(pick(256));
    }
  }
  std::string random(int max_size) {
    std::string text;
    for (int n = pick(max_size + 1); n > 0; --n) text += any();
    return text;
  }
  // Returns the text with random bytes inserted, erased, replaced or repeated, or with its end cut off.
  std::string mutated(std::string text) {
    for (int n = 1 + pick(4); n > 0; --n) {
      std::size_t at = text.empty() ? 0 : std::size_t(pick(int(text.size())));
      switch (pick(6)) {
        case 0:
          text.insert(at, 1, any());
          break;
        case 1:
          text.erase(at, std::size_t(1 + pick(4)));
          break;
        case 2:
          if (!text.empty()) text[at] = any();
          break;
        case 3:
          text.resize(at);
          break;
        case 4:
          text.insert(at, text.substr(at, std::size_t(pick(20))));
          break;
        default:
          text.insert(at, std::string(std::size_t(pick(40)), any()));
      }
    }
    return text;
  }
  std::mt19937 rng;
};

}  // namespace pebblespindle::test
