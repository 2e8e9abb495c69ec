#include "zinniarelay/replication/log_store.h"

#include "replication/frame.h"

namespace zinnia {
namespace {

constexpr const char* identity_file = "identity";
constexpr const char* snapshot_file = "snapshot";
constexpr const char* log_file = "log";

bool has_frame_after(std::string_view content, std::size_t offset) {
  std::string_view magic(reinterpret_cast<const char*>(&frame_magic), sizeof frame_magic);
  for (offset = content.find(magic, offset + 1); offset != std::string_view::npos;
       offset = content.find(magic, offset + 1))
    if (decode_frame(content, offset)) return true;
  return false;
}

// Adds the entries of a frame. An entry replaces the entries that were added earlier, from its
// index on. Fails with error_kind::corrupted for a gap in the indexes.
result<void> add_frame_entries(std::string_view payload, std::size_t offset,
                               std::vector<wire::log_entry>& entries) {
  wire::log_frame frame;
  if (!frame.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
    return corrupted(log_file, offset, "the frame cannot be parsed");
  for (auto& it : *frame.mutable_entries()) {
    const auto next = entries.empty() ? it.index() : entries.back().index() + 1;
    if (it.index() > next || (!entries.empty() && it.index() < entries.front().index()))
      return corrupted(log_file, offset,
                       "entry " + std::to_string(it.index()) + " follows entry " +
                           std::to_string(next - 1));
    entries.resize(entries.size() - (next - it.index()));
    entries.push_back(std::move(it));
  }
  return success();
}

// Removes all entries unless they continue the snapshot. A crash between the writes of the
// snapshot and the log leaves the old log, which may not contain the snapshot's last entry.
result<void> match_entries_to_snapshot(const wire::stored_snapshot& snapshot,
                                       std::vector<wire::log_entry>& entries) {
  if (entries.empty()) return success();
  const auto first = entries.front().index();
  if (first == snapshot.last_index() + 1) return success();
  if (first > snapshot.last_index())
    return corrupted(log_file, 0,
                     "starts at entry " + std::to_string(first) + ", the snapshot ends at " +
                         std::to_string(snapshot.last_index()));
  const auto position = snapshot.last_index() - first;
  if (position >= entries.size() || entries[position].term() != snapshot.last_term())
    entries.clear();
  return success();
}

} // namespace

result<stored_state> log_store::load() {
  stored_state out;
  ZINNIA_TRY(identity, read_message<wire::node_identity>(*files_, identity_file));
  out.identity = std::move(identity);
  ZINNIA_TRY(snapshot, read_message<wire::stored_snapshot>(*files_, snapshot_file));
  if (snapshot) out.snapshot = std::make_shared<const wire::stored_snapshot>(std::move(*snapshot));

  ZINNIA_TRY(log, files_->read(log_file));
  std::string_view content;
  if (log) content = *log;
  // A bootstrap writes the identity last, and the host sends no message before that. A folder that
  // has taken part in a group has entries or a snapshot of some.
  const bool has_taken_part = !content.empty() || (out.snapshot && out.snapshot->last_index() > 0);
  if (!out.identity && has_taken_part)
    return corrupted(identity_file, 0, "is missing although the folder has a log");
  std::size_t offset = 0;
  while (offset < content.size()) {
    const auto payload = decode_frame(content, offset);
    if (!payload) {
      if (has_frame_after(content, offset))
        return corrupted(log_file, offset, "damaged entries are followed by intact ones");
      out.truncated_bytes = content.size() - offset;
      ZINNIA_TRY(files_->replace(log_file, std::string(content.substr(0, offset))));
      break;
    }
    ZINNIA_TRY(add_frame_entries(*payload, offset, out.entries));
    offset += frame_header_size + payload->size();
  }
  if (out.snapshot) {
    const bool had_entries = !out.entries.empty();
    ZINNIA_TRY(match_entries_to_snapshot(*out.snapshot, out.entries));
    // The dropped entries must be removed from the file too. Otherwise the next appended
    // entry would follow them with a gap in the indexes, and the log could not be loaded.
    if (had_entries && out.entries.empty()) {
      ZINNIA_TRY(files_->replace(log_file, ""));
    }
  } else if (!out.entries.empty() && out.entries.front().index() != 1) {
    return corrupted(log_file, 0, "the log does not start at entry 1 and there is no snapshot");
  }
  return out;
}

result<void> log_store::resync() {
  for (const auto* name : {identity_file, snapshot_file, log_file}) {
    ZINNIA_TRY(content, files_->read(name));
    if (!content) continue;
    ZINNIA_TRY(files_->replace(name, *content));
  }
  return success();
}

result<void> log_store::write_identity(const wire::node_identity& identity) {
  return files_->replace(identity_file, encode_frame(identity.SerializeAsString()));
}

result<void> log_store::append(const std::vector<wire::log_entry>& entries) {
  wire::log_frame frame;
  frame.mutable_entries()->Assign(entries.begin(), entries.end());
  return files_->append(log_file, encode_frame(frame.SerializeAsString()));
}

result<void> log_store::write_snapshot(const wire::stored_snapshot& snapshot,
                                       const std::vector<wire::log_entry>& entries) {
  ZINNIA_TRY(files_->replace(snapshot_file, encode_frame(snapshot.SerializeAsString())));
  if (entries.empty()) return files_->replace(log_file, "");
  wire::log_frame frame;
  frame.mutable_entries()->Assign(entries.begin(), entries.end());
  return files_->replace(log_file, encode_frame(frame.SerializeAsString()));
}

} // namespace zinnia
