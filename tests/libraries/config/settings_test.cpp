#include "format_findings.h"
#include "temporary_folder.h"
#include "zinniarelay/config/control_settings.h"
#include "zinniarelay/config/entry_settings.h"
#include "zinniarelay/config/flow_settings.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

constexpr auto valid_entry = R"(host: 7
availability_zone: 2
fabric_address: 127.0.0.1:7001
peer_address: 127.0.0.1:7002
registration_address: 127.0.0.1:7003
control_hosts: ["127.0.0.1:9001", "127.0.0.1:9002"]
seeds: ["127.0.0.1:7002", "127.0.0.1:7102"]
keys_file: keys.yaml
data_folder: data
limits:
  records: 5000
  stored_answers: 16 MiB
)";

constexpr auto valid_control = R"(control: 3
availability_zone: 1
address: 127.0.0.1:9001
cluster: 77
data_folder: data
founding_members:
  - {id: 3, address: "127.0.0.1:9001", zone: 1}
  - {id: 4, address: "127.0.0.1:9002", zone: 2}
  - {id: 5, address: "127.0.0.1:9003", zone: 3}
)";

struct settings_folder : temporary_folder {
  settings_folder() {
    write("keys.yaml", "");
    std::filesystem::create_directory(path() / "data");
  }

  template <class Settings>
  checked<Settings> load(const std::string& text) const {
    return Settings::load(write("settings.yaml", text));
  }

  template <class Settings>
  std::vector<std::string> faults_of(const std::string& text) const {
    const auto loaded = load<Settings>(text);
    return loaded ? std::vector<std::string>{} : format_findings(loaded.error());
  }
};

using strings = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(settings_test, settings_folder)

BOOST_AUTO_TEST_CASE(reads_every_entry_setting) {
  const auto settings = load<entry_settings>(valid_entry).value();
  BOOST_TEST((settings.host() == host_id{7}));
  BOOST_TEST((settings.availability_zone() == zone_id{2}));
  BOOST_TEST(settings.fabric_address().to_string() == "127.0.0.1:7001");
  BOOST_TEST(settings.peer_address().to_string() == "127.0.0.1:7002");
  BOOST_TEST(settings.registration_address().to_string() == "127.0.0.1:7003");
  BOOST_TEST(settings.control_hosts().size() == 2U);
  BOOST_TEST(settings.seeds().size() == 2U);
  BOOST_TEST(settings.keys_file() == path() / "keys.yaml");
  BOOST_TEST((settings.data_folder() == path() / "data"));
  BOOST_TEST(settings.limits().records == 5000U);
  BOOST_TEST(settings.limits().stored_answer_bytes == 16U << 20U);
  BOOST_TEST(settings.limits().tombstones == entry_limits{}.tombstones);
}

BOOST_AUTO_TEST_CASE(reads_every_control_setting) {
  const auto settings = load<control_settings>(valid_control).value();
  BOOST_TEST((settings.control() == control_id{3}));
  BOOST_TEST(settings.address().to_string() == "127.0.0.1:9001");
  BOOST_TEST(settings.cluster() == 77U);
  BOOST_TEST(settings.founding_members().size() == 3U);
  BOOST_TEST((settings.founding_members()[2].zone == zone_id{3}));
}

