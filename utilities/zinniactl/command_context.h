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

/// What all commands share: the common options and the chosen action.
struct command_context {
  std::vector<std::string> control;
  bool wants_json = false;
  unsigned timeout_s = 10;
  std::function<exit_code()> action;
};

/// Options of every command that changes something.
struct operation_options {
  std::string operation_id;
  std::string author;

  /// Adds --operation and --author to a command.
  void add_to(CLI::App& command);
  /// Draws an identifier when none was given, and prints it before the first
  /// call, so that the operator can repeat the action.
  void complete();
};

/// The control hosts of --control.
std::vector<endpoint> control_hosts(const command_context& context);

/// Runs an action of operators with the attempts that fit into --timeout.
class operator_session {
public:
  explicit operator_session(const command_context& context);

  operator_client& client() { return client_; }

private:
  grpc_transport transport_;
  operator_client client_;
};

/// The answers of all control hosts, and the addresses that gave none.
template <class Reply>
struct answers {
  std::vector<Reply> replies;
  std::vector<std::string> addresses;   ///< of the replies
  std::vector<std::string> unreachable; ///< and why
};

/// Asks every host at the same time.
template <class Reply>
answers<Reply> ask_all(const std::vector<endpoint>& hosts,
                       const std::function<result<Reply>(const endpoint&)>& call) {
  std::vector<std::future<result<Reply>>> pending;
  pending.reserve(hosts.size());
  for (const auto& host : hosts)
    pending.push_back(std::async(std::launch::async, call, host));
  answers<Reply> out;
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

/// Prints why a call that changes nothing was not answered.
exit_code report_unanswered(const error& value);

/// Prints an error on standard error and chooses its exit code.
exit_code report(const error& value);

/// Prints the end of an apply or drain; differences only on a stale base.
exit_code report(const command_context& context, const result<wire::apply_reply>& reply,
                 const std::string& what);

void add_declaration_commands(CLI::App& app, command_context& context);
void add_status_commands(CLI::App& app, command_context& context);
void add_drain_commands(CLI::App& app, command_context& context);
void add_member_commands(CLI::App& app, command_context& context);
void add_audit_command(CLI::App& app, command_context& context);
void add_metrics_command(CLI::App& app, command_context& context);
void add_key_commands(CLI::App& app, command_context& context);

} // namespace zinnia
