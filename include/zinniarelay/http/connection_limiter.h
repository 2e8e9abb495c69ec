#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace zinnia {

/// Bounds the open connections of a server. Clients that stall hold their connections for longer
/// than those that make progress, so the oldest connection that waits for its client is closed
/// first. A connection whose request is being handled is not closed.
class connection_limiter {
public:
  explicit connection_limiter(std::size_t max_connections) : max_connections_(max_connections) {}

  /// Adds a connection and returns its number. Numbers grow in the order of acceptance.
  std::uint64_t add();
  void remove(std::uint64_t connection);
  /// Records that the request of a connection is being handled.
  void set_handling(std::uint64_t connection) { waiting_.erase(connection); }
  /// Records that the server sends the response of a connection.
  void set_responding(std::uint64_t connection) { waiting_.insert(connection); }

  /// Returns the connection to close; no value while the limit is kept, or when the request of
  /// every connection is being handled.
  std::optional<std::uint64_t> excess() const;
  /// Returns the connection that has waited for its client for longest.
  std::optional<std::uint64_t> slowest() const;

  std::size_t size() const { return open_.size(); }

private:
  std::size_t max_connections_;
  std::uint64_t last_ = 0;
  std::set<std::uint64_t> open_;
  std::set<std::uint64_t> waiting_; ///< open connections that wait for their client
};

} // namespace zinnia
