#include "zinniarelay/flow/upstream_report.h"

#include <xxhash.h>

namespace zinnia {
namespace {

constexpr std::uint64_t tag_seed = 0x7461'67;
// Clocks of hosts differ by seconds.
constexpr std::uint64_t max_clock_difference_ms = 3'600'000;

} // namespace

std::uint64_t upstream_report::incarnation() const {
  const auto text = id + '/' + std::to_string(started_ms);
  return XXH64(text.data(), text.size(), 0);
}

std::uint32_t upstream_report::route_tag() const {
  const auto text = id + '/' + std::to_string(started_ms) + '/' + address.to_string();
  const auto tag = static_cast<std::uint32_t>(XXH64(text.data(), text.size(), tag_seed));
  return tag == 0 ? 1 : tag;
}

bool upstream_report::has_same_content(const upstream_report& other) const {
  auto expected = other;
  expected.sequence = sequence;
  expected.warmup = warmup;
  return expected == *this;
}

// The incarnation that started last takes precedence, so that a start in the far future would
// replace an upstream for good.
bool upstream_report::has_plausible_start(std::uint64_t wall_ms) const {
  return started_ms <= wall_ms + max_clock_difference_ms;
}

wire::upstream_report upstream_report::to_wire() const {
  wire::upstream_report out;
  out.set_id(id);
  out.set_started_ms(started_ms);
  out.set_sequence(sequence);
  out.set_service(service);
  out.set_address(address.address);
  out.set_port(address.port);
  out.set_zone(zone);
  out.set_version(version);
  out.set_slots(slots);
  out.set_state(condition == state::ready      ? wire::upstream_ready
                : condition == state::draining ? wire::upstream_draining
                                               : wire::upstream_gone);
  out.set_warmup_ms(static_cast<std::uint32_t>(warmup.count()));
  return out;
}

result<upstream_report> upstream_report::from_wire(const wire::upstream_report& message) {
  const auto place = "upstream '" + message.id() + "'";
  if (message.id().empty()) return failure(error_kind::malformed, place, "has no id");
  if (message.started_ms() == 0) return failure(error_kind::malformed, place, "has no start time");
  upstream_report out;
  switch (message.state()) {
  case wire::upstream_ready:
    out.condition = state::ready;
    break;
  case wire::upstream_draining:
    out.condition = state::draining;
    break;
  case wire::upstream_gone:
    out.condition = state::gone;
    break;
  default:
    return failure(error_kind::malformed, place, "has no known state");
  }
  // For an upstream that is gone, only the identity is needed.
  if (out.condition != state::gone &&
      (message.service().empty() || message.address() == 0 || message.port() == 0 ||
       message.port() > UINT16_MAX || message.slots() == 0))
    return failure(error_kind::malformed, place, "lacks service, address or slots");
  out.id = message.id();
  out.started_ms = message.started_ms();
  out.sequence = message.sequence();
  out.service = message.service();
  out.address = {message.address(), static_cast<std::uint16_t>(message.port())};
  out.zone = message.zone();
  out.version = message.version();
  out.slots = message.slots();
  out.warmup = milliseconds(message.warmup_ms());
  return out;
}

} // namespace zinnia
