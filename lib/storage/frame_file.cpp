#include "fescuedyke/storage/frame_file.h"

#include "fescuedyke/support/hash.h"

#include <algorithm>
#include <cstdint>

namespace fescuedyke {

namespace {

constexpr std::size_t length_bytes = 8;
constexpr std::size_t checksum_bytes = 8;
constexpr std::size_t header_checksum_offset = length_bytes + checksum_bytes;
constexpr std::size_t header_bytes = header_checksum_offset + checksum_bytes;

void append_le64(std::string& out, std::uint64_t value)
{
    for (unsigned i = 0; i < 8; ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
}

std::uint64_t read_le64(const std::string& bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (unsigned i = 0; i < 8; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i]))
                 << (8 * i);
    }
    return value;
}

bool all_zero(const std::string& bytes, std::size_t from)
{
    return std::all_of(bytes.begin() + static_cast<std::ptrdiff_t>(from), bytes.end(),
                       [](char c) { return c == '\0'; });
}

// The header has its own checksum, so that a corrupted length is not mistaken for a torn tail.
bool header_checksum_matches(const std::string& bytes, std::size_t offset)
{
    const std::string header = bytes.substr(offset, header_checksum_offset);
    return stable_hash(header) == read_le64(bytes, offset + header_checksum_offset);
}

absl::Status corruption_error(const std::string& name, std::size_t offset)
{
    return absl::DataLossError(name + ": corrupted at byte " + std::to_string(offset));
}

} // namespace

std::string make_frame(const std::string& payload)
{
    std::string frame;
    frame.reserve(header_bytes + payload.size());
    append_le64(frame, payload.size());
    append_le64(frame, stable_hash(payload));
    append_le64(frame, stable_hash(frame));
    return frame + payload;
}

absl::StatusOr<frame_file_content> read_frames(const std::string& name, const std::string& bytes)
{
    frame_file_content content;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        // After a crash the end of the file may be allocated but unwritten and then reads as zeros.
        if (bytes.size() - offset < header_bytes || all_zero(bytes, offset)) {
            break;
        }
        if (!header_checksum_matches(bytes, offset)) {
            // A write that was cut within the header leaves zeros in the rest of the file.
            if (all_zero(bytes, offset + header_bytes - 1)) {
                break;
            }
            return corruption_error(name, offset);
        }
        const std::uint64_t length = read_le64(bytes, offset);
        const std::size_t end = offset + header_bytes + length;
        if (end > bytes.size()) {
            break;
        }
        std::string payload = bytes.substr(offset + header_bytes, length);
        if (stable_hash(payload) != read_le64(bytes, offset + length_bytes)) {
            // A crash may leave the end of the last payload unwritten; it then reads as zeros.
            const bool is_last_frame = end == bytes.size();
            const bool ends_in_zero = !payload.empty() && payload.back() == '\0';
            if (!is_last_frame || !ends_in_zero) {
                return corruption_error(name, offset);
            }
            break;
        }
        content.payloads.push_back(std::move(payload));
        offset = end;
    }
    content.valid_bytes = offset;
    return content;
}

} // namespace fescuedyke
