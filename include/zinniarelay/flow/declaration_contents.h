#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/encoded_contents.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/declaration_history.h"

#include <cstddef>

namespace zinnia {

/// The declarations in replies to entry hosts, in parts: as a change from the version that the host
/// has where the history contains it, else complete.
class declaration_contents {
public:
  /// Returns the next part for a host that does not have the newest declaration.
  wire::content_part next_part(time_point now, const wire::news_request& request,
                               const wire::flow_declaration& newest, declaration_history& history,
                               std::size_t max_bytes);

private:
  encoded_contents contents_;
};

} // namespace zinnia
