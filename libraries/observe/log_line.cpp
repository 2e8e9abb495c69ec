#include "zinniarelay/observe/log_line.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <glog/logging.h>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace zinnia {
namespace {

// A value may contain text from another host; the bound prevents one line from filling
// a disk.
constexpr std::size_t max_value_bytes = 300;

log_identity& process_identity() {
  static log_identity identity;
  return identity;
}

std::string_view name_of(log_level level) {
  constexpr std::array<std::string_view, 3> names{"info", "warning", "error"};
  return names[static_cast<std::size_t>(level)];
}

bool is_plain(std::string_view value) {
  return !value.empty() && value.find_first_of(" \"=\\") == std::string_view::npos &&
         std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// Makes a pipe or socket non-blocking. A log reader that has stopped must not block the
// process, so lines that do not fit into a full pipe are lost. Files and terminals stay
// unchanged.
void make_pipe_nonblocking(int descriptor) {
  struct stat status {};
  if (::fstat(descriptor, &status) != 0 || !(S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode)))
    return;
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

/// Quotes and escapes a value, so that text from other hosts cannot form fields or lines.
std::string escaped(std::string_view value) {
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c >= ' ' && c <= '~') {
      out += c;
    } else {
      std::array<char, 8> buf{};
      std::snprintf(buf.data(), buf.size(), "\\x%02x", static_cast<unsigned char>(c));
      out += buf.data();
    }
  }
  return out + '"';
}

} // namespace

void start_log(const char* program, log_identity identity) {
  process_identity() = std::move(identity);
  // Each line contains its time and level in a machine-readable form.
  FLAGS_log_prefix = false;
  FLAGS_logtostdout = true;
  // glog flushes only standard error. Without line buffering, a killed process would lose
  // its last lines.
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  make_pipe_nonblocking(STDOUT_FILENO);
  google::InitGoogleLogging(program);
}

log_line::log_line(log_level level, std::string_view event) : level_(level) {
  const auto& identity = process_identity();
  text_ = "level=";
  text_ += name_of(level);
  with("host", identity.name.empty() ? std::to_string(identity.host) : identity.name);
  with("zone",
       identity.zone_name.empty() ? std::to_string(identity.zone.value) : identity.zone_name);
  with("event", event);
}

log_line::~log_line() {
  const auto line =
      "time=" + Poco::DateTimeFormatter::format(Poco::Timestamp(), "%Y-%m-%dT%H:%M:%sZ") + ' ' +
      text_;
  switch (level_) {
  case log_level::info:
    LOG(INFO) << line;
    break;
  case log_level::warning:
    LOG(WARNING) << line;
    break;
  case log_level::error:
    LOG(ERROR) << line;
    break;
  }
}

log_line& log_line::with(std::string_view key, std::string_view value) {
  const auto shortened = value.substr(0, max_value_bytes);
  text_ += ' ';
  text_ += key;
  text_ += '=';
  if (is_plain(shortened))
    text_ += shortened;
  else
    text_ += escaped(shortened);
  if (shortened.size() < value.size()) text_ += "...";
  return *this;
}

log_line& log_line::with(std::string_view key, double value) {
  std::ostringstream out;
  out << value;
  return with(key, out.str());
}

log_line& log_line::with(const error& value) {
  return with("place", value.place).with("cause", value.cause);
}

log_line& log_line::with(const finding& value) {
  std::ostringstream out;
  out << value;
  return with("finding", out.str());
}

std::string log_line::text() const {
  return text_;
}

} // namespace zinnia
