#pragma once

#include "zinniarelay/flow/flow_router.h"

#include <string>

namespace zinnia::support {

constexpr std::uint32_t service_ip = 0xC612'0001; // 198.18.0.1

inline time_point time_at(milliseconds elapsed) {
  return time_point(std::chrono::hours(1) + elapsed);
}

inline upstream_report report_of(const std::string& id, std::uint16_t port,
                                 const std::string& zone = "a") {
  upstream_report out;
  out.id = id;
  out.started_ms = 1'000;
  out.sequence = 1;
  out.service = "registry";
  out.address = {0x0A00'0001, port};
  out.zone = zone;
  out.slots = 3;
  return out;
}

inline wire::upstream_news update_of(const std::vector<upstream_report>& reports) {
  wire::upstream_news out;
  for (const auto& it : reports)
    *out.add_reports() = it.to_wire();
  return out;
}

/// Returns a declaration with one route on port 443 to service registry.
inline wire::flow_declaration declaration_of(std::uint64_t version) {
  wire::flow_declaration out;
  out.set_version(version);
  out.add_services()->set_name("registry");
  auto& route = *out.add_routes();
  route.set_name("lookup");
  route.set_address(service_ip);
  route.set_port(443);
  route.set_kind(wire::safe);
  route.set_timeout_ms(2'500);
  auto& share = *route.add_services();
  share.set_service("registry");
  share.set_weight(1);
  out.set_idle_timeout_ms(15'000);
  return out;
}

inline packet_head packet_of(std::uint16_t caller_port) {
  packet_head out;
  out.source = {0x6440'0007, caller_port};
  out.destination = {service_ip, 443};
  return out;
}

inline packet_head opening_packet(std::uint16_t caller_port, std::uint32_t copies = 0) {
  auto out = packet_of(caller_port);
  out.is_open = true;
  out.acknowledged = copies;
  return out;
}

inline packet_head flow_packet(std::uint16_t caller_port, std::uint32_t tag) {
  auto out = packet_of(caller_port);
  out.is_answer = true;
  out.route_tag = tag;
  return out;
}

inline packet_head ending_packet(std::uint16_t caller_port, std::uint32_t tag) {
  auto out = flow_packet(caller_port, tag);
  out.is_end = true;
  return out;
}

} // namespace zinnia::support
