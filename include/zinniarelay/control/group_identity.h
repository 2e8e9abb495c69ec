#pragma once

#include "zinniarelay/control/control_host.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/replication/storage.h"

#include <cstdint>
#include <vector>

namespace zinnia {

/// The id of the founder at an address; equal on all hosts that are told the address.
std::uint64_t founder_id(const endpoint& address);

/// Completes settings.self with the id of this host in a group that forms itself. A
/// data folder in use names the host. An empty one founds the group when this is the
/// system's first start and the address is among the seeds; otherwise the host is new
/// and draws an id, so that it never votes under that of a lost folder.
result<void> assign_identity(storage& files, control_host_settings& settings,
                             const std::vector<endpoint>& seeds, bool is_first_start,
                             random_engine& engine);

} // namespace zinnia
