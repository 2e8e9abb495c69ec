#include "zinniarelay/token/key_file.h"

#include "config/yaml_map.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

namespace zinnia {
namespace {

constexpr mode_t key_file_mode = S_IRUSR | S_IWUSR;
constexpr std::size_t hex_size = token_key::secret_size * 2; // digits
constexpr number_range generation_range{1, 255};

class file_descriptor {
public:
  explicit file_descriptor(int fd) : fd_(fd) {}
  ~file_descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  file_descriptor(const file_descriptor&) = delete;
  file_descriptor& operator=(const file_descriptor&) = delete;

  int number() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }

private:
  int fd_;
};

auto io_failure(const std::filesystem::path& path, const std::string& problem) {
  return failure(error_kind::io, path.string(), problem + ": " + std::strerror(errno));
}

result<void> write_all(int fd, std::string_view text, const std::filesystem::path& path) {
  while (!text.empty()) {
    const auto written = ::write(fd, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return io_failure(path, "cannot be written");
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  if (::fsync(fd) != 0) return io_failure(path, "cannot be synced");
  return success();
}

result<token_key> random_key(std::uint8_t generation) {
  if (sodium_init() < 0)
    return failure(error_kind::unavailable, "key file", "libsodium initialization failed");
  token_key key;
  key.generation = generation;
  randombytes_buf(key.secret.data(), key.secret.size());
  return key;
}

void check_mode(const std::filesystem::path& path, finding_sink& sink) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return; // load_yaml reports a missing file
  if ((status.st_mode & 0777U & ~key_file_mode) != 0)
    sink.report_file("can be accessed by others than its owner", "mode 0600");
}

// Reads one key. Findings about a secret do not quote the secret.
std::optional<token_key> read_key(const YAML::Node& node, finding_sink& sink) {
  yaml_map map(node, "a key", sink);
  const auto generation = map.number("generation", presence::required, generation_range);
  const auto hex = map.text("secret", presence::required);
  map.report_unknown_keys();
  if (!generation || !hex) return std::nullopt;
  token_key key;
  key.generation = static_cast<std::uint8_t>(*generation);
  std::size_t size = 0;
  const bool is_hex = hex->size() == hex_size &&
                      sodium_hex2bin(key.secret.data(), key.secret.size(), hex->data(), hex->size(),
                                     nullptr, &size, nullptr) == 0 &&
                      size == key.secret.size();
  if (is_hex) return key;
  sink.report(map.place("secret"),
              "the secret of generation " + std::to_string(*generation) + " is malformed",
              std::to_string(hex_size) + " hexadecimal digits");
  return std::nullopt;
}

bool contains_generation(const std::vector<token_key>& keys, std::uint64_t generation) {
  return std::any_of(keys.begin(), keys.end(),
                     [&](const auto& it) { return it.generation == generation; });
}

} // namespace

key_file::key_file(std::vector<token_key> keys, std::uint8_t active)
    : keys_(std::move(keys)), active_(active) {}

checked<key_file> key_file::load(const std::filesystem::path& path) {
  finding_sink sink(path.string());
  check_mode(path, sink);
  const auto document = load_yaml(path, sink);
  if (!document) return boost::outcome_v2::failure(sink.sorted());

  yaml_map map(*document, "the keys file", sink);
  const auto active = map.number("active", presence::required, generation_range);
  const auto nodes = map.list("keys", presence::required);
  map.report_unknown_keys();
  std::vector<token_key> keys;
  for (const auto& node : nodes) {
    const auto key = read_key(node, sink);
    if (!key) continue;
    if (contains_generation(keys, key->generation))
      sink.report(node.Mark(), "generation " + std::to_string(key->generation) + " is listed twice",
                  "each generation once");
    keys.push_back(*key);
  }
  if (map.has("keys") && (nodes.empty() || nodes.size() > max_keys))
    sink.report(map.place("keys"), std::to_string(nodes.size()) + " keys", "one or two keys");
  if (active && !sink.has_errors() && !contains_generation(keys, *active))
    sink.report(map.place("active"), "no key of the active generation " + std::to_string(*active),
                "the generation of a listed key");
  if (sink.has_errors()) return boost::outcome_v2::failure(sink.sorted());
  return key_file(std::move(keys), static_cast<std::uint8_t>(*active));
}

result<key_file> key_file::generate() {
  ZINNIA_TRY(key, random_key(1));
  return key_file({key}, 1);
}

result<key_file> key_file::stage() const {
  if (keys_.size() >= max_keys)
    return failure(error_kind::conflict, "key file",
                   "two generations are live; activate the new one and retire the old one first");
  // Generation 0 is never used, because a zeroed token would otherwise name a valid key.
  const auto next_generation = static_cast<std::uint8_t>(active_ == 255 ? 1 : active_ + 1);
  ZINNIA_TRY(key, random_key(next_generation));
  auto keys = keys_;
  keys.push_back(key);
  return key_file(std::move(keys), active_);
}

result<key_file> key_file::activate(std::uint8_t generation) const {
  if (!contains_generation(keys_, generation))
    return failure(error_kind::not_found, "key file",
                   "no key of generation " + std::to_string(generation));
  return key_file(keys_, generation);
}

result<key_file> key_file::retire(std::uint8_t generation) const {
  if (!contains_generation(keys_, generation))
    return failure(error_kind::not_found, "key file",
                   "no key of generation " + std::to_string(generation));
  if (generation == active_)
    return failure(error_kind::conflict, "key file",
                   "generation " + std::to_string(generation) + " is active");
  auto keys = keys_;
  keys.erase(std::remove_if(keys.begin(), keys.end(),
                            [&](const auto& it) { return it.generation == generation; }),
             keys.end());
  return key_file(std::move(keys), active_);
}

std::vector<std::uint8_t> key_file::generations() const {
  std::vector<std::uint8_t> generations;
  generations.reserve(keys_.size());
  for (const auto& it : keys_)
    generations.push_back(it.generation);
  return generations;
}

result<void> key_file::write(const std::filesystem::path& path) const {
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "active" << YAML::Value << int{active_} << YAML::Key
      << "keys" << YAML::Value << YAML::BeginSeq;
  for (const auto& it : keys_) {
    std::string hex(hex_size + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), it.secret.data(), it.secret.size());
    hex.pop_back();
    out << YAML::BeginMap << YAML::Key << "generation" << YAML::Value << int{it.generation}
        << YAML::Key << "secret" << YAML::Value << YAML::DoubleQuoted << hex << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap << YAML::Newline;

  const auto temporary_path = path.string() + ".new";
  // Removes the file that an interrupted write may have left. O_EXCL then guarantees that
  // the file is created with the required mode.
  ::unlink(temporary_path.c_str());
  const file_descriptor file(
      ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, key_file_mode));
  if (!file.is_open()) return io_failure(temporary_path, "cannot be created");
  ZINNIA_TRY(write_all(file.number(), {out.c_str(), out.size()}, temporary_path));
  if (::rename(temporary_path.c_str(), path.c_str()) != 0)
    return io_failure(path, "cannot be replaced");
  // The rename is durable only after the directory has been synced.
  const auto parent = path.has_parent_path() ? path.parent_path() : std::filesystem::path(".");
  const file_descriptor directory(::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!directory.is_open() || ::fsync(directory.number()) != 0)
    return io_failure(parent, "cannot be synced");
  return success();
}

} // namespace zinnia
