#include "fescuedyke/storage/frame_file.h"

#include "fescuedyke/support/hash.h"

#include <algorithm>
#include <cstdint>

namespace fescuedyke {

namespace {

constexpr std::size_t length_bytes = 8;
constexpr std::size_t checksum_bytes = 8;
constexpr std::size_t head_checksum_at = length_bytes + checksum_bytes;
constexpr std::size_t head_bytes = head_checksum_at + checksum_bytes;

void put_number(std::string& out, std::uint64_t value)
{
    for (unsigned i = 0; i < 8; ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
}

std::uint64_t get_number(const std::string& bytes, std::size_t at)
{
    std::uint64_t value = 0;
    for (unsigned i = 0; i < 8; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    }
    return value;
}

bool all_zero(const std::string& bytes, std::size_t from)
{
    return std::all_of(bytes.begin() + static_cast<std::ptrdiff_t>(from), bytes.end(),
                       [](char c) { return c == '\0'; });
}

// The head has its own checksum: a damaged length must not pass for a torn tail.
bool head_is_whole(const std::string& bytes, std::size_t at)
{
    const std::string head = bytes.substr(at, head_checksum_at);
    return stable_hash(head) == get_number(bytes, at + head_checksum_at);
}

absl::Status damaged(const std::string& name, std::size_t at)
{
    return absl::DataLossError(name + ": damaged at byte " + std::to_string(at));
}

} // namespace

std::string make_frame(const std::string& payload)
{
    std::string frame;
    frame.reserve(head_bytes + payload.size());
    put_number(frame, payload.size());
    put_number(frame, stable_hash(payload));
    put_number(frame, stable_hash(frame));
    return frame + payload;
}

absl::StatusOr<frame_file_content> read_frames(const std::string& name, const std::string& bytes)
{
    frame_file_content content;
    std::size_t at = 0;
    while (at < bytes.size()) {
        // A crash may leave the end of the file unwritten, which then reads as zeros.
        if (bytes.size() - at < head_bytes || all_zero(bytes, at)) {
            break;
        }
        if (!head_is_whole(bytes, at)) {
            return damaged(name, at);
        }
        const std::uint64_t length = get_number(bytes, at);
        const std::size_t end = at + head_bytes + length;
        if (end > bytes.size()) {
            break;
        }
        std::string payload = bytes.substr(at + head_bytes, length);
        if (stable_hash(payload) != get_number(bytes, at + length_bytes)) {
            const bool is_last = end == bytes.size();
            const bool unfilled = !payload.empty() && payload.back() == '\0';
            if (!is_last || !unfilled) {
                return damaged(name, at);
            }
            break;
        }
        content.payloads.push_back(std::move(payload));
        at = end;
    }
    content.whole_bytes = at;
    return content;
}

} // namespace fescuedyke
