#include "command_context.h"
#include "zinniarelay/config/declaration.h"

#include <iostream>
#include <memory>
#include <optional>

namespace zinnia {
namespace {

struct declaration_options {
  std::string file;
  operation_options operation;
  std::optional<std::uint64_t> base;
};

/// Loads the declaration, prints its findings and adds its services to the request. Returns false
/// if the declaration has errors.
bool read_services(const std::string& file, wire::apply_request& request) {
  const auto loaded = declaration::load(file);
  for (const auto& it : loaded ? loaded.value().warnings() : loaded.error())
    std::cerr << it << '\n';
  if (!loaded) return false;
  for (const auto& it : loaded.value().services())
    *request.add_services() = it;
  return true;
}

exit_code check(const declaration_options& options) {
  wire::apply_request request;
  if (!read_services(options.file, request)) return exit_code::bad_file;
  std::cout << options.file << ": " << request.services_size() << " services, no errors\n";
  return exit_code::done;
}

exit_code diff(const command_context& context, const declaration_options& options) {
  wire::apply_request request;
  if (!read_services(options.file, request)) return exit_code::bad_file;
  operator_session session(context);
  const auto reply = session.client().diff(request);
  if (!reply) return report_query_error(reply.error());
  if (context.wants_json)
    print_json(reply.value());
  else {
    std::cout << "revision " << reply.value().revision() << '\n';
    print_differences(std::cout, reply.value().differences());
  }
  return reply.value().differences().empty() ? exit_code::done : exit_code::different;
}

exit_code apply(const command_context& context, declaration_options& options) {
  wire::apply_request request;
  if (!read_services(options.file, request)) return exit_code::bad_file;
  operator_session session(context);
  if (!options.base) {
    // The base revision is read once, before the first attempt. If another operator changes the
    // configuration after this, the apply is refused with a stale base.
    const auto current = session.client().diff(request);
    if (!current) return report_query_error(current.error());
    options.base = current.value().revision();
    print_differences(std::cerr, current.value().differences());
  }
  options.operation.complete();
  request.set_operation_id(options.operation.operation_id);
  request.set_author(options.operation.author);
  request.set_base_revision(*options.base);
  const auto reply = session.client().apply(request);
  const auto code = report(context, reply, "apply");
  // The base revision is part of the operation. A repeated call with the same identifier and
  // another base is refused as a different operation.
  if (code == exit_code::unconfirmed)
    std::cerr << "To repeat it: --operation " << request.operation_id() << " --base "
              << request.base_revision() << '\n';
  return code;
}

} // namespace

void add_declaration_commands(CLI::App& app, command_context& context) {
  const auto options = std::make_shared<declaration_options>();

  auto* check_command =
      app.add_subcommand("check", "Check a declaration, without a call to a control host");
  check_command->add_option("FILE", options->file, "Declaration")->required();
  check_command->callback(
      [&context, options] { context.action = [options] { return check(*options); }; });

  auto* diff_command = app.add_subcommand("diff", "Show what applying a declaration would change");
  diff_command->add_option("FILE", options->file, "Declaration")->required();
  diff_command->callback([&context, options] {
    context.action = [&context, options] { return diff(context, *options); };
  });

  auto* apply_command =
      app.add_subcommand("apply", "Replace the whole configuration in force by a declaration");
  apply_command->add_option("FILE", options->file, "Declaration")->required();
  options->operation.add_to(*apply_command);
  apply_command->add_option("--base", options->base,
                            "Revision that the declaration replaces; refused if another "
                            "revision is in force (default: the revision in force now)");
  apply_command->callback([&context, options] {
    context.action = [&context, options] { return apply(context, *options); };
  });
}

} // namespace zinnia
