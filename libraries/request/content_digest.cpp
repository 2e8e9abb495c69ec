#include "zinniarelay/request/content_digest.h"

#include <sodium.h>

namespace zinnia {

std::string content_digest(std::string_view content) {
  std::string digest(content_digest_size, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()), digest.size(),
                     reinterpret_cast<const unsigned char*>(content.data()), content.size(),
                     nullptr, 0);
  return digest;
}

} // namespace zinnia
