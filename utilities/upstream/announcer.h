#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"

#include "upstream.grpc.pb.h"

#include <deque>
#include <memory>
#include <vector>

namespace zinnia::utilities {

/// Announces one upstream to its dispatching host and finds another host when
/// that one does not answer (docs/design.md R16).
class announcer {
public:
  struct options {
    std::vector<endpoint> entries;
    wire::announcement announced; ///< without the load, which each call states
    std::size_t report_lag = 0;   ///< the reported load is that of so many renewals ago
  };

  explicit announcer(options chosen);

  enum class stay { serving, leaving };

  /// Sends one announcement, following redirects.
  wire::announcement_reply announce(stay intention, std::uint32_t outstanding);

  /// Time until the next announcement is due.
  milliseconds pause() const { return pause_; }

private:
  wire::announcement_reply call(const wire::announcement& message);
  void connect(const endpoint& target);
  void try_next_entry();
  std::uint32_t lagged(std::uint32_t outstanding);

  options options_;
  std::size_t next_entry_ = 0;
  endpoint target_;
  std::unique_ptr<wire::registration::Stub> stub_;
  milliseconds pause_;
  std::deque<std::uint32_t> loads_;
};

} // namespace zinnia::utilities
