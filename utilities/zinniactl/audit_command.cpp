#include "command_context.h"
#include "zinniarelay/operate/merge_reports.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <iostream>
#include <memory>

namespace zinnia {
namespace {

struct audit_options {
  std::uint64_t after = 0;
  std::uint32_t limit = 100;
};

std::string time_text(std::uint64_t ms) {
  constexpr Poco::Timestamp::TimeVal us_per_ms = 1000;
  return Poco::DateTimeFormatter::format(
      Poco::Timestamp(static_cast<Poco::Timestamp::TimeVal>(ms) * us_per_ms),
      "%Y-%m-%dT%H:%M:%S.%iZ");
}

void print(const wire::audit_record& record) {
  std::cout << record.index() << ' ' << time_text(record.time_ms()) << ' ' << record.author() << ' '
            << record.action() << ' '
            << (record.accepted() ? "accepted" : "refused: " + record.cause()) << ", revision "
            << record.revision_before() << " -> " << record.revision_after() << ", operation "
            << record.operation_id() << '\n';
  for (const auto& it : record.before())
    std::cout << "  - " << it << '\n';
  for (const auto& it : record.after())
    std::cout << "  + " << it << '\n';
}

exit_code audit(const command_context& context, const audit_options& options) {
  grpc_transport transport(std::chrono::seconds(context.timeout_s));
  wire::audit_request request;
  request.set_after_index(options.after);
  request.set_limit(options.limit);
  const auto collected = query_all<wire::audit_reply>(
      control_hosts(context), [&](const endpoint& host) { return transport.audit(host, request); });
  for (const auto& it : collected.unreachable)
    std::cerr << "no answer from " << it << '\n';
  if (collected.replies.empty()) return exit_code::unreachable;
  const auto merged = merge_audit(collected.replies);
  if (context.wants_json) {
    print_json(merged);
    return exit_code::done;
  }
  for (const auto& it : merged.records())
    print(it);
  return exit_code::done;
}

} // namespace

void add_audit_command(CLI::App& app, command_context& context) {
  const auto options = std::make_shared<audit_options>();
  auto* command = app.add_subcommand(
      "audit", "Show who changed or tried to change what, with the state before and after");
  command->add_option("--after", options->after, "Only records after this index of the log");
  command->add_option("--limit", options->limit, "Maximum number of records to show")
      ->check(CLI::Range(1, 10'000))
      ->capture_default_str();
  command->callback([&context, options] {
    context.action = [&context, options] { return audit(context, *options); };
  });
}

} // namespace zinnia
