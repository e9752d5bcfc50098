#ifndef FESCUEDYKE_STORAGE_FRAME_FILE_H
#define FESCUEDYKE_STORAGE_FRAME_FILE_H

#include "fescuedyke/storage/file_system.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

/// \file
/// Encodes and decodes files of checksummed frames. Each frame is synced before the next one is
/// written, so that a crash can tear only the last frame.

namespace fescuedyke {

/// Returns \p payload preceded by a header with its length and checksum.
std::string make_frame(const std::string& payload);

/// Decoded content of a frame file.
struct frame_file_content {
    std::vector<std::string> payloads;
    /// Total size of all intact frames; the bytes after them are a torn tail to be truncated.
    std::size_t valid_bytes = 0;
};

/// Decodes all frames of \p bytes, the content of the file \p name. A last frame that is
/// incomplete or was never fully written is a torn tail; any other corruption fails with kDataLoss,
/// with the byte offset in the message.
absl::StatusOr<frame_file_content> read_frames(const std::string& name, const std::string& bytes);

} // namespace fescuedyke

#endif
