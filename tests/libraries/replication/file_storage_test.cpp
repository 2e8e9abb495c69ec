#include "zinniarelay/replication/file_storage.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>

namespace zinnia {
namespace {

struct temporary_folder {
  temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "zinnia-XXXXXX").string();
    BOOST_TEST_REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  ~temporary_folder() {
    std::error_code ec;
    std::filesystem::remove_all(path, ec);
  }
  std::string path;
};

BOOST_FIXTURE_TEST_SUITE(file_storage_test, temporary_folder)

// Guards against appending to the old file, which the replacement has unlinked.
BOOST_AUTO_TEST_CASE(append_after_replace_writes_to_new_file) {
  auto files = file_storage::open(path).value();
  BOOST_TEST(!files.read("log").value().has_value());
  BOOST_TEST(files.append("log", "ab").has_value());
  BOOST_TEST(files.append("log", "cd").has_value());
  BOOST_TEST(files.read("log").value().value() == "abcd");
  BOOST_TEST(files.replace("log", "x").has_value());
  BOOST_TEST(files.append("log", "y").has_value());
  BOOST_TEST(files.read("log").value().value() == "xy");
}

// Guards against two processes writing the same log.
BOOST_AUTO_TEST_CASE(folder_in_use_cannot_be_opened) {
  {
    auto files = file_storage::open(path).value();
    BOOST_TEST((file_storage::open(path).error().kind == error_kind::conflict));
  }
  BOOST_TEST(file_storage::open(path).has_value());
}

// Guards against reporting a write to a full or read-only disk as successful.
BOOST_AUTO_TEST_CASE(failed_writes_are_reported) {
  auto files = file_storage::open(path).value();
  std::filesystem::create_directory(path + "/log");
  BOOST_TEST((files.append("log", "x").error().kind == error_kind::io));
  BOOST_TEST((files.replace("log", "x").error().kind == error_kind::io));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
