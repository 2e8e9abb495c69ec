#include "zinniarelay/control/group_identity.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {
namespace {

// Returns the founders in the snapshot of an interrupted bootstrap; empty if there is none.
std::vector<endpoint> interrupted_founders(const stored_state& stored) {
  std::vector<endpoint> out;
  if (!stored.snapshot) return out;
  for (const auto& it : stored.snapshot->members())
    if (const auto address = endpoint::parse(it.address()); address.has_value())
      out.push_back(address.value());
  return out;
}

} // namespace

std::uint64_t founder_id(const endpoint& address) {
  const auto text = address.to_string();
  const std::uint64_t id = XXH64(text.data(), text.size(), 0);
  return id == 0 ? 1 : id;
}

result<void> assign_identity(storage& files, control_host_settings& settings,
                             const std::vector<endpoint>& seeds, bool is_first_start,
                             random_engine& engine) {
  ZINNIA_TRY(stored, log_store(files).load());
  if (stored.identity) {
    settings.self.set_id(stored.identity->control());
    return success();
  }
  ZINNIA_TRY(address, endpoint::parse(settings.self.address()));
  // A bootstrap that was interrupted continues with its founders, whatever the settings say by now:
  // without this host they could be too few for a quorum (R49).
  auto founders = interrupted_founders(stored);
  if (founders.empty() && is_first_start) founders = seeds;
  // An even number of voters tolerates no more losses than one voter fewer.
  std::sort(founders.begin(), founders.end());
  if (!founders.empty() && founders.size() % 2 == 0) founders.pop_back();
  if (std::find(founders.begin(), founders.end(), address) == founders.end()) {
    settings.self.set_id(engine() | 1U);
    return success();
  }
  for (const auto& it : founders) {
    wire::control_member founder;
    founder.set_id(founder_id(it));
    founder.set_address(it.to_string());
    settings.founders.push_back(founder);
  }
  settings.self.set_id(founder_id(address));
  return control_host::initialize(files, settings, engine);
}

} // namespace zinnia
