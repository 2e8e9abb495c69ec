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
  for (std::size_t offset = 0; offset + 1 < hex.size(); offset += 3)
    out.push_back(static_cast<std::byte>(std::stoi(hex.substr(offset, 2), nullptr, 16)));
  return out;
}

// The example of an opening packet in the platform's documentation.
const auto opening_packet =
    bytes_of("a1 b2 c3 d5 00 00 00 00 00 00 11 22 33 44 00 00 00 00 64 40 00 07 "
             "9c 41 c6 12 00 01 01 bb 10 00");

BOOST_AUTO_TEST_SUITE(packet_codec_test)

// Guards against fields that are read at a wrong offset or width.
BOOST_AUTO_TEST_CASE(published_example_is_decoded) {
  const auto head = platform::decode_head(opening_packet);
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

// Guards against a reset that differs from the published example.
BOOST_AUTO_TEST_CASE(published_reset_is_encoded) {
  const auto expected =
      bytes_of("00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 c6 12 00 01 "
               "01 bb 64 40 00 07 9c 41 80 00");
  const auto reset = platform::encode_reset(platform::decode_head(opening_packet)->key(), 0);
  BOOST_TEST(std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

// Guards against simulated callers and upstreams whose packets differ from the decoded format.
BOOST_AUTO_TEST_CASE(encoded_head_is_decoded_unchanged) {
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

// Guards against a change of other fields when the route tag is written.
BOOST_AUTO_TEST_CASE(writing_the_route_tag_changes_no_other_field) {
  auto packet = opening_packet;
  platform::write_route_tag(packet, 0x01020304);
  BOOST_TEST(platform::decode_head(packet)->route_tag == 0x01020304U);
  std::fill_n(packet.begin() + 4, 4, std::byte{0});
  BOOST_TEST((packet == opening_packet));
}

// Guards against forwarding datagrams that are not packets.
BOOST_AUTO_TEST_CASE(packets_of_invalid_size_are_refused) {
  auto packet = opening_packet;
  packet.pop_back();
  BOOST_TEST(!platform::decode_head(packet).has_value());
  packet = opening_packet;
  packet.push_back({});
  BOOST_TEST(!platform::decode_head(packet).has_value());
  packet.assign(platform::max_packet_size + 1, {});
  BOOST_TEST(!platform::decode_head(packet).has_value());
}

// Guards against the number 0, which every upstream accepts as its own.
BOOST_AUTO_TEST_CASE(id_number_is_parsed_from_hexadecimal_digits) {
  BOOST_TEST(platform::id_number("i-7f3a91c2").value() == 0x7f3a91c2U);
  BOOST_TEST(!platform::id_number("i-0").has_value());
  BOOST_TEST(!platform::id_number("upstream").has_value());
  BOOST_TEST(!platform::id_number("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
