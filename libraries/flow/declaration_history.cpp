#include "zinniarelay/flow/declaration_history.h"

#include "zinniarelay/flow/warmup_limit.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace zinnia {
namespace {

// An entry host that is behind by more versions gets the complete declaration.
constexpr std::size_t max_declarations = 6;

std::uint64_t key_of(const wire::flow_route& route) {
  return (std::uint64_t{route.address()} << 32U) | route.port();
}

} // namespace

std::uint64_t digest_of(const wire::flow_route& route) {
  const auto content = route.SerializeAsString();
  return XXH64(content.data(), content.size(), 0);
}

std::uint64_t digest_of_idle_timeout(std::uint32_t idle_timeout_ms) {
  return XXH64(&idle_timeout_ms, sizeof idle_timeout_ms, 1);
}

std::uint64_t digest_of(const wire::flow_declaration& declaration) {
  auto out = digest_of_idle_timeout(declaration.idle_timeout_ms());
  for (const auto& it : declaration.routes())
    out += digest_of(it);
  return out + digest_of(warmup_limits_of(declaration.services()));
}

wire::flow_declaration_change change_between(const wire::flow_declaration& base,
                                             const wire::flow_declaration& next) {
  wire::flow_declaration_change out;
  out.set_base_version(base.version());
  out.set_version(next.version());
  out.set_idle_timeout_ms(next.idle_timeout_ms());
  out.set_digest(digest_of(next));
  for (const auto& it : next.services())
    if (it.warmup_rate() > 0) *out.add_services() = it;
  std::unordered_map<std::uint64_t, std::string> former;
  for (const auto& it : base.routes())
    former[key_of(it)] = it.SerializeAsString();
  for (const auto& it : next.routes()) {
    const auto same = former.find(key_of(it));
    if (same == former.end() || same->second != it.SerializeAsString()) *out.add_routes() = it;
    if (same != former.end()) former.erase(same);
  }
  for (const auto& it : base.routes()) {
    if (former.count(key_of(it)) == 0) continue;
    auto& removed = *out.add_removed();
    removed.set_address(it.address());
    removed.set_port(it.port());
  }
  return out;
}

void declaration_history::record(const wire::flow_declaration& declaration) {
  declarations_.push_back(declaration);
  if (declarations_.size() > max_declarations) declarations_.pop_front();
  changes_.clear();
}

const wire::flow_declaration_change* declaration_history::change_since(std::uint64_t version) {
  if (const auto it = changes_.find(version); it != changes_.end()) return &it->second;
  const auto base = std::find_if(declarations_.begin(), declarations_.end(),
                                 [&](const auto& it) { return it.version() == version; });
  if (base == declarations_.end()) return nullptr;
  return &changes_.emplace(version, change_between(*base, declarations_.back())).first->second;
}

} // namespace zinnia
