#pragma once

#include <random>

namespace zinnia {

/// The seeded engine that decisions draw from, so that a run can be repeated.
using random_engine = std::mt19937_64;

} // namespace zinnia
