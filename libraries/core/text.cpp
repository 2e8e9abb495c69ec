#include "zinniarelay/core/text.h"

#include <Poco/UTF8Encoding.h>

namespace zinnia {
namespace {

constexpr int first_printable = 0x20;
constexpr int delete_character = 0x7F;

} // namespace

bool is_printable_utf8(std::string_view text) {
  const Poco::UTF8Encoding encoding;
  while (!text.empty()) {
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    const auto length = encoding.sequenceLength(bytes, 1);
    if (length < 1 || static_cast<std::size_t>(length) > text.size()) return false;
    if (!Poco::UTF8Encoding::isLegal(bytes, length)) return false;
    const auto code = encoding.convert(bytes);
    if (code < first_printable || code == delete_character) return false;
    text.remove_prefix(static_cast<std::size_t>(length));
  }
  return true;
}

} // namespace zinnia
