#include "configuration_copy.h"

#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/FileStream.h>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <xxhash.h>

namespace zinnia::entryd {
namespace {

constexpr std::size_t checksum_bytes = sizeof(XXH64_hash_t);

std::filesystem::path copy_path(const entry_settings& settings) {
  return *settings.data_folder() / "configuration";
}

std::string checksum_of(const std::string& body) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH64(body.data(), body.size(), 0));
  return {reinterpret_cast<const char*>(canonical.digest), sizeof canonical.digest};
}

// Written files and renames survive a power loss only after a sync.
result<void> sync(const std::filesystem::path& path, int flags) {
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC);
  if (fd < 0) return failure(error_kind::io, path.string(), "cannot be opened for syncing");
  const bool is_synced = ::fsync(fd) == 0;
  ::close(fd);
  if (!is_synced) return failure(error_kind::io, path.string(), "cannot be synced");
  return success();
}

} // namespace

result<void> save_configuration_copy(const entry_settings& settings,
                                     const wire::configuration& configuration) {
  if (!settings.data_folder()) return success();
  const auto path = copy_path(settings);
  const auto temporary_path = path.string() + ".new";
  try {
    const auto body = configuration.SerializeAsString();
    std::filesystem::create_directories(*settings.data_folder());
    {
      Poco::FileOutputStream out(temporary_path, std::ios::binary | std::ios::trunc);
      out << checksum_of(body) << body;
      out.close();
    }
    ZINNIA_TRY(sync(temporary_path, O_RDWR));
    std::filesystem::rename(temporary_path, path);
    return sync(*settings.data_folder(), O_RDONLY | O_DIRECTORY);
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::io, path.string(), ex.displayText());
  } catch (const std::exception& ex) {
    return failure(error_kind::io, path.string(), ex.what());
  }
}

result<std::optional<wire::configuration>> load_configuration_copy(const entry_settings& settings) {
  if (!settings.data_folder()) return std::optional<wire::configuration>();
  const auto path = copy_path(settings);
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::optional<wire::configuration>();
  std::ostringstream content;
  content << in.rdbuf();
  const auto bytes = content.str();
  wire::configuration configuration;
  if (bytes.size() < checksum_bytes ||
      bytes.substr(0, checksum_bytes) != checksum_of(bytes.substr(checksum_bytes)) ||
      !configuration.ParseFromString(bytes.substr(checksum_bytes)))
    return failure(error_kind::corrupted, path.string(),
                   "the copy of the configuration fails its checksum; remove it to start without");
  return std::optional<wire::configuration>(std::move(configuration));
}

} // namespace zinnia::entryd
