#pragma once

#include "zinniarelay/control/control_host.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/replication/storage.h"

#include <cstdint>
#include <vector>

namespace zinnia {

/// Returns the id of the founder at an address. All hosts compute the same id.
std::uint64_t founder_id(const endpoint& address);

/// Sets the id in settings.self for a group that forms itself. A data folder in use
/// determines the id. An empty folder founds the group when this is the first start of the
/// system and the address is one of the seeds; a bootstrap that was interrupted in this folder
/// continues (docs/design.md R49). Otherwise the host is new and gets a random
/// id, because it must never vote with the id of a lost folder.
result<void> assign_identity(storage& files, control_host_settings& settings,
                             const std::vector<endpoint>& seeds, bool is_first_start,
                             random_engine& engine);

} // namespace zinnia
