#include "command_context.h"
#include "text_table.h"

#include <iostream>
#include <memory>
#include <vector>

namespace zinnia {
namespace {

struct member_options {
  std::uint64_t id = 0;
  std::uint64_t replaced_id = 0;
  std::vector<std::uint64_t> further_ids;
  std::string address;
  std::uint32_t zone = 0;
  operation_options operation;
};

void print_members(const wire::members_reply& reply) {
  text_table table({"CONTROL", "ZONE", "ADDRESS", "KIND", "REPLICATED TO", ""});
  for (int i = 0; i < reply.members_size(); ++i) {
    const auto& member = reply.members(i);
    table.add({std::to_string(member.id()), std::to_string(member.zone()), member.address(),
               member.learner() ? "learner" : "voter",
               i < reply.match_index_size() ? std::to_string(reply.match_index(i)) : "-",
               member.id() == reply.leader() ? "leader" : ""});
  }
  std::cout << table;
}

exit_code change(const command_context& context, member_options& options,
                 wire::members_request::action_kind action) {
  operator_session session(context);
  wire::members_request request;
  request.set_action(action);
  if (action != wire::members_request::list) {
    options.operation.complete();
    request.set_operation_id(options.operation.operation_id);
    request.set_author(options.operation.author);
    request.mutable_member()->set_id(options.id);
    request.mutable_member()->set_address(options.address);
    request.mutable_member()->set_zone(options.zone);
    request.mutable_member()->set_learner(action == wire::members_request::add_learner);
    request.set_replaced(options.replaced_id);
    for (const auto it : options.further_ids)
      request.add_also(it);
  }
  const auto reply = session.client().change_members(request);
  if (!reply && action == wire::members_request::list) return report_query_error(reply.error());
  if (!reply) return report(reply.error());
  if (context.wants_json)
    print_json(reply.value());
  else
    print_members(reply.value());
  if (reply.value().accepted()) return exit_code::done;
  std::cerr << "members: refused: " << reply.value().cause() << '\n';
  return exit_code::refused;
}

class member_command {
public:
  member_command(CLI::App& parent, command_context& context, const char* name,
                 const char* description, wire::members_request::action_kind action)
      : options_(std::make_shared<member_options>()),
        command_(parent.add_subcommand(name, description)) {
    if (action != wire::members_request::list) options_->operation.add_to(*command_);
    command_->callback([&context, options = options_, action] {
      context.action = [&context, options, action] { return change(context, *options, action); };
    });
  }

  member_command& id(const char* name, const char* description,
                     std::uint64_t member_options::*field = &member_options::id) {
    command_->add_option(name, (*options_).*field, description)
        ->required()
        ->check(CLI::Range(std::uint64_t{1}, UINT64_MAX));
    return *this;
  }

  /// Adds an option for further members to change in the same step, which keeps the number of
  /// voters odd.
  member_command& further_ids(const char* description) {
    command_->add_option("ALSO", options_->further_ids, description)
        ->check(CLI::Range(std::uint64_t{1}, UINT64_MAX));
    return *this;
  }

  member_command& address_and_zone() {
    const auto check = [](const std::string& text) {
      const auto parsed = endpoint::parse(text);
      return parsed ? std::string() : parsed.error().cause;
    };
    command_->add_option("ADDRESS", options_->address, "ip:port of the control host's gRPC server")
        ->required()
        ->check(check);
    command_->add_option("--zone", options_->zone, "Availability zone of the control host")
        ->required()
        ->check(CLI::Range(1, 65535));
    return *this;
  }

private:
  std::shared_ptr<member_options> options_;
  CLI::App* command_;
};

} // namespace

void add_member_commands(CLI::App& app, command_context& context) {
  auto* members = app.add_subcommand("members", "Show and change the control hosts of the cluster");
  members->require_subcommand(1);
  const member_command list(*members, context, "list", "Show voters and learners",
                            wire::members_request::list);
  member_command(*members, context, "add", "Add a control host as a learner",
                 wire::members_request::add_learner)
      .id("ID", "Number of the control host")
      .address_and_zone();
  member_command(*members, context, "promote", "Make a learner that has caught up a voter",
                 wire::members_request::promote)
      .id("ID", "Number of the learner")
      .further_ids("Further learners to promote in the same step");
  member_command(*members, context, "replace", "Replace a voter by a learner that has caught up",
                 wire::members_request::replace)
      .id("OLD", "Number of the voter that leaves", &member_options::replaced_id)
      .id("NEW", "Number of the learner that takes its place");
  member_command(*members, context, "remove", "Remove a learner or a voter",
                 wire::members_request::remove)
      .id("ID", "Number of the control host")
      .further_ids("Further voters to remove in the same step");
}

} // namespace zinnia
