#include "config/declaration_rules.h"
#include "zinniarelay/config/declaration.h"

#include <unordered_set>

namespace zinnia {
namespace {

namespace rules = declaration_rules;

class error_list {
public:
  void require(bool is_valid, const std::string& place, const std::string& cause) {
    if (!is_valid) errors_.push_back({error_kind::malformed, place, cause});
  }

  std::vector<error> take() { return std::move(errors_); }

private:
  std::vector<error> errors_;
};

void check_methods(const wire::service_declaration& service, const std::string& place,
                   error_list& out) {
  const auto count = static_cast<std::size_t>(service.methods_size());
  out.require(count >= 1 && count <= rules::max_methods, place + ".methods",
              std::to_string(count) + " methods");
  std::unordered_set<std::string> names;
  for (int i = 0; i < service.methods_size(); ++i) {
    const auto& method = service.methods(i);
    const auto method_place = place + ".methods[" + std::to_string(i) + "]";
    out.require(rules::is_name(method.name()), method_place + ".name", "not a method name");
    out.require(names.insert(method.name()).second, method_place + ".name", "declared twice");
    out.require(method.kind() == wire::idempotent || method.kind() == wire::non_idempotent,
                method_place + ".kind", "neither idempotent nor non-idempotent");
    out.require(rules::is_within(method.deadline_ms(), rules::deadline),
                method_place + ".deadline_ms",
                std::to_string(method.deadline_ms()) + " is out of range");
  }
}

} // namespace

std::vector<error> service_errors(const std::vector<wire::service_declaration>& services) {
  error_list out;
  std::unordered_set<std::string> names;
  std::unordered_set<endpoint> addresses;
  for (std::size_t i = 0; i < services.size(); ++i) {
    const auto& service = services[i];
    const auto place = "services[" + std::to_string(i) + "]";
    out.require(rules::is_name(service.name()), place + ".name", "not a service name");
    out.require(names.insert(service.name()).second, place + ".name", "declared twice");
    const auto address = endpoint::parse(service.address());
    out.require(address && address.value().address != 0, place + ".address",
                "not a reachable address and port");
    if (address)
      out.require(addresses.insert(address.value()).second, place + ".address",
                  "address of another service");
    check_methods(service, place, out);
    out.require(rules::is_within(service.retry_percent(), rules::retry_percent),
                place + ".retry_percent", "out of range");
    out.require(rules::is_within(service.join_requests(), rules::join_requests),
                place + ".join_requests", "out of range");
    out.require(rules::is_within(service.drain_grace_ms(), rules::drain_grace),
                place + ".drain_grace_ms", "out of range");
    out.require(rules::is_within(service.queue_per_slot(), rules::queue_per_slot),
                place + ".queue_per_slot", "out of range");
    out.require(service.credential_digest().size() == rules::digest_bytes,
                place + ".credential_digest", "not 32 bytes");
  }
  return out.take();
}

} // namespace zinnia
