#pragma once

#include "exit_code.h"
#include "grpc_transport.h"
#include "zinniarelay/operate/operator_client.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <future>
#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace zinnia {

/// The options that all commands share, and the action of the selected command.
struct command_context {
  std::vector<std::string> control;
  bool wants_json = false;
  unsigned timeout_s = 10;
  std::function<exit_code()> action;
};

/// The options of each command that changes something.
struct operation_options {
  std::string operation_id;
  std::string author;

  /// Adds --operation and --author to a command.
  void add_to(CLI::App& command);
  /// Sets the defaults. Generates an operation identifier if none is given and prints the
  /// identifier. Must run before the first call, so that the operator can repeat the operation.
  void complete();
};

/// Returns the control hosts of --control. Throws a CLI::ParseError if an address is invalid or
/// none is given.
std::vector<endpoint> control_hosts(const command_context& context);

/// A client for one action of an operator. Retries until --timeout has passed.
class operator_session {
public:
  explicit operator_session(const command_context& context);

  operator_client& client() { return client_; }

private:
  grpc_transport transport_;
  operator_client client_;
};

/// The replies of several hosts.
template <class Reply>
struct host_replies {
  std::vector<Reply> replies;
  std::vector<std::string> addresses;   ///< of the hosts that replied, in the order of replies
  std::vector<std::string> unreachable; ///< address and cause for each host without a reply
};

/// Calls all hosts concurrently and waits for all of them.
template <class Reply>
host_replies<Reply> query_all(const std::vector<endpoint>& hosts,
                              const std::function<result<Reply>(const endpoint&)>& call) {
  std::vector<std::future<result<Reply>>> pending;
  pending.reserve(hosts.size());
  for (const auto& host : hosts)
    pending.push_back(std::async(std::launch::async, call, host));
  host_replies<Reply> out;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const auto reply = pending[i].get();
    if (reply) {
      out.replies.push_back(reply.value());
      out.addresses.push_back(hosts[i].to_string());
    } else {
      out.unreachable.push_back(hosts[i].to_string() + ": " + reply.error().cause);
    }
  }
  return out;
}

/// Prints a message as JSON on standard output.
void print_json(const google::protobuf::Message& message);

/// Prints one line for each difference.
void print_differences(std::ostream& out,
                       const google::protobuf::RepeatedPtrField<wire::difference>& differences);

/// Prints the error of a call that changes nothing. Returns the exit code.
exit_code report_query_error(const error& failed);

/// Prints an error on standard error and returns its exit code.
exit_code report(const error& failed);

/// Prints the result of an apply or drain, with the differences if the base is stale. Returns the
/// exit code.
exit_code report(const command_context& context, const result<wire::apply_reply>& reply,
                 const std::string& action);

void add_declaration_commands(CLI::App& app, command_context& context);
void add_status_commands(CLI::App& app, command_context& context);
void add_drain_commands(CLI::App& app, command_context& context);
void add_member_commands(CLI::App& app, command_context& context);
void add_zone_commands(CLI::App& app, command_context& context);
void add_audit_command(CLI::App& app, command_context& context);
void add_metrics_command(CLI::App& app, command_context& context);
void add_key_commands(CLI::App& app, command_context& context);

} // namespace zinnia
