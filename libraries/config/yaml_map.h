#pragma once

#include "config/finding_sink.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace zinnia {

enum class presence { required, optional };

/// Limits of a number, both inclusive.
struct number_range {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
};

/// Limits of a duration, both inclusive.
struct duration_range {
  milliseconds low{0};
  milliseconds high{0};
};

/// Reads and parses a YAML file. Reports a finding and returns nothing unless the file
/// has exactly one document.
std::optional<YAML::Node> load_yaml(const std::filesystem::path& path, finding_sink& sink);

/// Parses text in the same way as load_yaml() parses a file.
std::optional<YAML::Node> parse_yaml(const std::string& text, finding_sink& sink);

/// Reads the keys of one YAML map. A reader that finds a fault in its key reports the
/// fault and returns an empty value, so one pass collects every finding.
class yaml_map {
public:
  struct item {
    std::string key;
    YAML::Mark place; ///< of the key
    YAML::Node value;
  };

  /// `name` names the map in findings.
  yaml_map(const YAML::Node& node, std::string name, finding_sink& sink);

  std::optional<YAML::Node> find(std::string_view key, presence need);
  std::optional<std::string> text(std::string_view key, presence need);
  std::optional<std::uint64_t> number(std::string_view key, presence need, number_range range);
  /// Reads a number with the unit ms, s or min.
  std::optional<milliseconds> duration(std::string_view key, presence need, duration_range range);
  /// Reads a number with the unit B, KiB, MiB or GiB; returns bytes.
  std::optional<std::uint64_t> size(std::string_view key, presence need, number_range range);
  /// Reads an address that other hosts can reach; 0.0.0.0 is refused.
  std::optional<endpoint> address(std::string_view key, presence need);
  std::vector<YAML::Node> list(std::string_view key, presence need);

  /// Reports the keys that no reader has requested; call it after the last reader.
  void report_unknown_keys();

  /// Returns the place of a key's value, or of the map when the key is absent.
  YAML::Mark place(std::string_view key) const;
  bool has(std::string_view key) const;

  /// Returns the keys in the order of the file, for maps whose keys are not known beforehand.
  const std::vector<item>& items() const { return items_; }

private:
  const item* find_item(std::string_view key) const;

  std::string name_;
  finding_sink& sink_;
  YAML::Mark place_;
  std::vector<item> items_;
  std::vector<std::string> requested_keys_;
  bool is_map_ = false;
};

/// Reads a scalar that contains an address; reports anything else.
std::optional<endpoint> read_address(const YAML::Node& node, std::string_view name,
                                     finding_sink& sink);

/// Returns a value in quotes, shortened, for the text of a finding.
std::string in_quotes(std::string_view value);

} // namespace zinnia
