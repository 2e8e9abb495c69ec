#include "zinniarelay/entry/entry_host.h"

#include "entry/entry_host_state.h"
#include "zinniarelay/core/compression.h"

#include <filesystem>

namespace zinnia {
namespace {

constexpr milliseconds load_period{100};
// A membership tick iterates over all members, so it is no more frequent than the membership
// timers need.
constexpr milliseconds membership_period{50};
// A host that serves thousands of flows per second receives packets in every millisecond. Without
// packets for this long it reports that it may be cut off from the fabric.
constexpr milliseconds fabric_timeout{1000};

} // namespace

entry_host::state::state(const entry_settings& settings, key_ring keys, incarnation_id incarnation,
                         host_drain drain, random_engine engine)
    : settings_(settings), keys_(std::move(keys)), incarnation_(incarnation), engine_(engine),
      members_(
          {settings.host(), incarnation, settings.availability_zone(), settings.peer_address()}, {},
          engine_()),
      router_(settings.host(), settings.availability_zone(), {}, engine_()), pool_({}, engine_()),
      dispatcher_(
          directory_, make_executor(), make_queue(),
          [this](host_id to, wire::peer_packet packet, entry_effects& out) {
            send_to_host(to, std::move(packet), out);
          },
          metrics_),
      packet_router_(settings.host(), directory_, members_), poller_(settings.control_hosts()),
      drain_(std::move(drain)) {
  std::vector<host_address> seeds;
  // The id of a seed is unknown until the seed acknowledges a probe.
  for (const auto& it : settings.seeds())
    if (it != settings.peer_address()) seeds.push_back({host_id{0}, zone_id{0}, it});
  members_.step(now_, addresses_updated{std::move(seeds)});
}

request_executor entry_host::state::make_executor() {
  request_settings limits;
  limits.table.records = settings_.limits().records;
  limits.table.tombstones = settings_.limits().tombstones;
  limits.table.live_bytes = settings_.limits().stored_answer_bytes;
  return request_executor::create(
             limits, settings_.host(), incarnation_,
             [this](const flow_token& token) { return keys_.seal(renewed_token(token)); })
      .value();
}

dispatch_queue entry_host::state::make_queue() {
  return dispatch_queue(
      {}, pool_, engine_(),
      [this](time_point now, service_id service, std::span<const host_id> requested) {
        return router_.choose_lender(now, service, requested);
      });
}

entry_effects entry_host::state::step(time_point now, const entry_event& event) {
  now_ = now;
  entry_effects out;
  std::visit([&](const auto& it) { on(now, it, out); }, event);
  return out;
}

void entry_host::state::measure_load(time_point now, entry_effects& out) {
  if (now < next_load_) return;
  next_load_ = now + load_period;
  host_load load;
  load.record_epoch = dispatcher_.executor().record_epoch(now);
  load.revision = directory_.revision();
  load.draining = is_draining();
  load.registration = settings_.registration_address();
  load.services = dispatcher_.queue().loads(now);
  load.is_without_fabric_packets = now - last_fabric_packet_ > fabric_timeout;
  execute(now, members_.step(now, load_measured{std::move(load)}), out);
  router_.on_member(now, *members_.find(settings_.host()));
}

void entry_host::state::poll(time_point now, entry_effects& out) {
  const auto control_host = poller_.start_poll(now);
  if (!control_host) return;
  auto request = directory_.request();
  *request.mutable_status() = status(now);
  request.set_accepts_parts(true);
  configuration_parts_.describe(request);
  counters_.control_bytes_out += request.ByteSizeLong() + call_overhead;
  out.emplace_back(poll_control{control_host->to_string(), std::move(request)});
}

void entry_host::state::on(time_point now, const sync_finished& event, entry_effects& out) {
  if (!event.reply) {
    ++counters_.failed_polls;
    poller_.on_failure(now);
    return;
  }
  counters_.control_bytes_in += event.reply->ByteSizeLong();
  poller_.on_reply(now, milliseconds(event.reply->quorum_age_ms()));
  if (event.reply->has_changes()) apply_configuration(now, event.reply->changes(), out);
  if (event.reply->has_changes_part()) receive_part(now, event.reply->changes_part(), out);
  std::vector<host_address> hosts;
  for (const auto& it : event.reply->hosts()) {
    const auto address = endpoint::parse(it.peer_address());
    if (address)
      hosts.push_back(
          {host_id{it.host()}, zone_id{static_cast<std::uint16_t>(it.zone())}, address.value()});
  }
  if (!hosts.empty()) execute(now, members_.step(now, addresses_updated{std::move(hosts)}), out);
}

// After a damaged part the transfer begins again, with a regular poll.
void entry_host::state::receive_part(time_point now, const wire::content_part& part,
                                     entry_effects& out) {
  const auto content = configuration_parts_.add(part);
  if (!content.has_value()) return;
  if (!content.value()) return poller_.request_next_part(now);
  const auto bytes = inflated(*content.value());
  wire::configuration update;
  if (!bytes.has_value() || !update.ParseFromString(bytes.value())) return;
  apply_configuration(now, update, out);
}

void entry_host::state::apply_configuration(time_point now, const wire::configuration& update,
                                            entry_effects& out) {
  const auto applied = directory_.apply(update);
  if (!applied || applied.value() != service_directory::outcome::applied) return;
  update_drains(out);
  measure_load(now, out);
  out.emplace_back(save_configuration{directory_.complete()});
}

result<void> entry_host::state::restore(const wire::configuration& configuration) {
  ZINNIA_TRY(directory_.apply(configuration));
  entry_effects unused_effects;
  update_drains(unused_effects);
  return success();
}

void entry_host::state::update_drains(entry_effects& out) {
  std::vector<incarnation_id> upstreams;
  const auto configuration = directory_.complete();
  for (const auto& it : configuration.drains())
    if (it.kind() == wire::drain_entry::upstream && it.active())
      upstreams.emplace_back(incarnation_id{it.target()});
  pool_.set_drains(upstreams);
  const bool is_drain_requested = is_stopping_ || directory_.is_draining(settings_.host());
  step_drain(is_drain_requested ? drain_event::drain_requested : drain_event::drain_undone, out);
}

void entry_host::state::step_drain(drain_event event, entry_effects& out) {
  for (const auto it : drain_.step(event)) {
    switch (it) {
    case drain_action::refuse_opens:
      dispatcher_.executor().begin_drain();
      break;
    case drain_action::accept_opens:
      dispatcher_.executor().end_drain();
      break;
    case drain_action::release_upstreams:
      // Upstreams are redirected at their next renewal, see dispatching_host().
      next_load_ = now_;
      break;
    case drain_action::report_waiting:
      out.emplace_back(
          report_drain{drain_.state_name(), dispatcher_.executor().pending(),
                       dispatcher_.executor().unacknowledged(),
                       static_cast<std::uint64_t>(
                           dispatcher_.executor().remaining_token_validity(now_).count())});
      break;
    }
  }
}

void entry_host::state::on(time_point /*now*/, const keys_loaded& event, entry_effects& /*out*/) {
  keys_ = event.keys;
}

// Time and planned stops.

void entry_host::state::on(time_point now, const drain_requested& /*event*/, entry_effects& out) {
  is_stopping_ = true;
  step_drain(drain_event::drain_requested, out);
  measure_load(now, out);
}

void entry_host::state::on(time_point now, const timer_tick& /*event*/, entry_effects& out) {
  if (now >= next_membership_) {
    next_membership_ = now + membership_period;
    execute(now, members_.step(now, membership_tick{}), out);
  }
  measure_load(now, out);
  execute(pool_.tick(now), out);
  dispatcher_.on_tick(now, out);
  poll(now, out);
  advance_drain(now, out);
}

void entry_host::state::advance_drain(time_point now, entry_effects& out) {
  if (drain_.is_serving()) return;
  const auto& executor = dispatcher_.executor();
  if (dispatcher_.has_no_requests()) step_drain(drain_event::requests_finished, out);
  // Only this incarnation can report that a request with one of its tokens was not run, so the
  // host keeps running until its tokens have expired.
  if (executor.unacknowledged() == 0 && executor.remaining_token_validity(now) == milliseconds(0))
    step_drain(drain_event::answers_settled, out);
  if (!is_stopping_ || has_departed_ || !drain_.is_drained()) return;
  has_departed_ = true;
  execute(now, members_.step(now, departure_requested{}), out);
}

entry_host::entry_host(std::unique_ptr<state> initial) : state_(std::move(initial)) {}
entry_host::~entry_host() = default;
entry_host::entry_host(entry_host&&) noexcept = default;
entry_host& entry_host::operator=(entry_host&&) noexcept = default;

result<entry_host> entry_host::create(const entry_settings& settings, key_ring keys,
                                      incarnation_id incarnation, std::uint64_t seed,
                                      std::optional<wire::configuration> last_configuration) {
  auto drain = host_drain::create(std::filesystem::path(ZINNIA_CHART_DIR) / "host_drain.yaml");
  if (!drain) {
    const auto& first = drain.error().front();
    return failure(error_kind::malformed, first.file + ':' + std::to_string(first.line),
                   first.message);
  }
  auto initial = std::make_unique<state>(settings, std::move(keys), incarnation,
                                         std::move(drain).value(), random_engine(seed));
  if (last_configuration) {
    ZINNIA_TRY(initial->restore(*last_configuration));
  }
  return entry_host(std::move(initial));
}

entry_effects entry_host::step(time_point now, const entry_event& event) {
  return state_->step(now, event);
}

bool entry_host::is_drained() const {
  return state_->is_drained();
}

wire::metrics_reply entry_host::metrics(time_point now) const {
  return state_->metrics(now);
}

wire::host_status entry_host::status(time_point now) const {
  return state_->status(now);
}

} // namespace zinnia
