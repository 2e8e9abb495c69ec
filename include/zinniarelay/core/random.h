#pragma once

#include <random>

namespace zinnia {

/// The seeded random engine behind all random decisions; a seed reproduces a run.
using random_engine = std::mt19937_64;

} // namespace zinnia
