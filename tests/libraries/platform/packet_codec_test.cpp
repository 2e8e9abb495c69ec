#include "platform/packet_codec.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace zinnia {
namespace {

std::vector<std::byte> bytes_of(const std::string& hex) {
  std::vector<std::byte> out;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 3)
    out.push_back(static_cast<std::byte>(std::stoi(hex.substr(at, 2), nullptr, 16)));
  return out;
}

// The example of an opening packet on the platform's page.
const auto opening = bytes_of("a1 b2 c3 d5 00 00 00 00 00 00 11 22 33 44 00 00 00 00 64 40 00 07 "
                              "9c 41 c6 12 00 01 01 bb 10 00");

BOOST_AUTO_TEST_SUITE(packet_codec_test)

// Guards against fields that are read at a wrong place or width.
BOOST_AUTO_TEST_CASE(published_example_is_read) {
  const auto head = platform::decode_head(opening);
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->source.to_string() == "100.64.0.7:40001");
  BOOST_TEST(head->destination.to_string() == "198.18.0.1:443");
  BOOST_TEST(head->is_open);
  BOOST_TEST(!head->is_answer);
  BOOST_TEST(!head->is_end);
  BOOST_TEST(!head->is_reset);
  BOOST_TEST(head->sequence == 0x11223344U);
  BOOST_TEST(head->route_tag == 0U);
}

// Guards against a reset that differs from the published one.
BOOST_AUTO_TEST_CASE(published_reset_is_written) {
  const auto expected =
      bytes_of("00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 c6 12 00 01 "
               "01 bb 64 40 00 07 9c 41 80 00");
  const auto reset = platform::encode_reset(platform::decode_head(opening)->key(), 0);
  BOOST_TEST(std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

// Guards against a stand-in that speaks another format than it is read in.
BOOST_AUTO_TEST_CASE(heads_are_read_as_they_were_written) {
  packet_head head;
  head.source = {0x7F00'0001, 40'001};
  head.destination = {0x7F00'0002, 443};
  head.is_end = head.is_answer = true;
  head.route_tag = 0xABCD'EF01;
  head.sequence = 77;
  head.acknowledged = 78;
  std::array<std::byte, platform::head_size> packet{};
  platform::encode_head(packet, head);
  BOOST_TEST((platform::decode_head(packet) == head));
}

// Guards against a change of anything but the tag.
BOOST_AUTO_TEST_CASE(only_the_tag_is_written) {
  auto packet = opening;
  platform::write_route_tag(packet, 0x01020304);
  BOOST_TEST(platform::decode_head(packet)->route_tag == 0x01020304U);
  std::fill_n(packet.begin() + 4, 4, std::byte{0});
  BOOST_TEST((packet == opening));
}

// Guards against datagrams that are no packets being forwarded.
BOOST_AUTO_TEST_CASE(damaged_packets_are_refused) {
  auto packet = opening;
  packet.pop_back();
  BOOST_TEST(!platform::decode_head(packet).has_value());
  packet = opening;
  packet.push_back({});
  BOOST_TEST(!platform::decode_head(packet).has_value());
  packet.assign(platform::largest_packet + 1, {});
  BOOST_TEST(!platform::decode_head(packet).has_value());
}

// Guards against the number 0, which any upstream takes for its own.
BOOST_AUTO_TEST_CASE(id_stands_for_its_hexadecimal_digits) {
  BOOST_TEST(platform::id_number("i-7f3a91c2").value() == 0x7f3a91c2U);
  BOOST_TEST(!platform::id_number("i-0").has_value());
  BOOST_TEST(!platform::id_number("upstream").has_value());
  BOOST_TEST(!platform::id_number("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
