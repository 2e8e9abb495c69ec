#pragma once

#include <string_view>

namespace zinnia {

/// Returns true when the text is valid UTF-8 without control characters. Text from outside has to
/// be checked before it is put into a message: receivers refuse the whole message otherwise.
bool is_printable_utf8(std::string_view text);

} // namespace zinnia
