#pragma once

#include "flow.grpc.pb.h"
#include "flow_front.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace zinnia::controld {

/// Carries the news of upstreams from this control host to another one.
class spread_link {
public:
  /// `on_confirmed` is called with the shared mutex held.
  spread_link(host_state& shared, std::string address, std::function<void()> on_confirmed);
  spread_link(const spread_link&) = delete;
  spread_link& operator=(const spread_link&) = delete;
  ~spread_link();

  /// Called with the shared mutex held, after urgent news.
  void wake() { changed_.notify_all(); }
  /// The position up to which the other host knows everything. Called with the mutex held.
  std::uint64_t confirmed() const { return confirmed_; }

private:
  void run();
  void note_state(bool is_sent);
  bool send(const wire::spread_request& request, wire::spread_reply& reply);

  host_state& shared_;
  std::string address_;
  std::function<void()> on_confirmed_;
  std::unique_ptr<wire::flow_control::Stub> stub_;
  std::condition_variable changed_;
  std::uint64_t confirmed_ = 0;
  std::uint64_t peer_source_ = 0; ///< process that confirmed
  bool is_up_ = true;
  bool is_stopping_ = false;
  std::thread worker_;
};

} // namespace zinnia::controld
