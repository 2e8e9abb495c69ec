#pragma once

#include "flow.grpc.pb.h"
#include "zinniarelay/core/time.h"

#include <atomic>
#include <condition_variable>
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

  void run();
  std::string choose();
  bool fetch(const std::string& address);
  void note_failure(const std::string& address);
  bool is_avoided(const std::string& address) const;

  identity self_;
  std::vector<std::string> seeds_;
  std::vector<std::string> learnt_; ///< from the last reply, the nearest first
  std::map<std::string, time_point> failed_;
  std::map<std::string, known_position> positions_;
  std::string connected_;
  std::unique_ptr<wire::flow_control::Stub> stub_;
  std::size_t turn_ = 0;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<wire::news_reply> replies_;
  bool is_stopping_ = false;
  std::atomic<std::uint64_t> version_{0};
  std::thread worker_;
};

} // namespace zinnia::flowd
