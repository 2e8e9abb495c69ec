#include "zinniarelay/core/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace zinnia {

std::string deflated(const std::string& content) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflate(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
  deflate << content;
  deflate.close();
  return out.str();
}

result<std::string> inflated(const std::string& content, std::size_t max_size) {
  constexpr const char* place = "compressed content";
  try {
    std::istringstream in(content);
    Poco::InflatingInputStream inflate(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    // Without exceptions, the stream would end at a decompression error as at its regular end.
    inflate.exceptions(std::ios::badbit);
    std::string out;
    std::array<char, 16'384> part{};
    while (inflate.read(part.data(), part.size()) || inflate.gcount() > 0) {
      out.append(part.data(), static_cast<std::size_t>(inflate.gcount()));
      if (out.size() > max_size) return failure(error_kind::corrupted, place, "is too large");
    }
    return out;
  } catch (const std::exception& ex) {
    return failure(error_kind::corrupted, place, ex.what());
  }
}

} // namespace zinnia
