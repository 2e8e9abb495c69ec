#pragma once

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace zinnia::soak {

/// What upstreams and callers wrote, read after the run.
class verdict {
public:
  /// `is_excused` tells whether a packet that an entry host (its address) sent at a Unix
  /// time (in ms) may rest on news that it could not have.
  using excuse = std::function<bool(const std::string& sender, std::uint64_t at_ms)>;

  verdict(const std::filesystem::path& logs, excuse is_excused);

  /// Promises that were broken.
  const std::vector<std::string>& findings() const { return findings_; }
  std::size_t runs() const { return runs_; }
  std::size_t answered() const { return answered_; }
  std::size_t unanswered() const { return unanswered_; }

private:
  void read_upstreams(const std::vector<std::filesystem::path>& logs);
  void read_caller(const std::filesystem::path& log);
  void add(const std::string& what, const std::string& place, const std::string& line);
  void check_late_open(const std::string& place, const std::string& line);

  excuse is_excused_;
  std::vector<std::string> findings_;
  std::size_t runs_ = 0;
  std::size_t answered_ = 0;
  std::size_t unanswered_ = 0;
};

/// The number behind "name=" in a line of words; 0 when there is none.
std::uint64_t number_in(const std::string& line, const std::string& name);

} // namespace zinnia::soak
