// How many seeds a simulation runs: a few hundred in CI, as many as PEBBLESPINDLE_SEEDS says in its long
// form.
#pragma once
#include <cstdint>
#include <cstdlib>

namespace pebblespindle::test {

inline std::uint32_t seeds(std::uint32_t in_ci) {
  const char* wanted = std::getenv("PEBBLESPINDLE_SEEDS");
  return wanted ? std::uint32_t(std::strtoul(wanted, nullptr, 10)) : in_ci;
}

}  // namespace pebblespindle::test
