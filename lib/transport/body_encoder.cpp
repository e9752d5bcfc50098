#include "fescuedyke/transport/body_encoder.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace fescuedyke {

namespace {

/// No more of the body is read while the output buffer contains this many bytes or more.
constexpr std::size_t max_output_bytes = 64U << 10U;

/// Maximum size of one chunk.
constexpr std::size_t chunk_bytes = 16U << 10U;

} // namespace

body_encoder::body_encoder(std::shared_ptr<body_reader> source, bool chunked,
                           body_callback on_change)
    : source_(std::move(source)), chunked_(chunked && !source_->length()),
      pass_(source_->rewind(std::move(on_change)))
{
}

body_state body_encoder::fill(std::string& out)
{
    std::string chunk(chunk_bytes, '\0');
    while (out.size() < max_output_bytes) {
        const std::size_t count = source_->read(pass_, chunk.data(), chunk.size());
        if (count == 0) {
            break;
        }
        if (chunked_) {
            absl::StrAppend(&out, absl::Hex(count), "\r\n");
        }
        out.append(chunk, 0, count);
        if (chunked_) {
            out += "\r\n";
        }
    }
    const body_state state = source_->state(pass_);
    if (state == body_state::complete && chunked_) {
        out += "0\r\n\r\n";
    }
    return state;
}

} // namespace fescuedyke
