#pragma once

#include "zinniarelay/config/entry_settings.h"
#include "zinniarelay/core/result.h"

#include "declaration.pb.h"

#include <optional>

namespace zinnia::entryd {

/// Replaces the copy in the data folder in one step, synced. Does nothing on a
/// host without a data folder.
result<void> save_configuration_copy(const entry_settings& settings,
                                     const wire::configuration& configuration);

/// The copy of the last run; absent when there is none. A damaged copy is an error.
result<std::optional<wire::configuration>> load_configuration_copy(const entry_settings& settings);

} // namespace zinnia::entryd
