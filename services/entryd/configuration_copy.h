#pragma once

#include "zinniarelay/config/entry_settings.h"
#include "zinniarelay/core/result.h"

#include "declaration.pb.h"

#include <optional>

namespace zinnia::entryd {

/// Replaces the copy in the data folder atomically and syncs it. Does nothing on a host without a
/// data folder.
result<void> save_configuration_copy(const entry_settings& settings,
                                     const wire::configuration& configuration);

/// Returns the copy that an earlier run saved, or no value when there is none. Fails with
/// error_kind::corrupted when the copy is damaged.
result<std::optional<wire::configuration>> load_configuration_copy(const entry_settings& settings);

} // namespace zinnia::entryd
