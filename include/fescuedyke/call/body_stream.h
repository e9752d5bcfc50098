#ifndef FESCUEDYKE_CALL_BODY_STREAM_H
#define FESCUEDYKE_CALL_BODY_STREAM_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// A body that is passed on while it comes in. One side writes, the other reads, both on one
/// thread; what is between them is bounded by the writer's keeping to the room that is told.

namespace fescuedyke {

/// Bodies up to this size are held whole, so that they can be sent again at any time.
constexpr std::uint64_t max_buffered_body = 512U << 10U;

/// Bytes that a flow keeps.
constexpr std::size_t body_stream_capacity = 768U << 10U;

/// Until more than this was read, a flow can be read again from its first byte.
constexpr std::size_t body_replay_bytes = 512U << 10U;

enum class body_state : std::uint8_t {
    /// More is to come.
    open,
    /// Every byte has been read.
    complete,
    /// The rest will not come.
    aborted
};

/// Called within a call of the other side; must not call back into the flow.
using body_callback = std::function<void()>;

struct body_stream_buffer;

/// The reading side. When the last owner lets go of it, the writer learns that nobody reads on.
class body_reader {
public:
    explicit body_reader(std::shared_ptr<body_stream_buffer> buffer);
    ~body_reader();
    body_reader(const body_reader&) = delete;
    body_reader& operator=(const body_reader&) = delete;

    /// The length of the whole body, if it was told before it came.
    std::optional<std::uint64_t> length() const;

    /// Whether the first byte can still be read.
    bool can_rewind() const;

    /// Begins to read at the first byte, which must still be there. What began before reads no
    /// more. \p on_change is called when there is more to read, or when no more will come.
    std::uint64_t rewind(body_callback on_change);

    /// Reads up to \p most bytes; \p reading is what restart() returned.
    std::size_t read(std::uint64_t reading, char* to, std::size_t most);
    body_state state(std::uint64_t reading) const;

private:
    std::shared_ptr<body_stream_buffer> buffer_;
};

/// The writing side. A body that is not finished when its writer goes is broken.
class body_writer {
public:
    explicit body_writer(std::optional<std::uint64_t> length);
    ~body_writer();
    body_writer(const body_writer&) = delete;
    body_writer& operator=(const body_writer&) = delete;

    /// Returns the reading side; called once.
    std::shared_ptr<body_reader> make_reader();

    void write(std::string_view bytes);
    void finish();

    /// Bytes that may be written without going beyond the flow's capacity.
    std::size_t available_bytes() const;
    /// Bytes that were read, or written when nobody read any more.
    std::uint64_t consumed_bytes() const;
    /// Whether the reading side is gone; what is written then is dropped.
    bool reader_gone() const;
    /// \p signal is called when bytes were taken or nobody reads any more.
    void set_change_callback(body_callback signal);

private:
    std::shared_ptr<body_stream_buffer> buffer_;
};

} // namespace fescuedyke

#endif
