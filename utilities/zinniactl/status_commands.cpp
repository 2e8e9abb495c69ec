#include "command_context.h"
#include "text_table.h"
#include "zinniarelay/operate/merge_reports.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>

namespace zinnia {
namespace {

std::optional<wire::status_overview> read_status(const command_context& context) {
  grpc_transport transport(std::chrono::seconds(context.timeout_s));
  const auto found = ask_all<wire::status_reply>(
      control_hosts(context), [&](const endpoint& host) { return transport.status(host); });
  for (const auto& it : found.unreachable)
    std::cerr << "no answer from " << it << '\n';
  if (found.replies.empty()) return std::nullopt;
  return merge_status(found.replies, found.unreachable);
}

std::string text_of(std::uint64_t value) {
  return std::to_string(value);
}

void print_controls(const wire::status_overview& status) {
  text_table table({"CONTROL", "ZONE", "ROLE", "TERM", "COMMITTED", "REVISION", "QUORUM HEARD"});
  for (const auto& it : status.controls())
    table.add({text_of(it.control_id()), text_of(it.zone()), it.role(), text_of(it.term()),
               text_of(it.commit_index()), text_of(it.revision()),
               age_text(it.quorum_age_ms()) + " ago"});
  std::cout << table << '\n';
}

void print_hosts(const wire::status_overview& status) {
  text_table table({"ZONE", "HOST", "STATE", "REVISION", "REPORTED", "PENDING", "RECORDS",
                    "UPSTREAMS", "REGISTRATION"});
  std::vector<wire::host_status> hosts(status.hosts().begin(), status.hosts().end());
  std::stable_sort(hosts.begin(), hosts.end(),
                   [](const auto& a, const auto& b) { return a.zone() < b.zone(); });
  for (const auto& it : hosts)
    table.add({text_of(it.zone()), text_of(it.host()), it.state(), text_of(it.revision()),
               age_text(it.age_ms()) + " ago", text_of(it.pending_requests()),
               text_of(it.open_records()), text_of(static_cast<std::uint64_t>(it.upstreams_size())),
               it.registration_address()});
  std::cout << table << '\n';
}

/// The lowest revision on a host is the one that is in force in the whole zone.
void print_zones(const wire::status_overview& status) {
  struct zone_state {
    std::uint64_t lowest = UINT64_MAX;
    std::uint64_t hosts = 0;
    std::uint32_t oldest_ms = 0;
  };
  std::map<std::uint32_t, zone_state> zones;
  for (const auto& it : status.hosts()) {
    auto& zone = zones[it.zone()];
    zone.lowest = std::min(zone.lowest, it.revision());
    zone.oldest_ms = std::max(zone.oldest_ms, it.age_ms());
    ++zone.hosts;
  }
  text_table table({"ZONE", "HOSTS", "REVISION IN FORCE", "OLDEST REPORT"});
  for (const auto& [id, it] : zones)
    table.add(
        {text_of(id), text_of(it.hosts), text_of(it.lowest), age_text(it.oldest_ms) + " ago"});
  std::cout << table << '\n';
}

void print_services(const wire::configuration& configuration) {
  std::cout << "revision " << configuration.revision() << '\n';
  text_table table({"SERVICE", "ID", "ADDRESS", "METHODS"});
  for (const auto& it : configuration.services())
    table.add({it.declaration().name(), text_of(it.id()), it.declaration().address(),
               text_of(static_cast<std::uint64_t>(it.declaration().methods_size()))});
  std::cout << table;
  for (const auto& it : configuration.drains())
    if (it.active())
      std::cout << "draining " << (it.kind() == wire::drain_entry::host ? "host " : "upstream ")
                << it.target() << '\n';
}

exit_code status(const command_context& context) {
  const auto found = read_status(context);
  if (!found) return exit_code::unreachable;
  if (context.wants_json) {
    print_json(*found);
    return exit_code::done;
  }
  print_controls(*found);
  print_zones(*found);
  print_hosts(*found);
  print_services(found->configuration());
  return exit_code::done;
}

exit_code upstreams(const command_context& context) {
  const auto found = read_status(context);
  if (!found) return exit_code::unreachable;
  const auto list = upstreams_of(*found);
  if (context.wants_json) {
    print_json(list);
    return exit_code::done;
  }
  text_table table({"SERVICE", "ZONE", "UPSTREAM", "ADDRESS", "STATE", "OUTSTANDING", "USABLE",
                    "SLOTS", "HOST", "REPORTED"});
  for (const auto& it : list.upstreams()) {
    const auto& upstream = it.upstream();
    table.add({upstream.service(), text_of(it.zone()), text_of(upstream.incarnation()),
               upstream.address(), upstream.state(), text_of(upstream.outstanding()),
               text_of(upstream.usable_slots()), text_of(upstream.slots()), text_of(it.host()),
               age_text(it.age_ms()) + " ago"});
  }
  std::cout << table;
  return exit_code::done;
}

} // namespace

void add_status_commands(CLI::App& app, command_context& context) {
  app.add_subcommand("status", "Show control hosts, zones, entry hosts, services and drains")
      ->callback([&context] { context.action = [&context] { return status(context); }; });
  app.add_subcommand("upstreams", "Show every announced upstream with its slots")
      ->callback([&context] { context.action = [&context] { return upstreams(context); }; });
}

} // namespace zinnia
