#include "fescuedyke/transport/body_pump.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace fescuedyke {

namespace {

/// Bytes that are taken out of a flow before the socket is written.
constexpr std::size_t most_unsent = 64U << 10U;

constexpr std::size_t piece_bytes = 16U << 10U;

} // namespace

body_pump::body_pump(std::shared_ptr<body_reader> source, bool chunked, body_callback on_change)
    : source_(std::move(source)), chunked_(chunked && !source_->length()),
      reading_(source_->rewind(std::move(on_change)))
{
}

body_state body_pump::fill(std::string& out)
{
    std::string piece(piece_bytes, '\0');
    while (out.size() < most_unsent) {
        const std::size_t count = source_->read(reading_, piece.data(), piece.size());
        if (count == 0) {
            break;
        }
        if (chunked_) {
            absl::StrAppend(&out, absl::Hex(count), "\r\n");
        }
        out.append(piece, 0, count);
        if (chunked_) {
            out += "\r\n";
        }
    }
    const body_state state = source_->state(reading_);
    if (state == body_state::complete && chunked_) {
        out += "0\r\n\r\n";
    }
    return state;
}

} // namespace fescuedyke
