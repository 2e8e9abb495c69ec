#include "temporary_folder.h"
#include "zinniarelay/chart/state_chart.h"
#include "zinniarelay/config/control_settings.h"
#include "zinniarelay/config/declaration.h"
#include "zinniarelay/config/entry_settings.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/token/key_file.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>

namespace {

using namespace zinnia;

const std::filesystem::path root = std::filesystem::path(ZINNIA_CHART_DIR).parent_path();

std::string text_of(const std::filesystem::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Overwrites, removes, inserts or repeats parts of a text, or truncates it.
std::string damaged(std::string text, random_engine& engine) {
  constexpr std::string_view special_characters = "{}[]:,-&*!|>'\"%@#?\n\t \\\x01\xFF~0";
  const auto random_below = [&](std::size_t n) { return static_cast<std::size_t>(engine() % n); };
  for (std::size_t remaining_changes = 1 + random_below(4); remaining_changes > 0 && !text.empty();
       --remaining_changes) {
    const auto position = random_below(text.size());
    switch (random_below(5)) {
    case 0:
      text[position] = special_characters[random_below(special_characters.size())];
      break;
    case 1:
      text.erase(position, 1 + random_below(20));
      break;
    case 2:
      text.insert(position, text.substr(random_below(text.size()), 40));
      break;
    case 3:
      text.insert(position, 1, special_characters[random_below(special_characters.size())]);
      break;
    default:
      if (random_below(10) == 0) text.resize(position);
    }
  }
  return text;
}

struct damaged_files : temporary_folder {
  template <class T>
  void load_damaged_variants(const std::string& text, std::uint64_t seed) {
    constexpr int variants = 400;
    random_engine engine(seed);
    int rejected = 0;
    for (int i = 0; i < variants; ++i) {
      const auto loaded = T::load(write("file.yaml", damaged(text, engine)));
      if (loaded) continue;
      ++rejected;
      BOOST_TEST(has_errors(loaded.error()));
    }
    BOOST_TEST(rejected > variants / 4);
  }
};

} // namespace

// Guards against a damaged file that ends a program through an exception of the YAML
// library, or that is rejected without a finding.
BOOST_FIXTURE_TEST_SUITE(damaged_files_test, damaged_files)

BOOST_AUTO_TEST_CASE(damaged_file_loads_or_has_findings) {
  const auto samples = root / "docs" / "samples" / "authority";
  std::filesystem::copy(samples / "credentials", path() / "credentials");
  std::filesystem::create_directory(path() / "data");
  write("keys.yaml", "");
  load_damaged_variants<declaration>(text_of(samples / "services.yaml"), 1);
  load_damaged_variants<entry_settings>(text_of(samples / "entry.yaml"), 2);
  load_damaged_variants<control_settings>(text_of(samples / "control.yaml"), 3);
  load_damaged_variants<state_chart>(text_of(root / "charts" / "request.yaml"), 4);
  key_file::generate().value().stage().value().write(path() / "keys.yaml").value();
  load_damaged_variants<key_file>(text_of(path() / "keys.yaml"), 5);
}

// Guards against accepted files or crashes where the text uses aliases, tags, directives
// or invalid bytes, which the YAML library treats specially.
BOOST_AUTO_TEST_CASE(unusual_yaml_has_findings) {
  for (const std::string text :
       {"&a [*a]", "services: &a {services: *a}", "services: *missing", "%YAML 9.9\n---\na: 1",
        "? [a, b]\n: c", "services: !!binary x", "--- a\n--- b", "\xFF\xFE", "{{{{{{", "a: b: c"}) {
    const auto loaded = declaration::load(write("file.yaml", text));
    BOOST_TEST(!loaded.has_value(), text);
  }
  // A million brackets exceed the depth that a recursive parser can follow.
  BOOST_TEST(!declaration::load(write("file.yaml", std::string(1'000'000, '['))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
