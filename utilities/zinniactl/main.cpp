#include "command_context.h"

#include <iostream>
#include <sodium.h>

int main(int argc, char** argv) {
  using namespace zinnia;
  if (sodium_init() < 0) {
    std::cerr << "libsodium cannot be initialized\n";
    return static_cast<int>(exit_code::io);
  }
  command_context context;
  CLI::App app("Operates zinniarelay: declarations, drains, control hosts, keys and status.",
               "zinniactl");
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(exit_code_help);
  app.add_option("-c,--control", context.control,
                 "ip:port of a control host; repeat it for each (also ZINNIA_CONTROL, separated "
                 "by commas)")
      ->envname("ZINNIA_CONTROL")
      ->delimiter(',')
      ->allow_extra_args(false);
  app.add_flag("--json", context.wants_json, "Print the result as JSON");
  app.add_option("--timeout", context.timeout_s, "Seconds until the command gives up")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  add_declaration_commands(app, context);
  add_status_commands(app, context);
  add_drain_commands(app, context);
  add_member_commands(app, context);
  add_zone_commands(app, context);
  add_audit_command(app, context);
  add_metrics_command(app, context);
  add_key_commands(app, context);
  try {
    app.parse(argc, argv);
    return static_cast<int>(context.action());
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : static_cast<int>(exit_code::usage);
  }
}
