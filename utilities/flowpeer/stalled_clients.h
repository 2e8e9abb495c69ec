#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"

#include <string>

namespace zinnia::flowpeer {

struct stalled_clients_options {
  endpoint server;
  std::string path;             ///< requested by the probes
  int connections = 1'000;      ///< that send half of a request
  int probes = 20;              ///< complete requests, one after the other
  milliseconds timeout{20'000}; ///< of a probe
};

/// Durations of the probes of a server that holds stalled connections.
struct stalled_clients_summary {
  int answered = 0;
  milliseconds slowest{0};

  friend bool operator==(const stalled_clients_summary&, const stalled_clients_summary&) = default;
};

/// Opens connections that send half of a request, then sends probes to the same server. Fails with
/// error_kind::io when a connection cannot be opened.
result<stalled_clients_summary>
probe_beside_stalled_clients(const stalled_clients_options& options);

} // namespace zinnia::flowpeer
