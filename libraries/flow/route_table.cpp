#include "zinniarelay/flow/route_table.h"

#include <numeric>
#include <unordered_set>

namespace zinnia {
namespace {

constexpr milliseconds default_idle_timeout{15'000};

endpoint address_of(const wire::flow_route& route) {
  return {route.address(), static_cast<std::uint16_t>(route.port())};
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
    : version_(declaration.version()),
      idle_timeout_(declaration.idle_timeout_ms() > 0 ? milliseconds(declaration.idle_timeout_ms())
                                                      : default_idle_timeout) {
  for (const auto& it : declaration.routes()) {
    route parsed;
    parsed.name = it.name();
    parsed.kind = it.kind();
    parsed.timeout = milliseconds(it.timeout_ms());
    parsed.latency_objective = milliseconds(it.aim_ms());
    parsed.priority = it.priority();
    for (const auto& share : it.services())
      parsed.services.push_back({share.service(), share.weight()});
    routes_.emplace(address_of(it), std::move(parsed));
  }
}

const route* route_table::find(const endpoint& address) const {
  const auto it = routes_.find(address);
  return it == routes_.end() ? nullptr : &it->second;
}

} // namespace zinnia
