#ifndef FESCUEDYKE_STORAGE_FRAME_FILE_H
#define FESCUEDYKE_STORAGE_FRAME_FILE_H

#include "fescuedyke/storage/file_system.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

/// \file
/// A file of checksummed frames. Each frame is synced before the next is written, so that only the
/// last can be torn by a crash.

namespace fescuedyke {

/// Returns \p payload behind its length and checksum.
std::string make_frame(const std::string& payload);

/// What a file of frames holds.
struct frame_file_content {
    std::vector<std::string> payloads;
    /// Bytes of whole frames; what follows is a torn tail to be cut off.
    std::size_t valid_bytes = 0;
};

/// Reads all frames of \p bytes. A last frame that was cut short, or that was never filled, is a
/// torn tail; any other damage fails with kDataLoss and its place.
absl::StatusOr<frame_file_content> read_frames(const std::string& name, const std::string& bytes);

} // namespace fescuedyke

#endif
