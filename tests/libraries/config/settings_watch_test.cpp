#include "zinniarelay/config/settings_watch.h"

#include "temporary_folder.h"

#include <boost/test/unit_test.hpp>
#include <fstream>

namespace zinnia {
namespace {

void write(const std::filesystem::path& path, const std::string& content) {
  std::ofstream(path) << content;
}

BOOST_AUTO_TEST_SUITE(settings_watch_test)

// Guards against missing a change of settings without a signal, and against a reload
// without a change.
BOOST_AUTO_TEST_CASE(change_is_detected_once_with_and_without_signal) {
  const temporary_folder folder;
  const auto file = folder.path() / "settings.yaml";
  write(file, "a: 1");
  settings_watch watch(file);
  const time_point start(milliseconds(5'000));
  BOOST_TEST(!watch.has_changed(start, true));
  write(file, "a: 2");
  BOOST_TEST(!watch.has_changed(start + milliseconds(10), false));
  BOOST_TEST(watch.has_changed(start + milliseconds(1'100), false));
  BOOST_TEST(!watch.has_changed(start + milliseconds(2'200), false));
  write(file, "a: 3");
  BOOST_TEST(watch.has_changed(start + milliseconds(2'210), true));
  std::filesystem::remove(file);
  BOOST_TEST(!watch.has_changed(start + milliseconds(5'000), true));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
