#pragma once

#include "caller.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinnia {

/// Result of adding a part to an answer that is being assembled.
enum class part_result {
  progress,  ///< new bytes were stored; the answer is not complete yet
  duplicate, ///< all its bytes had been received before
  complete,  ///< the answer is complete and matches its digest
  refused,   ///< inconsistent, too long, or the assembled answer fails its digest
};

/// Assembles the parts of the answer to one request. Only parts with the same
/// digest and total length are combined, and only a complete answer that matches
/// its digest is returned (docs/design.md R14). All parts passed to `add` must
/// belong to the same flow and request number.
class answer_assembler {
public:
  /// Refuses answers longer than `max_size` bytes.
  explicit answer_assembler(std::size_t max_size) : max_size_(max_size) {}

  /// Adds a part and returns its effect on the answer.
  part_result add(const wire::answer_part& part);

  /// Returns the digest of the answer with the longest gapless prefix; empty when no
  /// answer is being assembled.
  std::string digest() const;

  /// Returns the offset of the first missing byte of that answer.
  std::uint32_t resume_offset() const;

  /// Return the complete answer and its content information; valid once `add` has
  /// returned part_result::complete.
  const std::string& answer() const { return answer_; }
  const wire::content_info& content() const { return content_; }

private:
  // The executing host and a host that took over an idempotent request may send
  // different answers. Each answer is assembled separately.
  struct candidate {
    std::string digest;
    std::string bytes;
    std::map<std::size_t, std::size_t> received; // begin -> end; ranges neither overlap nor touch
    wire::content_info content;
    std::uint64_t last_part_sequence = 0;

    std::size_t first_missing_byte() const;
    bool is_complete() const;
    bool insert(std::size_t begin, std::size_t end);
  };

  candidate* candidate_for(const wire::answer_part& part);
  const candidate* longest_prefix_candidate() const;

  std::size_t max_size_;
  std::uint64_t part_sequence_ = 0;
  std::vector<candidate> candidates_;
  std::string answer_;
  wire::content_info content_;
};

} // namespace zinnia
