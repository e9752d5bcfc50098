#include "fescuedyke/call/body_stream.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

/// Read bytes are dropped in pieces of at least this size.
constexpr std::size_t least_dropped = 128U << 10U;

} // namespace

struct body_stream_buffer {
    std::optional<std::uint64_t> length;
    std::string bytes;
    /// Place of the first kept byte in the whole body, and of the next one to be read.
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::uint64_t furthest = 0;
    std::uint64_t reading = 0;
    bool finished = false;
    bool broken = false;
    bool unwanted = false;
    body_callback to_reader;
    body_callback to_writer;

    std::uint64_t end() const { return first + bytes.size(); }

    /// Makes room by giving up the chance to begin again, once there is no other.
    void drop_read()
    {
        const auto read = static_cast<std::size_t>(next - first);
        if (bytes.size() >= body_stream_capacity && read >= least_dropped &&
            next > body_replay_bytes) {
            bytes.erase(0, read);
            first = next;
        }
    }
};

namespace {

void signal(const body_callback& to)
{
    if (to) {
        to();
    }
}

} // namespace

body_reader::body_reader(std::shared_ptr<body_stream_buffer> buffer) : buffer_(std::move(buffer)) {}

body_reader::~body_reader()
{
    buffer_->unwanted = true;
    buffer_->to_reader = nullptr;
    buffer_->furthest = buffer_->end();
    buffer_->bytes = std::string();
    buffer_->first = buffer_->furthest;
    signal(buffer_->to_writer);
}

std::optional<std::uint64_t> body_reader::length() const
{
    return buffer_->length;
}

bool body_reader::can_rewind() const
{
    return buffer_->first == 0 && !buffer_->broken;
}

std::uint64_t body_reader::rewind(body_callback on_change)
{
    assert(buffer_->first == 0 && "a flow begins again only while its first byte is there");
    buffer_->next = 0;
    buffer_->to_reader = std::move(on_change);
    return ++buffer_->reading;
}

std::size_t body_reader::read(std::uint64_t reading, char* to, std::size_t most)
{
    body_stream_buffer& b = *buffer_;
    if (reading != b.reading) {
        return 0;
    }
    const auto at = static_cast<std::size_t>(b.next - b.first);
    const std::size_t count = std::min(most, b.bytes.size() - at);
    std::copy_n(b.bytes.data() + at, count, to);
    b.next += count;
    b.furthest = std::max(b.furthest, b.next);
    b.drop_read();
    if (count > 0) {
        signal(b.to_writer);
    }
    return count;
}

body_state body_reader::state(std::uint64_t reading) const
{
    const body_stream_buffer& b = *buffer_;
    if (reading != b.reading || b.broken) {
        return body_state::aborted;
    }
    return b.finished && b.next == b.end() ? body_state::complete : body_state::open;
}

body_writer::body_writer(std::optional<std::uint64_t> length)
    : buffer_(std::make_shared<body_stream_buffer>())
{
    buffer_->length = length;
}

body_writer::~body_writer()
{
    buffer_->to_writer = nullptr;
    if (!buffer_->finished) {
        buffer_->broken = true;
        signal(buffer_->to_reader);
    }
}

std::shared_ptr<body_reader> body_writer::make_reader()
{
    return std::make_shared<body_reader>(buffer_);
}

void body_writer::write(std::string_view bytes)
{
    body_stream_buffer& b = *buffer_;
    if (b.unwanted) {
        b.first += bytes.size();
        b.furthest = b.first;
        return;
    }
    if (bytes.empty()) {
        return;
    }
    b.drop_read();
    // Grown in one step, so that it is not doubled beyond the capacity.
    b.bytes.reserve(std::max(body_stream_capacity + least_dropped, b.bytes.size() + bytes.size()));
    b.bytes.append(bytes);
    signal(b.to_reader);
}

void body_writer::finish()
{
    buffer_->finished = true;
    signal(buffer_->to_reader);
}

std::size_t body_writer::available_bytes() const
{
    buffer_->drop_read();
    return body_stream_capacity - std::min(body_stream_capacity, buffer_->bytes.size());
}

std::uint64_t body_writer::consumed_bytes() const
{
    return buffer_->furthest;
}

bool body_writer::reader_gone() const
{
    return buffer_->unwanted;
}

void body_writer::set_change_callback(body_callback to)
{
    buffer_->to_writer = std::move(to);
}

} // namespace fescuedyke
