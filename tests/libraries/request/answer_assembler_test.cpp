#include "zinniarelay/request/answer_assembler.h"

#include "zinniarelay/core/random.h"
#include "zinniarelay/request/answer_parts.h"
#include "zinniarelay/request/content_digest.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck/boost_test.h>

namespace {

using namespace zinnia;

// Sets a fixed seed. Otherwise RapidCheck generates a new seed for every run.
[[maybe_unused]] const int seed_environment = setenv("RC_PARAMS", "seed=1", 0);

constexpr std::size_t max_answer_size = 65'536;

std::vector<wire::answer_part> parts_of(const std::string& answer) {
  return split_answer({flow_id{7}, 1}, answer, content_digest(answer), 0, 1'000);
}

std::string random_text(std::uint64_t seed, std::size_t size) {
  random_engine engine(seed);
  std::string text(size, '\0');
  for (auto& byte : text)
    byte = static_cast<char>(engine());
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_assembler_test)

// Guards against an assembled answer that depends on the order of its parts or on
// duplicates (P3).
RC_BOOST_PROP(reordered_and_duplicate_parts_give_the_same_answer, (std::uint64_t seed)) {
  random_engine engine(seed);
  const auto answer = random_text(seed, engine() % 12'000);
  auto parts = parts_of(answer);
  const auto count = parts.size();
  for (std::size_t n = 0; n < count; ++n)
    if (engine() % 2 == 0) parts.push_back(parts[n]);
  std::shuffle(parts.begin(), parts.end(), engine);
  answer_assembler assembler(max_answer_size);
  std::size_t position = 0;
  while (position < parts.size() && assembler.add(parts[position]) != part_result::complete)
    ++position;
  RC_ASSERT(position < parts.size());
  RC_ASSERT(assembler.answer() == answer);
}

// Guards against combining parts of two answers, which two hosts may send to one
// idempotent request (P3).
RC_BOOST_PROP(parts_of_different_answers_are_not_combined, (std::uint64_t seed)) {
  random_engine engine(seed);
  const std::string answers[] = {random_text(seed, 5'000), random_text(seed + 1, 5'000)};
  auto parts = parts_of(answers[0]);
  const auto second_parts = parts_of(answers[1]);
  parts.insert(parts.end(), second_parts.begin(), second_parts.end());
  std::shuffle(parts.begin(), parts.end(), engine);
  answer_assembler assembler(max_answer_size);
  std::size_t position = 0;
  while (position < parts.size() && assembler.add(parts[position]) != part_result::complete)
    ++position;
  RC_ASSERT(assembler.answer() == answers[0] || assembler.answer() == answers[1]);
}

// Guards against a truncated answer, and against a resume offset after a gap.
BOOST_AUTO_TEST_CASE(resumes_from_the_lowest_missing_byte) {
  const auto answer = random_text(3, 5'000);
  const auto parts = parts_of(answer);
  answer_assembler assembler(max_answer_size);
  BOOST_TEST(assembler.resume_offset() == 0U);
  BOOST_TEST((assembler.add(parts[1]) == part_result::progress));
  BOOST_TEST(assembler.resume_offset() == 0U);
  BOOST_TEST((assembler.add(parts[0]) == part_result::progress));
  BOOST_TEST(assembler.resume_offset() == 2'200U);
  BOOST_TEST((assembler.add(parts[3]) == part_result::progress));
  BOOST_TEST(assembler.resume_offset() == 2'200U);
  BOOST_TEST(assembler.digest() == content_digest(answer));
  BOOST_TEST((assembler.add(parts[3]) == part_result::duplicate));
  BOOST_TEST((assembler.add(parts[4]) == part_result::progress));
  BOOST_TEST((assembler.add(parts[2]) == part_result::complete));
  BOOST_TEST((assembler.answer() == answer));
}

// Guards against returning damaged bytes. The answer completes once intact parts arrive.
BOOST_AUTO_TEST_CASE(damaged_part_does_not_complete_the_answer) {
  const auto answer = random_text(4, 2'000);
  const auto parts = parts_of(answer);
  auto damaged = parts[0];
  damaged.mutable_data()->front() ^= 1;
  answer_assembler assembler(max_answer_size);
  BOOST_TEST((assembler.add(damaged) == part_result::progress));
  BOOST_TEST((assembler.add(parts[1]) == part_result::refused));
  BOOST_TEST((assembler.add(parts[0]) == part_result::progress));
  BOOST_TEST((assembler.add(parts[1]) == part_result::complete));
  BOOST_TEST((assembler.answer() == answer));
}

// Guards against allocating the length that a malicious packet states, and against reads
// and writes outside of the answer.
BOOST_AUTO_TEST_CASE(inconsistent_parts_are_refused) {
  const auto valid_part = parts_of(random_text(5, 2'000))[1];
  answer_assembler assembler(max_answer_size);
  const auto is_refused = [&](auto change) {
    auto part = valid_part;
    change(part);
    return assembler.add(part) == part_result::refused;
  };
  BOOST_TEST(is_refused([](auto& part) { part.set_total_length(max_answer_size + 1); }));
  BOOST_TEST(is_refused([](auto& part) { part.set_offset(2'001); }));
  BOOST_TEST(is_refused([](auto& part) { part.set_offset(0xFFFFFFFFU); }));
  BOOST_TEST(is_refused([](auto& part) { part.set_offset(1'101); }));
  BOOST_TEST(is_refused([](auto& part) { part.clear_data(); }));
  BOOST_TEST(is_refused([](auto& part) { part.set_digest("short"); }));
  BOOST_TEST((assembler.add(valid_part) == part_result::progress));
  BOOST_TEST(is_refused([](auto& part) { part.set_total_length(2'001); }));
}

BOOST_AUTO_TEST_CASE(empty_answer_is_complete) {
  answer_assembler assembler(max_answer_size);
  BOOST_TEST((assembler.add(parts_of("")[0]) == part_result::complete));
  BOOST_TEST(assembler.answer().empty());
}

BOOST_AUTO_TEST_SUITE_END()
