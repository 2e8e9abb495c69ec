#include "format_findings.h"
#include "temporary_folder.h"
#include "zinniarelay/token/key_file.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace {

using namespace zinnia;

// A well-formed secret with digits that occur nowhere else in the text of a finding.
const std::string secret = [] {
  std::string hex;
  while (hex.size() < token_key::secret_size * 2)
    hex += "deadbeef";
  return hex;
}();

flow_token sample_token() {
  return {service_id{7}, 3, zone_id{2}, host_id{11}, incarnation_id{5}, 5, flow_id{99}};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(key_file_test, temporary_folder)

// Guards against a written key file that cannot be read back, or that other users can
// access.
BOOST_AUTO_TEST_CASE(written_file_is_readable_only_by_its_owner) {
  const auto file = path() / "keys.yaml";
  const auto keys = key_file::generate().value().stage().value();
  BOOST_TEST(keys.write(file).has_value());
  BOOST_TEST((key_file::load(file).value() == keys));
  const auto mode = std::filesystem::status(file).permissions();
  BOOST_TEST(static_cast<unsigned>(mode) == 0600U);
  BOOST_TEST(!std::filesystem::exists(file.string() + ".new"));
}

// Guards against rotation steps in an order that makes the tokens of open flows unreadable
// (docs/design.md R3).
BOOST_AUTO_TEST_CASE(rotation_stages_then_activates_then_retires) {
  const auto first = key_file::generate().value();
  const auto staged = first.stage().value();
  BOOST_TEST(staged.active_generation() == 1);
  BOOST_TEST((staged.stage().error().kind == error_kind::conflict));
  const auto active = staged.activate(2).value();
  const auto old_token = first.ring().value().seal(sample_token());
  BOOST_TEST(active.ring().value().open(old_token).has_value());
  BOOST_TEST((active.retire(2).error().kind == error_kind::conflict));
  const auto retired = active.retire(1).value();
  BOOST_TEST(!retired.ring().value().open(old_token).has_value());
  BOOST_TEST((retired.activate(9).error().kind == error_kind::not_found));
}

// Guards against generation 0 after generation 255. A zeroed token names generation 0.
BOOST_AUTO_TEST_CASE(generation_255_is_followed_by_1) {
  const auto file =
      write("keys.yaml", "active: 255\nkeys: [{generation: 255, secret: " + secret + "}]\n");
  BOOST_TEST((key_file::load(file).value().stage().value().generations() ==
              std::vector<std::uint8_t>{255, 1}));
}

// Guards against a finding that contains a secret, which would then appear in a log.
BOOST_AUTO_TEST_CASE(findings_have_positions_and_no_secrets) {
  const auto damaged = "9" + secret + "9";
  const auto file =
      write("keys.yaml", "active: 3\nkeys:\n  - generation: 0\n    secret: " + secret +
                             "\n  - generation: 2\n    secret: " + damaged +
                             "\n  - generation: 2\n    secert: " + secret + "\n");
  std::filesystem::permissions(file, std::filesystem::perms::group_read,
                               std::filesystem::perm_options::add);
  const auto findings = key_file::load(file).error();
  const std::vector<std::string> expected{
      "0:0 can be accessed by others than its owner",
      "3:3 3 keys",
      "3:17 generation is '0'",
      "6:13 the secret of generation 2 is malformed",
      "7:5 key 'secret' is missing in a key",
      "8:5 unknown key 'secert' in a key",
  };
  BOOST_TEST(format_findings(findings) == expected, boost::test_tools::per_element());
  std::ostringstream text;
  for (const auto& it : findings)
    text << it << '\n';
  BOOST_TEST(text.str().find("deadbeef") == std::string::npos);
}

// Guards against a key file in which a generation is ambiguous or the active key is missing.
BOOST_AUTO_TEST_CASE(repeated_and_missing_active_generations_are_refused) {
  const auto key = "{generation: 1, secret: " + secret + "}";
  const auto twice = write("keys.yaml", "active: 1\nkeys: [" + key + ", " + key + "]\n");
  BOOST_TEST(format_findings(key_file::load(twice).error()).front() ==
             "2:99 generation 1 is listed twice");
  const auto inactive = write("keys.yaml", "active: 2\nkeys: [" + key + "]\n");
  BOOST_TEST(format_findings(key_file::load(inactive).error()).front() ==
             "1:9 no key of the active generation 2");
}

BOOST_AUTO_TEST_SUITE_END()
