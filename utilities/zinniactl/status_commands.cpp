#include "command_context.h"
#include "host_selection.h"
#include "text_table.h"
#include "zinniarelay/operate/merge_reports.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

namespace zinnia {
namespace {

// With more hosts, a status lists only those that differ from the others.
constexpr int max_hosts_listed = 24;

std::optional<wire::status_overview> read_status(const command_context& context) {
  grpc_transport transport(std::chrono::seconds(context.timeout_s));
  const auto collected = query_all<wire::status_reply>(
      control_hosts(context), [&](const endpoint& host) { return transport.status(host); });
  for (const auto& it : collected.unreachable)
    std::cerr << "no answer from " << it << '\n';
  if (collected.replies.empty()) return std::nullopt;
  return merge_status(collected.replies, collected.unreachable);
}

std::string to_text(std::uint64_t value) {
  return std::to_string(value);
}

void print_controls(const wire::status_overview& status) {
  text_table table({"CONTROL", "ZONE", "ROLE", "TERM", "COMMITTED", "REVISION", "QUORUM HEARD"});
  for (const auto& it : status.controls())
    table.add({to_text(it.control_id()), to_text(it.zone()), it.role(), to_text(it.term()),
               to_text(it.commit_index()), to_text(it.revision()),
               age_text(it.quorum_age_ms()) + " ago"});
  std::cout << table << '\n';
}

void print_hosts(const wire::status_overview& status, host_selection selection) {
  const auto hosts = listed_hosts(status, selection);
  const auto others = static_cast<std::size_t>(status.hosts_size()) - hosts.size();
  if (!hosts.empty()) {
    text_table table({"ZONE", "HOST", "STATE", "REVISION", "REPORTED", "PENDING", "RECORDS",
                      "UPSTREAMS", "REGISTRATION"});
    for (const auto& it : hosts)
      table.add({to_text(it.zone()), to_text(it.host()), it.state(), to_text(it.revision()),
                 age_text(it.age_ms()) + " ago", to_text(it.pending_requests()),
                 to_text(it.open_records()),
                 to_text(static_cast<std::uint64_t>(it.upstreams_size())),
                 it.registration_address()});
    std::cout << table;
  }
  if (others > 0)
    std::cout << others << " hosts serve the highest revision; --all-hosts lists them\n";
  std::cout << '\n';
}

/// Prints one line for each zone. The lowest revision of its hosts is the one that is in force in
/// the whole zone.
void print_zones(const wire::status_overview& status) {
  struct zone_state {
    std::uint64_t lowest_revision = UINT64_MAX;
    std::uint64_t hosts = 0;
    std::uint32_t oldest_report_ms = 0;
  };
  std::map<std::uint32_t, zone_state> zones;
  for (const auto& it : status.hosts()) {
    auto& zone = zones[it.zone()];
    zone.lowest_revision = std::min(zone.lowest_revision, it.revision());
    zone.oldest_report_ms = std::max(zone.oldest_report_ms, it.age_ms());
    ++zone.hosts;
  }
  text_table table({"ZONE", "HOSTS", "REVISION IN FORCE", "OLDEST REPORT"});
  for (const auto& [id, it] : zones)
    table.add({to_text(id), to_text(it.hosts), to_text(it.lowest_revision),
               age_text(it.oldest_report_ms) + " ago"});
  std::cout << table << '\n';
}

void print_services(const wire::configuration& configuration) {
  std::cout << "revision " << configuration.revision() << '\n';
  text_table table({"SERVICE", "ID", "ADDRESS", "METHODS"});
  for (const auto& it : configuration.services())
    table.add({it.declaration().name(), to_text(it.id()), it.declaration().address(),
               to_text(static_cast<std::uint64_t>(it.declaration().methods_size()))});
  std::cout << table;
  for (const auto& it : configuration.drains())
    if (it.active())
      std::cout << "draining " << (it.kind() == wire::drain_entry::host ? "host " : "upstream ")
                << it.target() << '\n';
}

exit_code status(const command_context& context, bool lists_all_hosts) {
  const auto overview = read_status(context);
  if (!overview) return exit_code::unreachable;
  if (context.wants_json) {
    print_json(*overview);
    return exit_code::done;
  }
  print_controls(*overview);
  print_zones(*overview);
  const bool is_large = overview->hosts_size() > max_hosts_listed;
  print_hosts(*overview,
              is_large && !lists_all_hosts ? host_selection::differing : host_selection::all);
  print_services(overview->configuration());
  return exit_code::done;
}

exit_code upstreams(const command_context& context) {
  const auto overview = read_status(context);
  if (!overview) return exit_code::unreachable;
  const auto list = upstreams_of(*overview);
  if (context.wants_json) {
    print_json(list);
    return exit_code::done;
  }
  text_table table({"SERVICE", "ZONE", "UPSTREAM", "ADDRESS", "STATE", "OUTSTANDING", "USABLE",
                    "SLOTS", "HOST", "REPORTED"});
  for (const auto& it : list.upstreams()) {
    const auto& upstream = it.upstream();
    table.add({upstream.service(), to_text(it.zone()), to_text(upstream.incarnation()),
               upstream.address(), upstream.state(), to_text(upstream.outstanding()),
               to_text(upstream.usable_slots()), to_text(upstream.slots()), to_text(it.host()),
               age_text(it.age_ms()) + " ago"});
  }
  std::cout << table;
  return exit_code::done;
}

} // namespace

void add_status_commands(CLI::App& app, command_context& context) {
  auto* command =
      app.add_subcommand("status", "Show control hosts, zones, entry hosts, services and drains");
  const auto lists_all_hosts = std::make_shared<bool>(false);
  command->add_flag("--all-hosts", *lists_all_hosts,
                    "list every entry host; without it, a deployment of more than " +
                        std::to_string(max_hosts_listed) + " lists only those that differ");
  command->callback([&context, lists_all_hosts] {
    context.action = [&context, lists_all_hosts] { return status(context, *lists_all_hosts); };
  });
  app.add_subcommand("upstreams", "Show every announced upstream with its slots")
      ->callback([&context] { context.action = [&context] { return upstreams(context); }; });
}

} // namespace zinnia