// Guards against reporting one fault at a time, which costs a restart for each.
BOOST_AUTO_TEST_CASE(reports_all_entry_faults_with_their_places) {
  const strings expected{
      "1:1 key 'seeds' has no value",
      "2:7 host is '4294967296'",
      "3:20 availability_zone is '0'",
      "4:17 fabric_address is '0.0.0.0:7001'",
      "6:23 registration_address 127.0.0.1:7002 is already used as peer_address",
      "7:35 127.0.0.1:9001 is listed twice in control_hosts",
      "8:12 keys_file '" + (path() / "none.yaml").string() + "' does not exist",
      "9:1 key 'host' is given twice in the entry settings",
      "11:12 records is '12'",
      "12:19 stored_answers is '64 MB'",
      "13:3 unknown key 'recrods' in limits",
      "14:1 unknown key 'zone' in the entry settings",
  };
  const auto found = faults_of<entry_settings>(R"(seeds:
host: 4294967296
availability_zone: 0
fabric_address: 0.0.0.0:7001
peer_address: 127.0.0.1:7002
registration_address: 127.0.0.1:7002
control_hosts: ["127.0.0.1:9001", "127.0.0.1:9001"]
keys_file: none.yaml
host: 8
limits:
  records: 12
  stored_answers: 64 MB
  recrods: 5000
zone: 3
)");
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

// Guards against a cluster with an even number of voters, or with a voter that uses
// the identifier of another host (docs/design.md R25).
// Guards against an entry host that does not start because a duration has a fraction.
BOOST_AUTO_TEST_CASE(reads_durations_with_a_fraction) {
  const auto stop_grace_of = [&](const std::string& value) {
    return load<flow_settings>("name: entry-1\nzone_name: a\npacket_address: 127.0.0.1:7001\n"
                               "ready_address: 127.0.0.1:7002\n"
                               "control_hosts: [\"127.0.0.1:9001\"]\nstop_grace: " +
                               value + "\n");
  };
  BOOST_TEST((stop_grace_of("6.5 s").value().stop_grace() == milliseconds(6'500)));
  BOOST_TEST((stop_grace_of("6.0 s").value().stop_grace() == milliseconds(6'000)));
  for (const auto* it : {"6. s", ".5 s", "6.5", "6.0005 s", "6.5.1 s", "6.5 ms"})
    BOOST_TEST(!stop_grace_of(it).has_value(), it);
}

// Guards against a mistyped value or missing load reports that silently leave spillover off, and
// against a price without a unit that is taken for another one.
BOOST_AUTO_TEST_CASE(reads_settings_of_cross_zone_spillover) {
  const auto settings_with = [&](const std::string& lines) {
    return load<flow_settings>("name: entry-1\nzone_name: a\npacket_address: 127.0.0.1:7001\n"
                               "ready_address: 127.0.0.1:7002\n"
                               "control_hosts: [\"127.0.0.1:9001\"]\n"
                               "notice_address: 127.0.0.1:7003\n" +
                               lines);
  };
  BOOST_TEST(!settings_with("").value().has_adaptive_spillover());
  BOOST_TEST(!settings_with("zone_spillover: off\n").value().has_adaptive_spillover());
  const auto adaptive =
      settings_with("load_reports: on\nzone_spillover: adaptive\ncross_zone_price: 25 ms\n");
  BOOST_TEST(adaptive.value().has_adaptive_spillover());
  BOOST_TEST((adaptive.value().cross_zone_price() == milliseconds(25)));
  for (const auto* it : {"zone_spillover: adaptive\n", "load_reports: on\nzone_spillover: on\n",
                         "load_reports: on\nzone_spillover: adaptve\n", "cross_zone_price: 25\n",
                         "cross_zone_price: 13 s\n"})
    BOOST_TEST(!settings_with(it).has_value(), it);
}

BOOST_AUTO_TEST_CASE(reports_all_control_faults_with_their_places) {
  const strings expected{
      "1:1 key 'data_folder' is missing in the control settings",
      "4:10 cluster is '-1'",
      "6:3 4 founding members",
      "6:3 founding member 3 is this host with another address or zone",
      "7:10 founding member 3 is listed twice",
      "8:22 member address 127.0.0.1:9002 is already used as member address",
      "9:5 key 'address' is missing in a founding member",
      "9:19 zone is 'one'",
  };
  const auto found = faults_of<control_settings>(R"(control: 3
availability_zone: 2
address: 127.0.0.1:9001
cluster: -1
founding_members:
  - {id: 3, address: "127.0.0.1:9001", zone: 1}
  - {id: 3, address: "127.0.0.1:9002", zone: 2}
  - {id: 4, address: "127.0.0.1:9002", zone: 3}
  - {id: 5, zone: one}
)");
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(host_without_founding_members_joins_as_learner) {
  const auto settings = load<control_settings>("control: 9\navailability_zone: 1\n"
                                               "address: 127.0.0.1:9009\ncluster: 77\n"
                                               "data_folder: data\n");
  BOOST_TEST(settings.value().founding_members().empty());
}

// Guards against load reports that are sent without the setting, and against a host that is to send
// them and has no notice address.
BOOST_AUTO_TEST_CASE(load_reports_are_off_unless_enabled) {
  const std::string entry = "name: entry-1\nzone_name: a\npacket_address: 127.0.0.1:7001\n"
                            "ready_address: 127.0.0.1:7002\n"
                            "control_hosts: [\"127.0.0.1:9001\"]\n";
  const std::string notices = "notice_address: 127.0.0.1:7100\n";
  BOOST_TEST(!load<flow_settings>(entry).value().has_load_reports());
  BOOST_TEST(!load<flow_settings>(entry + "load_reports: off\n").value().has_load_reports());
  BOOST_TEST(
      load<flow_settings>(entry + notices + "load_reports: on\n").value().has_load_reports());
  BOOST_TEST(!load<flow_settings>(entry + "load_reports: on\n").has_value());
  BOOST_TEST(!load<flow_settings>(entry + "load_reports: yes\n").has_value());
  BOOST_TEST(!load<control_settings>(valid_control).value().has_load_reports());
  const auto enabled = std::string("load_reports: on\n") + valid_control;
  BOOST_TEST(load<control_settings>(enabled).value().has_load_reports());
}

// Guards against a crash on, or the acceptance of, a document without settings.
BOOST_AUTO_TEST_CASE(refuses_files_without_a_map) {
  BOOST_TEST(faults_of<entry_settings>("- 1\n- 2\n").front() ==
             "1:1 the entry settings is not a map");
  BOOST_TEST(faults_of<entry_settings>("").front() == "0:0 holds 0 documents or an empty one");
  BOOST_TEST(faults_of<entry_settings>("a: [1,\nb: {").size() == 1U);
  BOOST_TEST(format_findings(entry_settings::load(path() / "absent.yaml").error()).size() == 1U);
  BOOST_TEST(format_findings(entry_settings::load(path()).error()).front() ==
             "0:0 not a regular file");
}

// Guards against a host behind network address translation that binds the address that
// other hosts connect to.
BOOST_FIXTURE_TEST_CASE(listen_address_defaults_to_address, settings_folder) {
  const auto plain = control_settings::load(write("control.yaml", valid_control));
  BOOST_TEST((plain.value().listen_address() == plain.value().address()));
  const auto translated = control_settings::load(
      write("translated.yaml", std::string(valid_control) + "listen_address: 10.0.0.1:9001\n"));
  BOOST_TEST_REQUIRE(translated.has_value());
  BOOST_TEST(translated.value().listen_address().to_string() == "10.0.0.1:9001");
  BOOST_TEST(translated.value().address().to_string() == "127.0.0.1:9001");
}

// Guards against an operator who cannot evacuate a zone because its name is lost in the settings.
BOOST_AUTO_TEST_CASE(names_of_zones_are_read_and_checked) {
  const std::string base = valid_control;
  BOOST_TEST((load<control_settings>(base + "zones: [\"a\",\"b\"]\n").value().zones() ==
              strings{"a", "b"}));
  BOOST_TEST(load<control_settings>(base + "zones: []\n").value().zones().empty());
  BOOST_TEST(load<control_settings>(base).value().zones().empty());
  BOOST_TEST(faults_of<control_settings>(base + "zones: [a, a]\n").size() == 1U);
  BOOST_TEST(faults_of<control_settings>(base + "zones: [{x: 1}, \"\"]\n").size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
