#pragma once

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace zinnia::soak {

/// The results of a run, read from the logs of upstreams and callers after its end.
class run_report {
public:
  /// A function that returns whether an entry host (given by its address) may have lacked the
  /// latest updates when it sent a packet at a Unix time in ms.
  using exemption = std::function<bool(const std::string& sender, std::uint64_t at_ms)>;

  /// A function that returns whether no flow may open at an upstream (given by its number) at a
  /// Unix time in ms.
  using evacuation = std::function<bool(std::uint32_t upstream, std::uint64_t at_ms)>;

  run_report(const std::filesystem::path& logs, exemption is_exempt, evacuation is_evacuated);

  /// Returns one line for each violation of a promise.
  const std::vector<std::string>& findings() const { return findings_; }
  std::size_t runs() const { return runs_; }
  std::size_t answered() const { return answered_; }
  std::size_t unanswered() const { return unanswered_; }
  /// Returns the number of new flows that upstreams saw.
  std::size_t opens() const { return opens_; }

private:
  void read_upstreams(const std::vector<std::filesystem::path>& logs);
  void read_caller(const std::filesystem::path& log);
  void add_finding(const std::string& what, const std::string& place, const std::string& line);
  void check_open(const std::string& place, const std::string& line);
  void check_late_open(const std::string& place, const std::string& line);

  exemption is_exempt_;
  evacuation is_evacuated_;
  std::vector<std::string> findings_;
  std::size_t runs_ = 0;
  std::size_t answered_ = 0;
  std::size_t unanswered_ = 0;
  std::size_t opens_ = 0;
};

/// Returns the number after "name=" in a line of words; 0 if there is none.
std::uint64_t number_in(const std::string& line, const std::string& name);

} // namespace zinnia::soak
