#include "command_context.h"

#include <memory>

namespace zinnia {
namespace {

struct drain_options {
  std::uint64_t target = 0;
  bool is_undo = false;
  operation_options operation;
};

exit_code drain(const command_context& context, drain_options& options,
                wire::drain_entry::target_kind kind) {
  operator_session session(context);
  options.operation.complete();
  wire::drain_request request;
  request.set_operation_id(options.operation.operation_id);
  request.set_author(options.operation.author);
  request.mutable_drain()->set_kind(kind);
  request.mutable_drain()->set_target(options.target);
  request.mutable_drain()->set_active(!options.is_undo);
  return report(context, session.client().drain(request), options.is_undo ? "undo drain" : "drain");
}

void add_target(CLI::App& drain_command, command_context& context, const char* name,
                const char* description, const char* id_description, std::uint64_t max_id,
                wire::drain_entry::target_kind kind) {
  const auto options = std::make_shared<drain_options>();
  auto* command = drain_command.add_subcommand(name, description);
  command->add_option("ID", options->target, id_description)
      ->required()
      ->check(CLI::Range(std::uint64_t{1}, max_id));
  command->add_flag("--undo", options->is_undo, "End the drain");
  options->operation.add_to(*command);
  command->callback([&context, options, kind] {
    context.action = [&context, options, kind] { return drain(context, *options, kind); };
  });
}

} // namespace

void add_drain_commands(CLI::App& app, command_context& context) {
  auto* command = app.add_subcommand(
      "drain", "Give a host or an upstream no new work and let it finish its open work");
  command->require_subcommand(1);
  add_target(*command, context, "host", "Drain an entry host", "Host number, as in status",
             UINT32_MAX, wire::drain_entry::host);
  add_target(*command, context, "upstream", "Drain an upstream",
             "Incarnation of the upstream, as in upstreams", UINT64_MAX,
             wire::drain_entry::upstream);
}

} // namespace zinnia
