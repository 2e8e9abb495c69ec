#pragma once

namespace zinnia {

/// The exit codes that scripts rely on. docs/OPERATIONS.md explains each.
enum class exit_code {
  done = 0,
  different = 1,
  usage = 2,
  bad_file = 3,
  stale_base = 4,
  refused = 5,
  unconfirmed = 6,
  unreachable = 7,
  io = 8,
};

constexpr auto exit_code_help = R"(Exit codes:
  0  done
  1  diff: the declaration differs from the configuration in force
  2  wrong arguments
  3  a file has errors
  4  refused: the base revision is stale
  5  refused for another reason, which is printed
  6  not confirmed: may have been executed; repeat it with the same --operation
  7  no control host answered
  8  a file cannot be written
)";

} // namespace zinnia
