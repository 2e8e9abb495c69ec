#include "temporary_folder.h"
#include "zinniarelay/config/control_settings.h"
#include "zinniarelay/config/declaration.h"
#include "zinniarelay/config/entry_settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace {

using namespace zinnia;

/// A copy of docs/samples with the files that an operator adds: a keys file and a data
/// folder.
struct samples_copy : temporary_folder {
  samples_copy() {
    const std::filesystem::path source =
        std::filesystem::path(ZINNIA_CHART_DIR).parent_path() / "docs" / "samples";
    std::filesystem::copy(source, path(), std::filesystem::copy_options::recursive);
    for (const auto* user : {"authority", "silotherm"}) {
      write(std::string(user) + "/keys.yaml", "");
      std::filesystem::create_directory(path() / user / "data");
    }
  }
};

template <class T>
void check_accepted(const checked<T>& loaded) {
  BOOST_TEST(loaded.has_value());
  if (!loaded)
    for (const auto& it : loaded.error())
      BOOST_TEST_MESSAGE(it);
}

} // namespace

// Guards against samples in docs/ that the programs reject.
BOOST_FIXTURE_TEST_SUITE(samples_test, samples_copy)

BOOST_AUTO_TEST_CASE(every_sample_is_accepted) {
  for (const auto* user : {"authority", "silotherm"}) {
    const auto services = declaration::load(path() / user / "services.yaml");
    check_accepted(services);
    if (services) BOOST_TEST(services.value().warnings().empty());
    check_accepted(entry_settings::load(path() / user / "entry.yaml"));
    check_accepted(control_settings::load(path() / user / "control.yaml"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
