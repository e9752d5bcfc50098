#include "fescuedyke/call/body_stream.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

namespace {

/// Minimum number of read bytes that are discarded at once.
constexpr std::size_t min_discarded_bytes = 128U << 10U;

} // namespace

struct body_stream_buffer {
    std::optional<std::uint64_t> length;
    std::string bytes;
    /// Offset of the first buffered byte in the body.
    std::uint64_t start_offset = 0;
    /// Offset of the next byte to read.
    std::uint64_t read_offset = 0;
    /// Number of bytes that were read in any pass, or discarded because the reader was gone.
    std::uint64_t consumed = 0;
    std::uint64_t pass = 0;
    bool finished = false;
    bool aborted = false;
    bool reader_gone = false;
    body_callback reader_callback;
    body_callback writer_callback;

    std::uint64_t end() const { return start_offset + bytes.size(); }

    /// Discards read bytes if the buffer is full. The stream cannot be rewound afterwards.
    void discard_read_bytes()
    {
        const auto read = static_cast<std::size_t>(read_offset - start_offset);
        if (bytes.size() >= body_stream_capacity_bytes && read >= min_discarded_bytes &&
            read_offset > body_replay_bytes) {
            bytes.erase(0, read);
            start_offset = read_offset;
        }
    }
};

namespace {

void notify(const body_callback& callback)
{
    if (callback) {
        callback();
    }
}

} // namespace

body_reader::body_reader(std::shared_ptr<body_stream_buffer> buffer) : buffer_(std::move(buffer)) {}

body_reader::~body_reader()
{
    buffer_->reader_gone = true;
    buffer_->reader_callback = nullptr;
    buffer_->consumed = buffer_->end();
    buffer_->bytes = std::string();
    buffer_->start_offset = buffer_->consumed;
    notify(buffer_->writer_callback);
}

std::optional<std::uint64_t> body_reader::length() const
{
    return buffer_->length;
}

bool body_reader::can_rewind() const
{
    return buffer_->start_offset == 0 && !buffer_->aborted;
}

std::uint64_t body_reader::rewind(body_callback on_change)
{
    assert(buffer_->start_offset == 0 &&
           "a stream can be rewound only while its first byte is buffered");
    buffer_->read_offset = 0;
    buffer_->reader_callback = std::move(on_change);
    return ++buffer_->pass;
}

std::size_t body_reader::read(std::uint64_t pass, char* destination, std::size_t max_bytes)
{
    body_stream_buffer& b = *buffer_;
    if (pass != b.pass) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(b.read_offset - b.start_offset);
    const std::size_t count = std::min(max_bytes, b.bytes.size() - position);
    std::copy_n(b.bytes.data() + position, count, destination);
    b.read_offset += count;
    b.consumed = std::max(b.consumed, b.read_offset);
    b.discard_read_bytes();
    if (count > 0) {
        notify(b.writer_callback);
    }
    return count;
}

body_state body_reader::state(std::uint64_t pass) const
{
    const body_stream_buffer& b = *buffer_;
    if (pass != b.pass || b.aborted) {
        return body_state::aborted;
    }
    return b.finished && b.read_offset == b.end() ? body_state::complete : body_state::open;
}

body_writer::body_writer(std::optional<std::uint64_t> length)
    : buffer_(std::make_shared<body_stream_buffer>())
{
    buffer_->length = length;
}

body_writer::~body_writer()
{
    buffer_->writer_callback = nullptr;
    if (!buffer_->finished) {
        buffer_->aborted = true;
        notify(buffer_->reader_callback);
    }
}

std::shared_ptr<body_reader> body_writer::make_reader()
{
    return std::make_shared<body_reader>(buffer_);
}

void body_writer::write(std::string_view bytes)
{
    body_stream_buffer& b = *buffer_;
    if (b.reader_gone) {
        b.start_offset += bytes.size();
        b.consumed = b.start_offset;
        return;
    }
    if (bytes.empty()) {
        return;
    }
    b.discard_read_bytes();
    // Reserve the maximum at once; growth by doubling would exceed the capacity.
    b.bytes.reserve(
        std::max(body_stream_capacity_bytes + min_discarded_bytes, b.bytes.size() + bytes.size()));
    b.bytes.append(bytes);
    notify(b.reader_callback);
}

void body_writer::finish()
{
    buffer_->finished = true;
    notify(buffer_->reader_callback);
}

std::size_t body_writer::available_bytes() const
{
    buffer_->discard_read_bytes();
    return body_stream_capacity_bytes - std::min(body_stream_capacity_bytes, buffer_->bytes.size());
}

std::uint64_t body_writer::consumed_bytes() const
{
    return buffer_->consumed;
}

bool body_writer::reader_gone() const
{
    return buffer_->reader_gone;
}

void body_writer::set_change_callback(body_callback callback)
{
    buffer_->writer_callback = std::move(callback);
}

} // namespace fescuedyke
