#include "run_report.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace zinnia::soak {
namespace {

// Returns the value after "name=" in a line of words.
std::optional<std::string> word_in(const std::string& line, const std::string& name) {
  std::istringstream words(line);
  std::string word;
  while (words >> word)
    if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
  return std::nullopt;
}

} // namespace

std::uint64_t number_in(const std::string& line, const std::string& name) {
  const auto value = word_in(line, name).value_or("0");
  std::uint64_t out = 0;
  std::from_chars(value.data(), value.data() + value.size(), out);
  return out;
}

run_report::run_report(const std::filesystem::path& logs, exemption is_exempt,
                       evacuation is_evacuated)
    : is_exempt_(std::move(is_exempt)), is_evacuated_(std::move(is_evacuated)) {
  std::vector<std::filesystem::path> upstreams;
  for (const auto& it : std::filesystem::directory_iterator(logs)) {
    const auto name = it.path().filename().string();
    if (name.starts_with("upstream")) upstreams.push_back(it.path());
    if (name.starts_with("caller") || name.starts_with("probe")) read_caller(it.path());
  }
  read_upstreams(upstreams);
  if (answered_ > runs_)
    findings_.push_back(std::to_string(answered_) + " answers of " + std::to_string(runs_) +
                        " runs");
}

void run_report::read_upstreams(const std::vector<std::filesystem::path>& logs) {
  std::set<std::string> runs;
  for (const auto& log : logs) {
    const auto place = log.filename().string();
    std::ifstream in(log);
    std::string line;
    while (std::getline(in, line)) {
      if (line.starts_with("run ")) {
        ++runs_;
        if (!runs.insert(line).second) add_finding("ran twice", place, line);
      } else if (line.starts_with("foreign ")) {
        add_finding("packet of another service", place, line);
      } else if (line.starts_with("open ")) {
        check_open(place, line);
      } else if (line.starts_with("late_open ")) {
        check_late_open(place, line);
      }
    }
  }
}

void run_report::add_finding(const std::string& what, const std::string& place,
                             const std::string& line) {
  findings_.push_back(what + " at " + place + ": " + line);
}

void run_report::check_open(const std::string& place, const std::string& line) {
  ++opens_;
  std::uint32_t upstream = 0;
  const auto number = std::string_view(place).substr(std::string_view("upstream").size());
  std::from_chars(number.data(), number.data() + number.size(), upstream);
  const auto sender = word_in(line, "sender").value_or("");
  const auto at_ms = number_in(line, "at_ms");
  if (is_evacuated_(upstream, at_ms) && !is_exempt_(sender.substr(0, sender.find(':')), at_ms))
    add_finding("new flow in an evacuated zone", place, line);
}

void run_report::check_late_open(const std::string& place, const std::string& line) {
  const auto sender = word_in(line, "sender").value_or("");
  if (!is_exempt_(sender.substr(0, sender.find(':')), number_in(line, "at_ms")))
    add_finding("new flow to a leaving upstream", place, line);
}

void run_report::read_caller(const std::filesystem::path& log) {
  const auto place = log.filename().string();
  std::ifstream in(log);
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("broken ")) add_finding("open flow reset by the system", place, line);
    if (!line.starts_with("flows=")) continue;
    answered_ += number_in(line, "answered");
    unanswered_ += number_in(line, "flows") - number_in(line, "answered");
    if (number_in(line, "damaged") > 0) add_finding("damaged answer", place, line);
  }
}

} // namespace zinnia::soak
