#include "command_context.h"
#include "overview.pb.h"
#include "text_table.h"

#include <iostream>
#include <memory>

namespace zinnia {
namespace {

exit_code metrics(const command_context& context, const std::vector<std::string>& addresses) {
  std::vector<endpoint> hosts;
  hosts.reserve(addresses.size());
  for (const auto& it : addresses)
    hosts.push_back(endpoint::parse(it).value()); // validated by the option's check
  if (hosts.empty()) hosts = control_hosts(context);
  grpc_transport transport(std::chrono::seconds(context.timeout_s));
  const auto collected = query_all<wire::metrics_reply>(
      hosts, [&](const endpoint& host) { return transport.metrics(host); });
  for (const auto& it : collected.unreachable)
    std::cerr << "no answer from " << it << '\n';
  if (collected.replies.empty()) return exit_code::unreachable;

  wire::metrics_overview overview;
  for (std::size_t i = 0; i < collected.replies.size(); ++i) {
    auto& source = *overview.add_sources();
    source.set_address(collected.addresses[i]);
    *source.mutable_metrics() = collected.replies[i].metrics();
  }
  if (context.wants_json) {
    print_json(overview);
    return exit_code::done;
  }
  text_table table({"FROM", "METRIC", "LABELS", "VALUE"});
  for (const auto& source : overview.sources())
    for (const auto& it : source.metrics()) {
      std::ostringstream value;
      value.precision(10);
      value << it.value();
      table.add({source.address(), it.name(), it.labels(), value.str()});
    }
  std::cout << table;
  return exit_code::done;
}

} // namespace

void add_metrics_command(CLI::App& app, command_context& context) {
  const auto addresses = std::make_shared<std::vector<std::string>>();
  auto* command = app.add_subcommand("metrics", "Show the metrics of control or entry hosts");
  command
      ->add_option("ADDRESS", *addresses,
                   "gRPC addresses of hosts, such as the registration addresses in status "
                   "(default: those of --control)")
      ->check([](const std::string& text) {
        const auto parsed = endpoint::parse(text);
        return parsed ? std::string() : parsed.error().cause;
      });
  command->callback([&context, addresses] {
    context.action = [&context, addresses] { return metrics(context, *addresses); };
  });
}

} // namespace zinnia
