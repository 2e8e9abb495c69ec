#include "zinniarelay/observe/metrics_text.h"

#include <sstream>

namespace zinnia {
namespace {

// Converts "a=x,b=y" to {a="x",b="y"}.
std::string quoted_labels(const std::string& labels) {
  if (labels.empty()) return {};
  std::string out = "{";
  std::istringstream in(labels);
  for (std::string label; std::getline(in, label, ',');) {
    const auto equals = label.find('=');
    if (equals == std::string::npos) continue;
    if (out.size() > 1) out += ',';
    out += label.substr(0, equals) + "=\"" + label.substr(equals + 1) + '"';
  }
  return out + '}';
}

} // namespace

std::string metrics_text(const wire::metrics_reply& metrics) {
  std::ostringstream out;
  for (const auto& it : metrics.metrics())
    out << "zinnia_" << it.name() << quoted_labels(it.labels()) << ' ' << it.value() << '\n';
  return out.str();
}

} // namespace zinnia
