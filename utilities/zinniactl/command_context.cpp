#include "command_context.h"

#include <algorithm>
#include <array>
#include <google/protobuf/util/json_util.h>
#include <iostream>
#include <pwd.h>
#include <sodium.h>
#include <thread>
#include <unistd.h>

namespace zinnia {
namespace {

constexpr milliseconds call_deadline{2'000};
constexpr milliseconds retry_delay{300};

std::string random_operation_id() {
  constexpr std::size_t id_bytes = 16;
  std::array<unsigned char, id_bytes> raw{};
  randombytes_buf(raw.data(), raw.size());
  std::string hex(2 * raw.size() + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), raw.data(), raw.size());
  hex.pop_back();
  return hex;
}

std::string value_or_dash(const std::string& text) {
  return text.empty() ? "-" : text;
}

std::string user_name() {
  std::array<char, 1024> buffer{};
  passwd entry{};
  passwd* found = nullptr;
  if (getpwuid_r(geteuid(), &entry, buffer.data(), buffer.size(), &found) != 0 || found == nullptr)
    return "user " + std::to_string(geteuid());
  return entry.pw_name;
}

} // namespace

void operation_options::add_to(CLI::App& command) {
  command.add_option("--operation", operation_id,
                     "Identifier of this operation; repeating one gives its first result "
                     "(default: generated at random and printed)");
  command
      .add_option("--author", author,
                  "Who is named in the audit trail (default: the user who runs this)")
      ->envname("ZINNIA_AUTHOR");
}

void operation_options::complete() {
  if (operation_id.empty()) operation_id = random_operation_id();
  if (author.empty()) author = user_name();
  std::cerr << "operation " << operation_id << '\n';
}

std::vector<endpoint> control_hosts(const command_context& context) {
  std::vector<endpoint> out;
  for (const auto& text : context.control) {
    const auto parsed = endpoint::parse(text);
    if (!parsed) throw CLI::ValidationError("--control", text + ": " + parsed.error().cause);
    out.push_back(parsed.value());
  }
  if (out.empty())
    throw CLI::RequiredError("--control (or ZINNIA_CONTROL), the address of a control host,");
  return out;
}

operator_session::operator_session(const command_context& context)
    : transport_(call_deadline),
      client_(transport_, control_hosts(context),
              {std::chrono::seconds(context.timeout_s), retry_delay},
              {monotonic_now, [](milliseconds delay) { std::this_thread::sleep_for(delay); }}) {}

void print_json(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
  if (!status.ok()) std::cerr << "cannot print JSON: " << status.ToString() << '\n';
  std::cout << text;
}

exit_code report_query_error(const error& failed) {
  std::cerr << failed << "\nNothing was changed.\n";
  return failed.kind == error_kind::unavailable ? exit_code::unreachable : exit_code::refused;
}

exit_code report(const error& failed) {
  std::cerr << failed << '\n';
  switch (failed.kind) {
  case error_kind::unavailable:
    std::cerr << "The operation may have been executed. Repeating it unchanged, with the same "
                 "--operation, is safe.\n";
    return exit_code::unconfirmed;
  case error_kind::io:
    return exit_code::io;
  default:
    return exit_code::refused;
  }
}

void print_differences(std::ostream& out,
                       const google::protobuf::RepeatedPtrField<wire::difference>& differences) {
  for (const auto& it : differences) {
    constexpr std::array<const char*, 3> signs{"+", "-", "~"};
    const auto kind = static_cast<std::size_t>(it.change());
    out << (kind < signs.size() ? signs[kind] : "?") << ' ' << it.service();
    if (!it.field().empty())
      out << ' ' << it.field() << ": " << value_or_dash(it.before()) << " -> "
          << value_or_dash(it.after());
    out << '\n';
  }
}

exit_code report(const command_context& context, const result<wire::apply_reply>& reply,
                 const std::string& action) {
  if (!reply) return report(reply.error());
  const auto& applied = reply.value();
  if (context.wants_json) print_json(applied);
  if (applied.result() == wire::apply_reply::accepted) {
    if (!context.wants_json)
      std::cout << action << ": accepted, revision " << applied.revision() << '\n';
    return exit_code::done;
  }
  std::cerr << action << ": refused: " << applied.cause() << " (revision in force "
            << applied.revision() << ")\n";
  if (applied.result() != wire::apply_reply::stale_base) return exit_code::refused;
  if (!context.wants_json) print_differences(std::cerr, applied.differences());
  return exit_code::stale_base;
}

} // namespace zinnia
