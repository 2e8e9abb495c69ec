#include "zinniarelay/config/declaration.h"

#include "config/declaration_rules.h"
#include "config/setting_checks.h"

#include <fstream>
#include <iterator>
#include <sodium.h>
#include <unordered_map>

namespace zinnia {
namespace {

namespace rules = declaration_rules;

/// Reads the services of a file and reports names, addresses and credentials that repeat.
class declaration_reader {
public:
  declaration_reader(std::filesystem::path folder, finding_sink& sink)
      : folder_(std::move(folder)), sink_(sink), addresses_(sink) {}

  wire::service_declaration read_service(const YAML::Node& node);

private:
  void read_name(yaml_map& map, wire::service_declaration& out);
  void read_methods(yaml_map& map, wire::service_declaration& out);
  wire::method_declaration read_method(const YAML::Node& node, std::vector<std::string>& names);
  void read_retry(yaml_map& map, wire::service_declaration& out);
  void read_join(yaml_map& map, wire::service_declaration& out);
  void read_drain(yaml_map& map, wire::service_declaration& out);
  void read_announce(yaml_map& map, wire::service_declaration& out);
  std::string read_digest(yaml_map& map);
  std::string read_credential(yaml_map& map);

  std::filesystem::path folder_;
  finding_sink& sink_;
  address_registry addresses_;
  std::unordered_map<std::string, int> names_;               // name to its line
  std::unordered_map<std::string, std::string> credentials_; // digest to its service
};

wire::service_declaration declaration_reader::read_service(const YAML::Node& node) {
  wire::service_declaration out;
  yaml_map map(node, "a service", sink_);
  read_name(map, out);
  const auto address = map.address("address", presence::required);
  addresses_.add(address, "address of " + out.name(), map.place("address"));
  out.set_address(address ? address->to_string() : "");
  read_methods(map, out);
  read_retry(map, out);
  read_join(map, out);
  read_drain(map, out);
  read_announce(map, out);
  const auto queue = map.number("queue_per_slot", presence::optional, rules::queue_per_slot);
  out.set_queue_per_slot(static_cast<std::uint32_t>(queue.value_or(rules::default_queue_per_slot)));
  map.report_unknown_keys();
  return out;
}

void declaration_reader::read_name(yaml_map& map, wire::service_declaration& out) {
  const auto name = map.text("name", presence::required);
  if (!name) return;
  out.set_name(*name);
  if (!rules::is_name(*name)) {
    sink_.report(map.place("name"), "service name is " + in_quotes(*name),
                 std::string(rules::name_rule));
    return;
  }
  const auto place = map.place("name");
  const auto [it, is_new] = names_.emplace(*name, place.line + 1);
  if (!is_new)
    sink_.report(place,
                 "service " + *name + " is already declared on line " + std::to_string(it->second),
                 "each service once");
}

void declaration_reader::read_methods(yaml_map& map, wire::service_declaration& out) {
  const auto nodes = map.list("methods", presence::required);
  if (map.has("methods") && (nodes.empty() || nodes.size() > rules::max_methods))
    sink_.report(map.place("methods"), std::to_string(nodes.size()) + " methods",
                 "1 to " + std::to_string(rules::max_methods) + " methods");
  std::vector<std::string> names;
  for (const auto& node : nodes)
    *out.add_methods() = read_method(node, names);
}

wire::method_declaration declaration_reader::read_method(const YAML::Node& node,
                                                         std::vector<std::string>& names) {
  wire::method_declaration out;
  yaml_map map(node, "a method", sink_);
  if (const auto name = map.text("name", presence::required)) {
    if (!rules::is_name(*name))
      sink_.report(map.place("name"), "method name is " + in_quotes(*name),
                   std::string(rules::name_rule));
    if (std::find(names.begin(), names.end(), *name) != names.end())
      sink_.report(map.place("name"), "method " + in_quotes(*name) + " is declared twice",
                   "each method of a service once");
    names.push_back(*name);
    out.set_name(*name);
  }
  // There is no default: a method that is wrongly treated as idempotent could be
  // executed twice (docs/design.md R5).
  const auto kind = map.text("kind", presence::required);
  if (kind == "idempotent")
    out.set_kind(wire::idempotent);
  else if (kind == "non-idempotent")
    out.set_kind(wire::non_idempotent);
  else if (kind)
    sink_.report(map.place("kind"), "kind is " + in_quotes(*kind), "idempotent or non-idempotent");
  const auto deadline = map.duration("deadline", presence::required, rules::deadline);
  out.set_deadline_ms(static_cast<std::uint32_t>(deadline.value_or(milliseconds(0)).count()));
  map.report_unknown_keys();
  return out;
}

void declaration_reader::read_retry(yaml_map& map, wire::service_declaration& out) {
  const auto percent = map.number("retry_percent", presence::optional, rules::retry_percent);
  if (percent.value_or(0) > rules::retry_percent_warning_threshold)
    sink_.report(map.place("retry_percent"),
                 "retry_percent is " + std::to_string(*percent) +
                     ", which lets retries overload the remaining zones while one is down",
                 "at most 10", severity::warning);
  out.set_retry_percent(static_cast<std::uint32_t>(percent.value_or(rules::default_retry_percent)));
}

void declaration_reader::read_join(yaml_map& map, wire::service_declaration& out) {
  out.set_join_requests(rules::default_join_requests);
  const auto node = map.find("join", presence::optional);
  if (!node) return;
  yaml_map join(*node, "join", sink_);
  const auto requests =
      join.number("slow_start_requests", presence::required, rules::join_requests);
  out.set_join_requests(static_cast<std::uint32_t>(requests.value_or(0)));
  join.report_unknown_keys();
}

void declaration_reader::read_drain(yaml_map& map, wire::service_declaration& out) {
  auto grace = rules::default_drain_grace;
  if (const auto node = map.find("drain", presence::optional)) {
    yaml_map drain(*node, "drain", sink_);
    grace = drain.duration("grace", presence::required, rules::drain_grace).value_or(grace);
    drain.report_unknown_keys();
  }
  out.set_drain_grace_ms(static_cast<std::uint32_t>(grace.count()));
}

void declaration_reader::read_announce(yaml_map& map, wire::service_declaration& out) {
  const auto node = map.find("announce", presence::required);
  if (!node) return;
  yaml_map announce(*node, "announce", sink_);
  const auto digest = read_digest(announce);
  const auto credential = read_credential(announce);
  announce.report_unknown_keys();
  if (!node->IsMap()) return;
  if (announce.has("credential_file") == announce.has("credential_digest")) {
    sink_.report(node->Mark(), "announce does not name one credential",
                 "either credential_file or credential_digest");
    return;
  }
  const auto& chosen = digest.empty() ? credential : digest;
  if (chosen.empty()) return;
  const auto [it, is_new] = credentials_.emplace(chosen, out.name());
  if (!is_new)
    sink_.report(node->Mark(),
                 "the credential is also that of service " + it->second +
                     ", whose upstreams could announce themselves for this one",
                 "a credential for each service", severity::warning);
  out.set_credential_digest(chosen);
}

std::string declaration_reader::read_digest(yaml_map& map) {
  const auto hex = map.text("credential_digest", presence::optional);
  if (!hex) return {};
  std::string digest(rules::digest_bytes, '\0');
  std::size_t size = 0;
  const bool is_digest =
      hex->size() == 2 * digest.size() &&
      sodium_hex2bin(reinterpret_cast<unsigned char*>(digest.data()), digest.size(), hex->data(),
                     hex->size(), nullptr, &size, nullptr) == 0 &&
      size == digest.size();
  if (is_digest) return digest;
  sink_.report(map.place("credential_digest"), "credential_digest is " + in_quotes(*hex),
               "64 hexadecimal digits");
  return {};
}

std::string declaration_reader::read_credential(yaml_map& map) {
  const auto path =
      read_path(map, "credential_file", presence::optional, path_kind::file, folder_, sink_);
  if (!path) return {};
  std::ifstream in(*path, std::ios::binary);
  std::string credential(std::istreambuf_iterator<char>(in), {});
  // Editors end a file with a line break that is not part of the credential.
  while (!credential.empty() && (credential.back() == '\n' || credential.back() == '\r'))
    credential.pop_back();
  if (credential.size() >= rules::min_credential_bytes &&
      credential.size() <= rules::max_credential_bytes)
    return credential_digest(credential);
  sink_.report(map.place("credential_file"),
               "credential_file holds " + std::to_string(credential.size()) + " bytes",
               std::to_string(rules::min_credential_bytes) + " to " +
                   std::to_string(rules::max_credential_bytes) + " bytes");
  return {};
}

} // namespace

checked<declaration> declaration::load(const std::filesystem::path& path) {
  finding_sink sink(path.string());
  const auto document = load_yaml(path, sink);
  if (!document) return boost::outcome_v2::failure(sink.sorted());

  declaration out;
  yaml_map map(*document, "the declaration", sink);
  declaration_reader reader(path.parent_path(), sink);
  const auto nodes = map.list("services", presence::required);
  out.services_.reserve(nodes.size());
  for (const auto& node : nodes)
    out.services_.push_back(reader.read_service(node));
  if (map.has("services") && nodes.empty())
    sink.report(map.place("services"), "no service is declared; applying this removes all services",
                "at least one service", severity::warning);
  map.report_unknown_keys();

  if (sink.has_errors()) return boost::outcome_v2::failure(sink.sorted());
  out.warnings_ = sink.sorted();
  return out;
}

std::string credential_digest(std::string_view credential) {
  std::string digest(rules::digest_bytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()), digest.size(),
                     reinterpret_cast<const unsigned char*>(credential.data()), credential.size(),
                     nullptr, 0);
  return digest;
}

} // namespace zinnia
