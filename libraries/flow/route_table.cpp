#include "zinniarelay/flow/route_table.h"

#include "zinniarelay/flow/declaration_history.h"

#include <cmath>
#include <numeric>
#include <unordered_set>

namespace zinnia {
namespace {

constexpr milliseconds default_idle_timeout{15'000};

/// `Message` has the fields of an address and port.
template <class Message>
endpoint address_of(const Message& value) {
  return {value.address(), static_cast<std::uint16_t>(value.port())};
}

} // namespace

const std::string& route::service_of(std::uint64_t flow_hash) const {
  const auto total = std::accumulate(services.begin(), services.end(), std::uint64_t{0},
                                     [](auto sum, const auto& it) { return sum + it.weight; });
  if (total == 0) return services.front().service;
  auto remainder = flow_hash % total;
  for (const auto& it : services) {
    if (remainder < it.weight) return it.service;
    remainder -= it.weight;
  }
  return services.back().service;
}

std::vector<error> flow_declaration_errors(const wire::flow_declaration& declaration) {
  std::vector<error> out;
  const auto require = [&](bool is_valid, const std::string& place, const std::string& cause) {
    if (!is_valid) out.push_back({error_kind::malformed, place, cause});
  };
  std::unordered_set<std::string> service_names;
  for (int i = 0; i < declaration.services_size(); ++i) {
    const auto place = "services[" + std::to_string(i) + "]";
    const auto& name = declaration.services(i).name();
    require(!name.empty(), place, "has no name");
    require(service_names.insert(name).second, place, "'" + name + "' is declared twice");
    const auto rate = declaration.services(i).warmup_rate();
    require(std::isfinite(rate) && rate >= 0, place, "has an invalid warm-up rate");
  }
  std::unordered_set<endpoint> addresses;
  for (int i = 0; i < declaration.routes_size(); ++i) {
    const auto& route = declaration.routes(i);
    const auto place = "routes[" + std::to_string(i) + "] '" + route.name() + "'";
    require(route.address() != 0 && route.port() > 0 && route.port() <= UINT16_MAX, place,
            "has no address and port");
    require(addresses.insert(address_of(route)).second, place, "has the address of another route");
    require(route.timeout_ms() > 0, place, "has a timeout of 0");
    require(route.services_size() > 0, place, "names no service");
    std::uint64_t total_weight = 0;
    for (const auto& it : route.services()) {
      require(service_names.count(it.service()) > 0, place,
              "names unknown service " + it.service());
      total_weight += it.weight();
    }
    require(route.services_size() == 0 || total_weight > 0, place, "gives no service a weight");
  }
  return out;
}

route_table::route_table(const wire::flow_declaration& declaration)
    : version_(declaration.version()), limits_(warmup_limits_of(declaration.services())) {
  set_idle_timeout(declaration.idle_timeout_ms());
  for (const auto& it : declaration.routes())
    set_route(it);
}

void route_table::set_idle_timeout(std::uint32_t value_ms) {
  idle_timeout_ = value_ms > 0 ? milliseconds(value_ms) : default_idle_timeout;
}

void route_table::set_route(const wire::flow_route& value) {
  entry next;
  next.digest = digest_of(value);
  next.value.name = value.name();
  next.value.kind = value.kind();
  next.value.timeout = milliseconds(value.timeout_ms());
  next.value.latency_objective = milliseconds(value.aim_ms());
  next.value.priority = value.priority();
  for (const auto& it : value.services())
    next.value.services.push_back({it.service(), it.weight()});
  auto& slot = routes_[address_of(value)];
  digest_ += next.digest - slot.digest;
  slot = std::move(next);
}

std::uint64_t route_table::digest_after(const wire::flow_declaration_change& change) const {
  auto out = digest_ + digest_of_idle_timeout(change.idle_timeout_ms()) +
             digest_of(warmup_limits_of(change.services()));
  const auto former_digest = [&](const auto& address) {
    const auto it = routes_.find(address);
    return it == routes_.end() ? 0 : it->second.digest;
  };
  for (const auto& it : change.routes())
    out += digest_of(it) - former_digest(address_of(it));
  for (const auto& it : change.removed())
    out -= former_digest(address_of(it));
  return out;
}

result<void> route_table::apply(const wire::flow_declaration_change& change) {
  const auto place = "change to version " + std::to_string(change.version());
  if (change.base_version() != version_)
    return failure(error_kind::conflict, place,
                   "is based on version " + std::to_string(change.base_version()) +
                       ", in force is " + std::to_string(version_));
  if (!limits_.empty() && change.services().empty())
    return failure(error_kind::conflict, place, "has no warm-up limits");
  if (digest_after(change) != change.digest())
    return failure(error_kind::conflict, place, "leads to another declaration than the sender's");
  for (const auto& it : change.removed()) {
    const auto removed = routes_.find(address_of(it));
    if (removed == routes_.end()) continue;
    digest_ -= removed->second.digest;
    routes_.erase(removed);
  }
  for (const auto& it : change.routes())
    set_route(it);
  set_idle_timeout(change.idle_timeout_ms());
  limits_ = warmup_limits_of(change.services());
  version_ = change.version();
  return success();
}

const route* route_table::find(const endpoint& address) const {
  const auto it = routes_.find(address);
  return it == routes_.end() ? nullptr : &it->second.value;
}

} // namespace zinnia
