#include "zinniarelay/replication/log_store.h"

#include "replication/frame.h"

namespace zinnia {
namespace {

constexpr const char* identity_file = "identity";
constexpr const char* snapshot_file = "snapshot";
constexpr const char* log_file = "log";

bool has_frame_after(std::string_view content, std::size_t at) {
  std::string_view mark(reinterpret_cast<const char*>(&frame_mark), sizeof frame_mark);
  for (at = content.find(mark, at + 1); at != std::string_view::npos;
       at = content.find(mark, at + 1))
    if (payload_at(content, at)) return true;
  return false;
}

result<void> take_frame(std::string_view payload, std::size_t at,
                        std::vector<wire::log_entry>& entries) {
  wire::log_frame frame;
  if (!frame.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
    return corrupted(log_file, at, "not a readable frame");
  for (auto& it : *frame.mutable_entries()) {
    const auto next = entries.empty() ? it.index() : entries.back().index() + 1;
    if (it.index() > next || (!entries.empty() && it.index() < entries.front().index()))
      return corrupted(log_file, at,
                       "entry " + std::to_string(it.index()) + " follows entry " +
                           std::to_string(next - 1));
    entries.resize(entries.size() - (next - it.index()));
    entries.push_back(std::move(it));
  }
  return success();
}

// A crash between writing a snapshot and the log leaves the log as it was. Its
// entries count only if they continue the snapshot.
result<void> fit_to_snapshot(const wire::stored_snapshot& snapshot,
                             std::vector<wire::log_entry>& entries) {
  if (entries.empty()) return success();
  const auto first = entries.front().index();
  if (first == snapshot.last_index() + 1) return success();
  if (first > snapshot.last_index())
    return corrupted(log_file, 0,
                     "starts at entry " + std::to_string(first) + ", the snapshot ends at " +
                         std::to_string(snapshot.last_index()));
  const auto at = snapshot.last_index() - first;
  if (at >= entries.size() || entries[at].term() != snapshot.last_term()) entries.clear();
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
  std::size_t at = 0;
  while (at < content.size()) {
    const auto payload = payload_at(content, at);
    if (!payload) {
      if (has_frame_after(content, at))
        return corrupted(log_file, at, "damaged entries are followed by intact ones");
      out.cut_bytes = content.size() - at;
      ZINNIA_TRY(files_->replace(log_file, std::string(content.substr(0, at))));
      break;
    }
    ZINNIA_TRY(take_frame(*payload, at, out.entries));
    at += frame_header_size + payload->size();
  }
  if (out.snapshot) {
    const bool had_entries = !out.entries.empty();
    ZINNIA_TRY(fit_to_snapshot(*out.snapshot, out.entries));
    // Left in the file, the entries would stand before the next appended one.
    if (had_entries && out.entries.empty()) {
      ZINNIA_TRY(files_->replace(log_file, ""));
    }
  } else if (!out.entries.empty() && out.entries.front().index() != 1) {
    return corrupted(log_file, 0, "entries before the first are missing, and so is the snapshot");
  }
  if (!out.identity && (out.snapshot || !out.entries.empty()))
    return corrupted(identity_file, 0, "is missing beside a log");
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
  return files_->replace(identity_file, frame_of(identity.SerializeAsString()));
}

result<void> log_store::append(const std::vector<wire::log_entry>& entries) {
  wire::log_frame frame;
  frame.mutable_entries()->Assign(entries.begin(), entries.end());
  return files_->append(log_file, frame_of(frame.SerializeAsString()));
}

result<void> log_store::write_snapshot(const wire::stored_snapshot& snapshot,
                                       const std::vector<wire::log_entry>& entries) {
  ZINNIA_TRY(files_->replace(snapshot_file, frame_of(snapshot.SerializeAsString())));
  if (entries.empty()) return files_->replace(log_file, "");
  wire::log_frame frame;
  frame.mutable_entries()->Assign(entries.begin(), entries.end());
  return files_->replace(log_file, frame_of(frame.SerializeAsString()));
}

} // namespace zinnia
