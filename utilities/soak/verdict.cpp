#include "verdict.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace zinnia::soak {
namespace {

std::optional<std::string> word_in(const std::string& line, const std::string& name) {
  std::istringstream words(line);
  std::string word;
  while (words >> word)
    if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
  return std::nullopt;
}

} // namespace

std::uint64_t number_in(const std::string& line, const std::string& name) {
  const auto text = word_in(line, name).value_or("0");
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

verdict::verdict(const std::filesystem::path& logs, excuse is_excused)
    : is_excused_(std::move(is_excused)) {
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

void verdict::read_upstreams(const std::vector<std::filesystem::path>& logs) {
  std::set<std::string> seen;
  for (const auto& log : logs) {
    const auto place = log.filename().string();
    std::ifstream in(log);
    std::string line;
    while (std::getline(in, line)) {
      if (line.starts_with("run ")) {
        ++runs_;
        if (!seen.insert(line).second) add("ran twice", place, line);
      } else if (line.starts_with("foreign ")) {
        add("packet of another service", place, line);
      } else if (line.starts_with("late_open ")) {
        check_late_open(place, line);
      }
    }
  }
}

void verdict::add(const std::string& what, const std::string& place, const std::string& line) {
  findings_.push_back(what + " at " + place + ": " + line);
}

void verdict::check_late_open(const std::string& place, const std::string& line) {
  const auto sender = word_in(line, "sender").value_or("");
  if (!is_excused_(sender.substr(0, sender.find(':')), number_in(line, "at_ms")))
    add("new flow to a leaving upstream", place, line);
}

void verdict::read_caller(const std::filesystem::path& log) {
  const auto place = log.filename().string();
  std::ifstream in(log);
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("broken ")) add("open flow reset by the system", place, line);
    if (!line.starts_with("flows=")) continue;
    answered_ += number_in(line, "answered");
    unanswered_ += number_in(line, "flows") - number_in(line, "answered");
    if (number_in(line, "damaged") > 0) add("damaged answer", place, line);
  }
}

} // namespace zinnia::soak
