#include "operators.h"

#include "common/http_call.h"
#include "installation.h"
#include "platform/bodies.h"
#include "platform/operator_api.h"

#include <algorithm>

namespace zinnia::soak {
namespace {

constexpr milliseconds call_timeout{1'000};
constexpr milliseconds retry_interval{100};
constexpr milliseconds max_change_time{3'000};
constexpr std::uint16_t first_port = 10'000;
constexpr std::uint64_t port_count = 50'000;
constexpr std::uint32_t request_timeout_ms = 2'500;
// Every second run of this many versions is large.
constexpr std::uint64_t large_versions = 6;
constexpr std::uint32_t idle_routes = 2'000;
constexpr std::uint32_t first_idle_port = 1'000; // up to 2,999, below first_port

void add_route(wire::flow_declaration& out, const std::string& service, std::uint16_t port) {
  const auto address = installation::service_address(service, port);
  auto& route = *out.add_routes();
  route.set_name(service + std::to_string(port));
  route.set_address(address.address);
  route.set_port(address.port);
  route.set_kind(wire::unsafe);
  route.set_timeout_ms(request_timeout_ms);
  auto& share = *route.add_services();
  share.set_service(service);
  share.set_weight(1);
}

// Routes that no caller uses, which make a declaration larger than a reply.
void add_idle_routes(wire::flow_declaration& out) {
  const auto first = out.routes(0);
  for (std::uint32_t n = 0; n < idle_routes; ++n) {
    auto& route = *out.add_routes();
    route = first;
    route.set_name("idle-" + std::to_string(n * 7'919 % 1'000'000));
    route.set_port(first_idle_port + n);
  }
}

wire::flow_declaration declaration_of(std::uint64_t version) {
  wire::flow_declaration out;
  out.set_version(version);
  out.set_idle_timeout_ms(15'000);
  for (const auto* it : {"registry", "catalogue"}) {
    out.add_services()->set_name(it);
    add_route(out, it, installation::service_port);
  }
  add_route(out, "registry", operators::port_of(version));
  if (version / large_versions % 2 == 1) add_idle_routes(out);
  return out;
}

} // namespace

std::uint16_t operators::port_of(std::uint64_t version) {
  return static_cast<std::uint16_t>(first_port + version % port_count);
}

operators::operators(std::vector<endpoint> controls, std::uint64_t seed)
    : controls_(std::move(controls)), engine_(seed) {
  for (std::uint64_t n = 1; n <= 2; ++n)
    workers_.emplace_back([this, seed, n](const std::stop_token& end) { run(end, seed + n); });
}

void operators::stop() {
  workers_.clear();
}

void operators::set_changing(bool is_changing) {
  const std::lock_guard lock(mutex_);
  is_changing_ = is_changing;
}

std::vector<std::string> operators::findings() const {
  const std::lock_guard lock(mutex_);
  return findings_;
}

std::uint64_t operators::acknowledged() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_;
}

void operators::add_finding(const std::string& finding) {
  const std::lock_guard lock(mutex_);
  findings_.push_back(finding);
}

endpoint operators::random_control(random_engine& engine) const {
  return controls_[std::uniform_int_distribution<std::size_t>(0, controls_.size() - 1)(engine)];
}

void operators::run(const std::stop_token& end, std::uint64_t seed) {
  random_engine engine(seed);
  std::uniform_int_distribution<int> pause(50, 800);
  while (!end.stop_requested()) {
    bool is_changing = false;
    {
      const std::lock_guard lock(mutex_);
      is_changing = is_changing_;
    }
    if (is_changing) {
      wire::flow_declaration proposed;
      prepare_change(proposed);
      const auto until = monotonic_now() + max_change_time;
      while (!end.stop_requested() && monotonic_now() < until && !send(proposed, engine))
        std::this_thread::sleep_for(retry_interval);
    }
    read_once(engine);
    std::this_thread::sleep_for(milliseconds(pause(engine)));
  }
}

std::uint64_t operators::prepare_change(wire::flow_declaration& out) {
  const std::lock_guard lock(mutex_);
  out = declaration_of(next_version_++);
  sent_[out.version()] = platform::encode_declaration(out);
  return out.version();
}

bool operators::send(const wire::flow_declaration& declaration, random_engine& engine) {
  const auto version = declaration.version();
  const auto response =
      utilities::http_call(random_control(engine), "POST", platform::replace_declaration_path(),
                           platform::encode_declaration(declaration), call_timeout);
  if (!response.has_value()) return false;
  if (response.value().status >= 400 && response.value().status < 500)
    add_finding("version " + std::to_string(version) + " was refused: " + response.value().body);
  if (!response.value().is_ok()) return false;
  const std::lock_guard lock(mutex_);
  acknowledged_ = std::max(acknowledged_, version);
  return true;
}

std::uint64_t operators::change(milliseconds timeout) {
  wire::flow_declaration proposed;
  const auto version = prepare_change(proposed);
  const auto until = monotonic_now() + timeout;
  while (monotonic_now() < until) {
    if (send(proposed, engine_)) return version;
    std::this_thread::sleep_for(retry_interval);
  }
  return 0;
}

std::uint64_t operators::read(milliseconds timeout) {
  const auto until = monotonic_now() + timeout;
  while (monotonic_now() < until) {
    if (const auto version = read_once(engine_); version > 0) return version;
    std::this_thread::sleep_for(retry_interval);
  }
  return 0;
}

// A response must be at least as new as the last version acknowledged before the request.
std::uint64_t operators::read_once(random_engine& engine) {
  const auto expected = acknowledged();
  const auto control = random_control(engine);
  const auto response =
      utilities::http_call(control, "GET", platform::describe_declaration_path(), "", call_timeout);
  if (!response.has_value() || !response.value().is_ok()) return 0;
  const auto declaration = platform::decode_declaration(response.value().body);
  if (!declaration.has_value()) {
    add_finding("unreadable declaration at " + control.to_string());
    return 0;
  }
  const auto version = declaration.value().version();
  if (version < expected)
    add_finding(control.to_string() + " shows version " + std::to_string(version) + " after " +
                std::to_string(expected) + " was acknowledged");
  const std::lock_guard lock(mutex_);
  const auto sent = sent_.find(version);
  if (sent == sent_.end() || sent->second != response.value().body)
    findings_.push_back("version " + std::to_string(version) + " is not what was sent");
  return version;
}

} // namespace zinnia::soak
