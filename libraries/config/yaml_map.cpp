#include "config/yaml_map.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>

namespace zinnia {
namespace {

struct unit {
  std::string_view name;
  std::uint64_t factor;
};

constexpr std::array<unit, 3> duration_units{{{"ms", 1}, {"s", 1000}, {"min", 60'000}}};
constexpr std::array<unit, 4> size_units{
    {{"B", 1}, {"KiB", 1ULL << 10U}, {"MiB", 1ULL << 20U}, {"GiB", 1ULL << 30U}}};

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Returns a decimal number, such as "6.5", in thousandths; no value with more than three decimals.
std::optional<std::uint64_t> parse_thousandths(std::string_view text) {
  constexpr std::size_t max_decimals = 3;
  const auto point = text.find('.');
  if (point == std::string_view::npos) return std::nullopt;
  auto decimals = std::string(text.substr(point + 1));
  if (decimals.empty() || decimals.size() > max_decimals) return std::nullopt;
  decimals.resize(max_decimals, '0');
  const auto whole = parse_number(text.substr(0, point));
  const auto fraction = parse_number(decimals);
  std::uint64_t out = 0;
  if (!whole || !fraction || __builtin_mul_overflow(*whole, 1'000, &out) ||
      __builtin_add_overflow(out, *fraction, &out))
    return std::nullopt;
  return out;
}

// Returns a duration with a decimal point, such as "6.5 s", in milliseconds. Fractions of a
// millisecond are refused.
std::optional<std::uint64_t> parse_decimal_duration(std::string_view text) {
  const auto number_size = text.find_first_not_of("0123456789.");
  if (number_size == std::string_view::npos) return std::nullopt;
  const auto thousandths = parse_thousandths(text.substr(0, number_size));
  const auto name = text.substr(std::min(text.find_first_not_of(' ', number_size), text.size()));
  const auto it = std::find_if(duration_units.begin(), duration_units.end(),
                               [&](const auto& u) { return u.name == name; });
  std::uint64_t product = 0;
  if (!thousandths || it == duration_units.end() ||
      __builtin_mul_overflow(*thousandths, it->factor, &product) || product % 1'000 != 0)
    return std::nullopt;
  return product / 1'000;
}

template <std::size_t N>
std::optional<std::uint64_t> parse_quantity(std::string_view text,
                                            const std::array<unit, N>& units) {
  const auto digit_count = text.find_first_not_of("0123456789");
  if (digit_count == std::string_view::npos) return std::nullopt;
  const auto value = parse_number(text.substr(0, digit_count));
  const auto name = text.substr(text.find_first_not_of(' ', digit_count));
  const auto it =
      std::find_if(units.begin(), units.end(), [&](const auto& u) { return u.name == name; });
  std::uint64_t product = 0;
  if (!value || it == units.end() || __builtin_mul_overflow(*value, it->factor, &product))
    return std::nullopt;
  return product;
}

/// Formats a quantity in the largest unit that divides it.
template <std::size_t N>
std::string describe(std::uint64_t value, const std::array<unit, N>& units) {
  const auto it = std::find_if(units.rbegin(), units.rend(), [&](const auto& u) {
    return value >= u.factor && value % u.factor == 0;
  });
  const auto& chosen = it == units.rend() ? units.front() : *it;
  return std::to_string(value / chosen.factor) + ' ' + std::string(chosen.name);
}

std::string join(const std::vector<std::string>& words) {
  std::string out;
  for (const auto& it : words)
    out += (out.empty() ? "" : ", ") + it;
  return out;
}

} // namespace

std::string in_quotes(std::string_view value) {
  constexpr std::size_t max_length = 60; // characters
  std::string out = "'";
  out += value.substr(0, max_length);
  out += value.size() > max_length ? "...'" : "'";
  return out;
}

std::optional<YAML::Node> parse_yaml(const std::string& text, finding_sink& sink) {
  try {
    const auto documents = YAML::LoadAll(text);
    if (documents.size() != 1 || documents.front().IsNull()) {
      sink.report_file("holds " + std::to_string(documents.size()) + " documents or an empty one",
                       "one YAML document");
      return std::nullopt;
    }
    return documents.front();
  } catch (const YAML::Exception& e) {
    sink.report(e.mark, "not YAML: " + e.msg);
    return std::nullopt;
  }
}

std::optional<YAML::Node> load_yaml(const std::filesystem::path& path, finding_sink& sink) {
  std::error_code ec;
  if (!std::filesystem::is_regular_file(path, ec)) {
    sink.report_file(ec ? "cannot be opened: " + ec.message() : "not a regular file",
                     "a readable YAML file");
    return std::nullopt;
  }
  std::ifstream in(path);
  std::string text(std::istreambuf_iterator<char>(in), {});
  if (!in.is_open()) {
    sink.report_file("cannot be read", "a readable YAML file");
    return std::nullopt;
  }
  return parse_yaml(text, sink);
}

yaml_map::yaml_map(const YAML::Node& node, std::string name, finding_sink& sink)
    : name_(std::move(name)), sink_(sink), place_(node.Mark()), is_map_(node.IsMap()) {
  if (!is_map_) {
    sink_.report(place_, name_ + " is not a map", "a map of keys and values");
    return;
  }
  for (const auto& it : node) {
    if (!it.first.IsScalar()) {
      sink_.report(it.first.Mark(), "a key of " + name_ + " is not a word");
      continue;
    }
    const auto& key = it.first.Scalar();
    if (has(key))
      sink_.report(it.first.Mark(), "key " + in_quotes(key) + " is given twice in " + name_,
                   "each key once");
    else
      items_.push_back({key, it.first.Mark(), it.second});
  }
}

const yaml_map::item* yaml_map::find_item(std::string_view key) const {
  const auto it =
      std::find_if(items_.begin(), items_.end(), [&](const auto& e) { return e.key == key; });
  return it == items_.end() ? nullptr : &*it;
}

bool yaml_map::has(std::string_view key) const {
  return find_item(key) != nullptr;
}

YAML::Mark yaml_map::place(std::string_view key) const {
  const auto* it = find_item(key);
  return it == nullptr ? place_ : it->value.Mark();
}

std::optional<YAML::Node> yaml_map::find(std::string_view key, presence need) {
  requested_keys_.emplace_back(key);
  const auto* it = find_item(key);
  if (it != nullptr && !it->value.IsNull()) return it->value;
  if (it != nullptr)
    sink_.report(it->place, "key " + in_quotes(key) + " has no value");
  else if (need == presence::required && is_map_)
    sink_.report(place_, "key " + in_quotes(key) + " is missing in " + name_);
  return std::nullopt;
}

std::optional<std::string> yaml_map::text(std::string_view key, presence need) {
  const auto node = find(key, need);
  if (!node) return std::nullopt;
  if (node->IsScalar()) return node->Scalar();
  sink_.report(node->Mark(), std::string(key) + " is not a single value", "a single value");
  return std::nullopt;
}

std::optional<std::uint64_t> yaml_map::number(std::string_view key, presence need,
                                              number_range range) {
  const auto value = text(key, need);
  if (!value) return std::nullopt;
  const auto parsed = parse_number(*value);
  if (parsed && *parsed >= range.low && *parsed <= range.high) return parsed;
  sink_.report(place(key), std::string(key) + " is " + in_quotes(*value),
               "a number from " + std::to_string(range.low) + " to " + std::to_string(range.high));
  return std::nullopt;
}

std::optional<milliseconds> yaml_map::duration(std::string_view key, presence need,
                                               duration_range range) {
  const auto value = text(key, need);
  if (!value) return std::nullopt;
  const auto low = static_cast<std::uint64_t>(range.low.count());
  const auto high = static_cast<std::uint64_t>(range.high.count());
  auto parsed = parse_quantity(*value, duration_units);
  if (!parsed) parsed = parse_decimal_duration(*value);
  if (parsed && *parsed >= low && *parsed <= high)
    return milliseconds(static_cast<milliseconds::rep>(*parsed));
  sink_.report(place(key), std::string(key) + " is " + in_quotes(*value),
               "a duration in ms, s or min from " + describe(low, duration_units) + " to " +
                   describe(high, duration_units));
  return std::nullopt;
}

std::optional<std::uint64_t> yaml_map::size(std::string_view key, presence need,
                                            number_range range) {
  const auto value = text(key, need);
  if (!value) return std::nullopt;
  const auto parsed = parse_quantity(*value, size_units);
  if (parsed && *parsed >= range.low && *parsed <= range.high) return parsed;
  sink_.report(place(key), std::string(key) + " is " + in_quotes(*value),
               "a size in B, KiB, MiB or GiB from " + describe(range.low, size_units) + " to " +
                   describe(range.high, size_units));
  return std::nullopt;
}

std::optional<endpoint> yaml_map::address(std::string_view key, presence need) {
  const auto node = find(key, need);
  return node ? read_address(*node, key, sink_) : std::nullopt;
}

std::vector<YAML::Node> yaml_map::list(std::string_view key, presence need) {
  const auto node = find(key, need);
  if (!node) return {};
  if (!node->IsSequence()) {
    sink_.report(node->Mark(), std::string(key) + " is not a list", "a list");
    return {};
  }
  return {node->begin(), node->end()};
}

void yaml_map::report_unknown_keys() {
  for (const auto& it : items_)
    if (std::find(requested_keys_.begin(), requested_keys_.end(), it.key) == requested_keys_.end())
      sink_.report(it.place, "unknown key " + in_quotes(it.key) + " in " + name_,
                   "one of " + join(requested_keys_));
}

std::optional<endpoint> read_address(const YAML::Node& node, std::string_view name,
                                     finding_sink& sink) {
  constexpr auto expected = "an IPv4 address that other hosts can reach and a port, as in "
                            "10.0.0.1:7000";
  if (!node.IsScalar()) {
    sink.report(node.Mark(), std::string(name) + " is not a single value", expected);
    return std::nullopt;
  }
  auto parsed = endpoint::parse(node.Scalar());
  if (parsed && parsed.value().address != 0) return parsed.value();
  sink.report(node.Mark(), std::string(name) + " is " + in_quotes(node.Scalar()), expected);
  return std::nullopt;
}

} // namespace zinnia
