#pragma once

#include "control.grpc.pb.h"
#include "zinniarelay/core/time.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace zinnia::controld {

/// Sends messages to one member, in order and one at a time, on a separate thread.
class peer_link {
public:
  using reply_handler = std::function<void(wire::raft_message)>;

  peer_link(std::string address, reply_handler on_reply);
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  ~peer_link();

  const std::string& address() const { return address_; }
  void send(wire::raft_message message);

private:
  struct queued_message {
    wire::raft_message message;
    time_point queued_at;
  };

  void connect();
  bool exchange(const wire::raft_message& message);
  void run();

  std::string address_;
  reply_handler on_reply_;
  std::unique_ptr<wire::replication::Stub> stub_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<queued_message> queue_;
  bool is_stopping_ = false;
  std::thread worker_;
};

} // namespace zinnia::controld
