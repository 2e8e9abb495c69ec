#pragma once

#include "flow.grpc.pb.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/control_host_choice.h"

#include <atomic>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::flowd {

/// Fetches declarations and news of upstreams from one control host at a time, by
/// calls that wait for urgent news (docs/design.md R34).
class news_client {
public:
  struct identity {
    std::string host;
    std::uint32_t zone = 0;
  };

  news_client(identity self, std::vector<std::string> seeds);
  news_client(const news_client&) = delete;
  news_client& operator=(const news_client&) = delete;
  ~news_client();

  /// Replaces the seeds; control hosts that were learnt stay.
  void set_seeds(std::vector<std::string> seeds);
  /// The replies since the last call, oldest first.
  std::vector<wire::news_reply> take();
  /// The version that the host holds; the next request names it.
  void set_version(std::uint64_t version) { version_ = version; }

private:
  struct known_position {
    std::uint64_t source = 0;
    std::uint64_t position = 0;
  };

  /// A question to one control host while several are asked.
  struct attempt {
    std::string address;
    std::unique_ptr<wire::flow_control::Stub> stub;
    grpc::ClientContext context;
    wire::news_reply reply;
    grpc::Status status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::news_reply>> reader;
  };

  void run();
  /// Asks the preferred host and waits for its news; false when it failed.
  bool fetch(const std::string& address);
  /// Asks all hosts, each a little after the one before it, until one with a quorum
  /// answers; false when none does.
  bool search();
  std::unique_ptr<attempt> begin_attempt(const std::string& address, grpc::CompletionQueue& queue);
  wire::news_request request_for(const std::string& address, milliseconds wait);
  /// Takes a reply; false when its sender has lost its quorum.
  bool accept(const std::string& address, wire::news_reply reply);
  void note_failure(const std::string& address);
  bool is_stopping();

  identity self_;
  std::map<std::string, known_position> positions_;
  std::string connected_;
  std::unique_ptr<wire::flow_control::Stub> stub_;

  std::mutex mutex_;
  std::condition_variable changed_;
  control_host_choice hosts_;
  std::vector<wire::news_reply> replies_;
  bool is_stopping_ = false;
  std::atomic<std::uint64_t> version_{0};
  std::thread worker_;
};

} // namespace zinnia::flowd
