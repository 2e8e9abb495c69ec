#include "command_context.h"
#include "text_table.h"

#include <algorithm>
#include <iostream>
#include <memory>

namespace zinnia {
namespace {

struct zone_options {
  std::string zone;
  operation_options operation;
};

enum class zone_order { evacuate, restore };

exit_code order_zone(const command_context& context, zone_options& options, zone_order order) {
  operator_session session(context);
  options.operation.complete();
  wire::evacuation_request request;
  request.set_operation_id(options.operation.operation_id);
  request.set_author(options.operation.author);
  request.mutable_order()->set_zone(options.zone);
  request.mutable_order()->set_active(order == zone_order::evacuate);
  return report(context, session.client().evacuate(request),
                order == zone_order::evacuate ? "evacuate" : "restore");
}

exit_code list_zones(const command_context& context) {
  grpc_transport transport(std::chrono::seconds(context.timeout_s));
  const auto collected = query_all<wire::zones_reply>(
      control_hosts(context), [&](const endpoint& host) { return transport.zones(host); });
  for (const auto& it : collected.unreachable)
    std::cerr << "no answer from " << it << '\n';
  if (collected.replies.empty()) return exit_code::unreachable;
  // A host that lags behind has a lower version.
  const auto& newest =
      *std::max_element(collected.replies.begin(), collected.replies.end(),
                        [](const auto& a, const auto& b) { return a.version() < b.version(); });
  if (context.wants_json) {
    print_json(newest);
    return exit_code::done;
  }
  std::cout << "evacuations of version " << newest.version() << '\n';
  text_table table({"zone", "state", "changed in version", "ready upstreams"});
  for (const auto& it : newest.zones())
    table.add({it.zone(), it.is_evacuated() ? "evacuated" : "in use",
               std::to_string(it.changed_version()), std::to_string(it.ready_upstreams())});
  std::cout << table;
  return exit_code::done;
}

void add_order(CLI::App& zones_command, command_context& context, const char* name,
               const char* description, zone_order order) {
  const auto options = std::make_shared<zone_options>();
  auto* command = zones_command.add_subcommand(name, description);
  command->add_option("ZONE", options->zone, "Name of the zone, as in zones list")->required();
  options->operation.add_to(*command);
  command->callback([&context, options, order] {
    context.action = [&context, options, order] { return order_zone(context, *options, order); };
  });
}

} // namespace

void add_zone_commands(CLI::App& app, command_context& context) {
  auto* command = app.add_subcommand(
      "zones", "Send no new flows to the upstreams of a zone, and end that again");
  command->require_subcommand(1);
  add_order(*command, context, "evacuate",
            "Send no new flows to the upstreams of a zone; open flows stay", zone_order::evacuate);
  add_order(*command, context, "restore", "End the evacuation of a zone", zone_order::restore);
  auto* list = command->add_subcommand("list", "Show the zones and which of them are evacuated");
  list->callback([&context] { context.action = [&context] { return list_zones(context); }; });
}

} // namespace zinnia
