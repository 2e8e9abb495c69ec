#include "zinniarelay/core/error.h"

namespace zinnia {

std::ostream& operator<<(std::ostream& out, const error& value) {
  return out << value.place << ": " << value.cause;
}

} // namespace zinnia
