#include "flow_daemon.h"

#include "platform/operator_api.h"
#include "zinniarelay/observe/log_line.h"
#include "zinniarelay/observe/metrics_text.h"

namespace zinnia::flowd {
namespace {

constexpr std::uint32_t log_lines_per_second = 100;
constexpr milliseconds publish_interval{1'000};
constexpr milliseconds presence_interval{6'000};
constexpr milliseconds status_interval{5'000};
// A stopping host exits this long before the end of stop_grace.
constexpr milliseconds exit_margin{1'000};
constexpr std::string_view metrics_path = "/metrics";
// Requests for readiness and metrics have no body.
constexpr std::size_t max_request_body_bytes = 1'024;

std::vector<std::string> addresses_of(const std::vector<endpoint>& list) {
  std::vector<std::string> out;
  out.reserve(list.size());
  for (const auto& it : list)
    out.push_back(it.to_string());
  return out;
}

milliseconds::rep elapsed_ms(time_point since, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - since).count();
}

flow_host_settings host_settings(const flow_settings& settings) {
  flow_host_settings out;
  out.router.selection.zone = settings.zone_name();
  // The timeout passes after three missing reports in a row.
  out.router.selection.report_timeout = settings.report_interval() * 3 + milliseconds(500);
  if (settings.has_adaptive_spillover()) out.router.selection.spillover = zone_spillover::adaptive;
  out.router.selection.cross_zone_price = settings.cross_zone_price();
  out.rotation.grace_period =
      std::max(settings.stop_grace() - exit_margin, out.rotation.rotation_delay);
  if (settings.has_load_reports())
    out.router.load_reports = {settings.name(), settings.zone_name()};
  return out;
}

} // namespace

flow_daemon::flow_daemon(const flow_settings& settings, random_engine engine)
    : settings_(settings), engine_(engine),
      host_(host_settings(settings), random_engine(engine_()), monotonic_now()),
      log_rate_limiter_(log_lines_per_second),
      answer_durations_(metrics_.distribution_of("flow_answer_wait_ms")),
      loop_gaps_(metrics_.distribution_of("loop_gap_ms")), last_iteration_(monotonic_now()),
      next_status_(last_iteration_ + status_interval), warmup_holder_(engine_() | 1U) {}

result<std::unique_ptr<flow_daemon>> flow_daemon::create(const flow_settings& settings,
                                                         random_engine engine) {
  std::unique_ptr<flow_daemon> out(new flow_daemon(settings, engine));
  ZINNIA_TRY(out->bind());
  return out;
}

result<void> flow_daemon::bind() {
  ZINNIA_TRY(socket, packet_socket::create(settings_.packet_address()));
  socket_ = std::move(socket);
  const auto handle = [this](const http_request& request) { return answer(request); };
  http_server_limits limits;
  limits.handler_threads = 0;
  limits.body_bytes = max_request_body_bytes;
  ZINNIA_TRY(ready,
             http_server::create(settings_.ready_address(), handle, limits, metrics_, "ready"));
  ready_server_ = std::move(ready);
  if (settings_.metrics_address()) {
    ZINNIA_TRY(metrics, http_server::create(*settings_.metrics_address(), handle, limits, metrics_,
                                            "metrics"));
    metrics_server_ = std::move(metrics);
  }
  if (settings_.notice_address()) {
    ZINNIA_TRY(notices, notice_socket::create(*settings_.notice_address()));
    notices_ = std::move(notices);
  }
  updates_ = std::make_unique<update_client>(
      update_client::identity{settings_.name(), settings_.availability_zone().value,
                              host_settings(settings_).router.selection.report_timeout,
                              settings_.has_load_reports()},
      addresses_of(settings_.control_hosts()), random_engine(engine_()), metrics_);
  return success();
}

http_response flow_daemon::answer(const http_request& request) {
  if (request.path == metrics_path) return {200, "text/plain", metrics_text(metrics_.report())};
  if (!platform::is_ready_request(request)) return {404, "text/plain", "no such call"};
  return is_ready_ ? http_response{200, "text/plain", "ready"}
                   : http_response{503, "text/plain", "not ready"};
}

void flow_daemon::run(requests& requested, const std::filesystem::path& settings_file) {
  settings_watch watch(settings_file);
  last_iteration_ = monotonic_now();
  host_.record_iteration(last_iteration_);
  while (true) {
    const auto count = socket_->receive();
    const auto now = monotonic_now();
    detect_suspension(now);
    exchange_notices(now);
    apply_updates(now);
    if (count > 0) handle_packets(now, count);
    host_.tick(now);
    updates_->set_warmup_holder(host_.wants_grants(now) ? warmup_holder_ : 0);
    if (host_.may_release_held(now)) release_held_packets(now);
    spillover_report_.log_changes(host_);
    send_load(now);
    if (now >= next_publish_) publish(now);
    if (now >= next_status_) log_status(now);
    if (watch.has_changed(now, requested.reload.exchange(false))) reload(settings_file);
    if (requested.stop && !host_.is_stopping()) {
      host_.stop(now);
      is_ready_ = false;
      log_info("stopping").with("open_flows", host_.router().flows().size());
    }
    if (host_.may_exit(now)) break;
  }
  log_info("stopped").with("open_flows", host_.router().flows().size());
}

void flow_daemon::exchange_notices(time_point now) {
  if (!notices_) return;
  while (const auto received = notices_->receive()) {
    const auto& notice = received->notice;
    if (notice.kind() != wire::host_notice::control_host_started) continue;
    if (!endpoint::parse(notice.control_host()).has_value()) continue;
    updates_->record_start(notice.control_host(), notice.source());
  }
  if (now < next_presence_) return;
  next_presence_ = now + presence_interval;
  wire::host_notice presence;
  presence.set_kind(wire::host_notice::entry_host_present);
  for (const auto& it : updates_->control_hosts())
    if (const auto address = endpoint::parse(it); address.has_value())
      notices_->send(address.value(), presence);
}

void flow_daemon::send_load(time_point now) {
  auto load = host_.take_due_load(now);
  if (!load || !notices_) return;
  wire::host_notice notice;
  notice.set_kind(wire::host_notice::load_reported);
  *notice.mutable_load() = std::move(*load);
  for (const auto& it : updates_->control_hosts()) {
    const auto address = endpoint::parse(it);
    if (!address.has_value()) continue;
    notices_->send(address.value(), notice);
    ++loads_sent_;
    load_bytes_sent_ += notice.ByteSizeLong();
  }
}

void flow_daemon::detect_suspension(time_point now) {
  const auto gap = now - std::exchange(last_iteration_, now);
  loop_gaps_.record(std::chrono::duration<double, std::milli>(gap).count());
  const auto suspended = host_.record_iteration(now);
  if (!suspended) return;
  updates_->request_immediate_reply();
  log_warning("resumed").with("suspended_ms", suspended->count());
}

// Only the addresses of control hosts are reloaded. Addresses and names of a running host stay.
void flow_daemon::reload(const std::filesystem::path& settings_file) {
  const auto reloaded = flow_settings::load(settings_file);
  if (!reloaded.has_value()) {
    for (const auto& it : reloaded.error())
      log_error("settings_not_reloaded").with(it);
    return;
  }
  updates_->set_seeds(addresses_of(reloaded.value().control_hosts()));
  log_info("settings_reloaded").with("control_hosts", reloaded.value().control_hosts().size());
}

void flow_daemon::apply_updates(time_point now) {
  const auto updates = updates_->take();
  for (const auto& [reply, requested] : updates) {
    const auto applied = host_.apply(now, reply, requested);
    if (applied.is_declaration_new) log_declaration(reply);
    if (applied.refusal) log_warning("declaration_change_refused").with(*applied.refusal);
    log_zones(applied.zones);
    updates_->set_version(host_.requested_version());
    updates_->set_evacuations_version(host_.evacuations_version());
  }
  if (!updates.empty()) release_held_packets(now);
  if (host_.is_ready() == is_ready_) return;
  is_ready_ = host_.is_ready();
  log_info(is_ready_ ? "ready" : "not_ready")
      .with("version", host_.router().routes().version())
      .with("upstreams", host_.router().upstreams().size());
}

void flow_daemon::log_declaration(const wire::news_reply& reply) {
  log_info("declaration_in_force")
      .with("version", host_.router().routes().version())
      .with("routes", host_.router().routes().size())
      .with("source", reply.source())
      .with("trust", name_of(trust_of(reply)))
      .with("quorum_age_ms", reply.quorum_age_ms());
}

void flow_daemon::log_zones(const std::vector<evacuated_zones::change>& changes) {
  for (const auto& it : changes)
    log_info(name_of(it.type))
        .with("changed_zone", it.zone)
        .with("version", host_.evacuations_version());
}

void flow_daemon::handle_packets(time_point now, std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) {
    const auto head = platform::decode_head(socket_->received(n));
    if (head)
      handle_packet(now, *head, socket_->received_with_headroom(n));
    else
      ++malformed_;
  }
  flush();
}

void flow_daemon::release_held_packets(time_point now) {
  auto packets = host_.take_held(now);
  std::size_t queued = 0;
  for (auto& it : packets) {
    handle_packet(it.arrived, it.head, it.bytes);
    if (++queued % packet_socket::batch == 0) flush();
  }
  flush();
}

void flow_daemon::handle_packet(time_point now, const packet_head& head,
                                std::span<std::byte> bytes) {
  const auto decision = host_.handle(now, head, bytes);
  log_decision(now, head, decision);
  if (decision.answered_after)
    answer_durations_.record(static_cast<double>(decision.answered_after->count()));
  if (decision.action == flow_decision::action_type::reset) return queue_reset(head);
  if (decision.action != flow_decision::action_type::forward) return;
  const auto number = platform::id_number(*decision.upstream_id);
  if (!number) return;
  platform::write_route_tag(bytes.subspan(packet_socket::headroom), decision.route_tag);
  platform::write_prefix(bytes.first<platform::prefix_size>(), *number);
  spillover_report_.record(decision, bytes.size());
  socket_->queue(decision.destination, bytes);
}

void flow_daemon::flush() {
  unsent_ += socket_->flush();
  reset_count_ = 0;
}

// Callers receive at the port of the packet address, independent of the source port in the packet.
void flow_daemon::queue_reset(const packet_head& head) {
  auto& buffer = resets_[reset_count_++];
  buffer = platform::encode_reset(head.key(), head.acknowledged);
  socket_->queue({head.source.address, settings_.packet_address().port}, buffer);
}

void flow_daemon::log_decision(time_point now, const packet_head& head,
                               const flow_decision& decision) {
  using reason = flow_decision::reason_type;
  if (decision.reason == reason::routed || !log_rate_limiter_.try_acquire(now)) return;
  log_line line(decision.action == flow_decision::action_type::forward ? log_level::info
                                                                       : log_level::warning,
                name_of(decision.reason));
  line.with("caller", head.source).with("service_address", head.destination);
  line.with("copies", head.acknowledged).with("version", host_.router().routes().version());
  if (decision.upstream_id == nullptr) {
    line.with("tag", head.route_tag);
    return;
  }
  const auto* upstream = host_.router().upstreams().find_tag(decision.route_tag);
  line.with("upstream", *decision.upstream_id).with("address", decision.destination);
  if (upstream == nullptr) return;
  const auto age = std::chrono::duration_cast<milliseconds>(now - upstream->last_report);
  line.with("open_flows", host_.router().flows().open_flows(upstream->incarnation))
      .with("report_age_ms", age.count());
}

// Lines about flows displace earlier lines from a log of limited size, so that the line about a
// declaration that came into force may be gone when it is looked for.
void flow_daemon::log_status(time_point now) {
  next_status_ = now + status_interval;
  auto line = log_info("status");
  line.with("version", host_.router().routes().version())
      .with("in_force_ms", elapsed_ms(host_.in_force_since(), now))
      .with("update_age_ms", elapsed_ms(host_.last_update(), now))
      .with("upstreams", host_.router().upstreams().size())
      .with("open_flows", host_.router().flows().size())
      .with("evacuations_version", host_.evacuations_version());
  if (settings_.has_load_reports())
    line.with("shared_suspects", host_.router().selector().shared_suspect_count());
}

void flow_daemon::publish(time_point now) {
  next_publish_ = now + publish_interval;
  metrics_.gauge_of("update_age_ms").set(static_cast<double>(elapsed_ms(host_.last_update(), now)));
  for (std::size_t n = 0; n < flow_decision::reason_count; ++n) {
    const auto why = static_cast<flow_decision::reason_type>(n);
    metrics_.gauge_of("packets", std::string("decision=") + name_of(why))
        .set(static_cast<double>(host_.router().count_of(why)));
  }
  metrics_.gauge_of("packets_malformed").set(static_cast<double>(malformed_));
  metrics_.gauge_of("packets_unsent").set(static_cast<double>(unsent_));
  publish_warmup();
  metrics_.gauge_of("open_flows").set(static_cast<double>(host_.router().flows().size()));
  metrics_.gauge_of("packets_held").set(static_cast<double>(host_.held().size()));
  metrics_.gauge_of("packets_held_dropped").set(static_cast<double>(host_.held().dropped()));
  metrics_.gauge_of("upstreams").set(static_cast<double>(host_.router().upstreams().size()));
  metrics_.gauge_of("declaration_version")
      .set(static_cast<double>(host_.router().routes().version()));
  const auto& evacuations = host_.router().evacuations();
  metrics_.gauge_of("evacuated_zones").set(static_cast<double>(evacuations.size()));
  metrics_.gauge_of("evacuations_version").set(static_cast<double>(evacuations.version()));
  metrics_.gauge_of("openings_kept_away")
      .set(static_cast<double>(host_.router().openings_kept_away()));
  spillover_report_.publish(metrics_, host_);
  if (settings_.has_load_reports()) publish_loads();
  metrics_.gauge_of("log_lines_dropped").set(static_cast<double>(log_rate_limiter_.dropped()));
}

void flow_daemon::publish_warmup() {
  if (!host_.router().upstreams().has_limits()) return;
  const auto& tokens = host_.router().selector().tokens();
  metrics_.gauge_of("warmup_cold_upstreams")
      .set(static_cast<double>(host_.router().upstreams().cold_count(tokens.clock())));
  metrics_.gauge_of("warmup_leases").set(static_cast<double>(tokens.leases()));
  metrics_.gauge_of("warmup_tokens_used").set(static_cast<double>(tokens.used()));
}

void flow_daemon::publish_loads() {
  const auto& selector = host_.router().selector();
  metrics_.gauge_of("load_reports_sent").set(static_cast<double>(loads_sent_));
  metrics_.gauge_of("load_report_bytes_sent").set(static_cast<double>(load_bytes_sent_));
  metrics_.gauge_of("shared_suspects").set(static_cast<double>(selector.shared_suspect_count()));
  metrics_.gauge_of("zone_loads")
      .set(static_cast<double>(selector.current_zone_loads(monotonic_now()).size()));
}

} // namespace zinnia::flowd
