#include "zinniarelay/replication/log_store.h"

#include "zinniarelay/replication/memory_storage.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

wire::log_entry entry_of(std::uint64_t index, std::uint64_t term) {
  wire::log_entry out;
  out.set_index(index);
  out.set_term(term);
  out.set_command("command " + std::to_string(index));
  return out;
}

struct folder_fixture {
  folder_fixture() {
    wire::node_identity identity;
    identity.set_control(1);
    BOOST_TEST_REQUIRE(store.write_identity(identity).has_value());
  }

  std::vector<std::uint64_t> terms() {
    const auto loaded = store.load();
    BOOST_TEST_REQUIRE(loaded.has_value());
    std::vector<std::uint64_t> out;
    for (const auto& it : loaded.value().entries)
      out.push_back(it.term());
    return out;
  }

  memory_storage files;
  log_store store{files};
};

using numbers = std::vector<std::uint64_t>;

BOOST_FIXTURE_TEST_SUITE(log_store_test, folder_fixture)

// Guards against loading entries of a deposed leader that later entries have replaced.
BOOST_AUTO_TEST_CASE(appended_entry_replaces_entries_from_its_index) {
  BOOST_TEST(store.append({entry_of(1, 1), entry_of(2, 1), entry_of(3, 1)}).has_value());
  BOOST_TEST(store.append({entry_of(2, 2)}).has_value());
  BOOST_TEST(terms() == (numbers{1, 2}), boost::test_tools::per_element());
}

// Guards against a folder that cannot be loaded after a crash during an append.
BOOST_AUTO_TEST_CASE(torn_append_of_any_length_is_truncated) {
  BOOST_TEST(store.append({entry_of(1, 1)}).has_value());
  const auto intact_bytes = files.size_of("log");
  for (std::size_t torn = 1; torn < intact_bytes; ++torn) {
    files.crash_after(0, torn);
    BOOST_TEST(!store.append({entry_of(2, 1)}).has_value());
    files.restart();
    const auto loaded = store.load();
    BOOST_TEST_REQUIRE(loaded.has_value());
    BOOST_TEST(loaded.value().truncated_bytes == torn);
    BOOST_TEST(files.size_of("log") == intact_bytes);
  }
  BOOST_TEST(store.append({entry_of(2, 3)}).has_value());
  BOOST_TEST(terms() == (numbers{1, 3}), boost::test_tools::per_element());
}

// Guards against truncating acknowledged entries without an error after damage to the disk.
BOOST_AUTO_TEST_CASE(damage_before_intact_append_is_reported_with_its_offset) {
  BOOST_TEST(store.append({entry_of(1, 1)}).has_value());
  const auto second_offset = files.size_of("log");
  BOOST_TEST(store.append({entry_of(2, 1)}).has_value());
  const auto third_offset = files.size_of("log");
  BOOST_TEST(store.append({entry_of(3, 1)}).has_value());
  for (auto offset = second_offset; offset < third_offset; ++offset) {
    files.damage("log", offset);
    const auto loaded = store.load();
    BOOST_TEST_REQUIRE(!loaded.has_value());
    BOOST_TEST((loaded.error().kind == error_kind::corrupted));
    BOOST_TEST(loaded.error().place == "log: byte " + std::to_string(second_offset));
    files.damage("log", offset);
  }
}

// Guards against using a damaged vote or snapshot.
BOOST_AUTO_TEST_CASE(damaged_identity_or_snapshot_is_reported) {
  BOOST_TEST(store.write_snapshot({}, {}).has_value());
  for (const auto* name : {"identity", "snapshot"}) {
    files.damage(name, files.size_of(name) - 1);
    BOOST_TEST((store.load().error().kind == error_kind::corrupted));
    files.damage(name, files.size_of(name) - 1);
  }
}

// Guards against a log that cannot be loaded after a crash between the writes of snapshot and
// log. Entries before the snapshot remained in the file, and the next appended entry followed
// them with a gap in the indexes.
BOOST_AUTO_TEST_CASE(crash_between_snapshot_and_log_drops_entries_that_do_not_continue_snapshot) {
  BOOST_TEST(store.append({entry_of(1, 1), entry_of(2, 1)}).has_value());
  wire::stored_snapshot snapshot;
  snapshot.set_last_index(6);
  snapshot.set_last_term(2);
  files.crash_after(1, 0);
  BOOST_TEST(!store.write_snapshot(snapshot, {}).has_value());
  files.restart();
  BOOST_TEST(terms().empty());
  BOOST_TEST(store.append({entry_of(7, 2)}).has_value());
  BOOST_TEST(terms() == numbers{2}, boost::test_tools::per_element());
}

// Guards against losing the entries after a snapshot when a crash follows the write of the
// snapshot and precedes the write of the log.
BOOST_AUTO_TEST_CASE(crash_between_snapshot_and_log_keeps_entries_that_continue_snapshot) {
  BOOST_TEST(store.append({entry_of(1, 1), entry_of(2, 1), entry_of(3, 2)}).has_value());
  wire::stored_snapshot snapshot;
  snapshot.set_last_index(2);
  snapshot.set_last_term(1);
  files.crash_after(1, 0);
  BOOST_TEST(!store.write_snapshot(snapshot, {entry_of(3, 2)}).has_value());
  files.restart();
  BOOST_TEST(terms() == (numbers{1, 1, 2}), boost::test_tools::per_element());
}

// Guards against a second vote in one term by a voter that lost its identity file, which
// stores the vote, but not its log.
BOOST_AUTO_TEST_CASE(log_without_identity_is_refused) {
  memory_storage files_without_identity;
  log_store other(files_without_identity);
  BOOST_TEST(other.append({entry_of(1, 1)}).has_value());
  BOOST_TEST((other.load().error().kind == error_kind::corrupted));
}

// Guards against taking the state of a lost identity for an interrupted first start, whose
// snapshot covers no entry.
BOOST_AUTO_TEST_CASE(only_an_initial_snapshot_may_lack_an_identity) {
  for (const std::uint64_t last_index : {0U, 1U}) {
    memory_storage files_without_identity;
    log_store other(files_without_identity);
    wire::stored_snapshot snapshot;
    snapshot.set_last_index(last_index);
    BOOST_TEST(other.write_snapshot(snapshot, {}).has_value());
    const auto loaded = other.load();
    BOOST_TEST(loaded.has_value() == (last_index == 0));
    if (loaded.has_value()) BOOST_TEST(loaded.value().snapshot != nullptr);
    BOOST_TEST(other.append({entry_of(last_index + 1, 1)}).has_value());
    BOOST_TEST((other.load().error().kind == error_kind::corrupted));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
