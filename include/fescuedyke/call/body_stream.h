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
/// A message body that is forwarded while it arrives. One side writes and the other reads, both on
/// the same thread. The buffer between them stays bounded as long as the writer respects
/// body_writer::available_bytes().

namespace fescuedyke {

/// Bodies of up to this many bytes are buffered completely, so that they can always be resent.
constexpr std::uint64_t max_buffered_body_bytes = 512U << 10U;

/// Capacity of the buffer of a stream.
constexpr std::size_t body_stream_capacity_bytes = 768U << 10U;

/// A stream can be rewound at least until more than this many bytes have been read.
constexpr std::size_t body_replay_bytes = 512U << 10U;

enum class body_state : std::uint8_t {
    /// More bytes are expected.
    open,
    /// All bytes of the body have been read.
    complete,
    /// No more bytes can be read: the writer was destroyed before the body was complete, or the
    /// pass is not the latest.
    aborted
};

/// Invoked synchronously by an operation of the opposite side; must not call back into the stream.
using body_callback = std::function<void()>;

struct body_stream_buffer;

/// The reading side of a stream. Its destruction notifies the writer.
class body_reader {
public:
    explicit body_reader(std::shared_ptr<body_stream_buffer> buffer);
    ~body_reader();
    body_reader(const body_reader&) = delete;
    body_reader& operator=(const body_reader&) = delete;

    /// Returns the length of the whole body in bytes if it was announced in advance.
    std::optional<std::uint64_t> length() const;

    /// Returns whether the first byte can still be read.
    bool can_rewind() const;

    /// Starts a new pass at the first byte, which must still be buffered, and invalidates earlier
    /// passes. Returns the number of the pass. \p on_change is called when more bytes can be read
    /// or when no more will arrive.
    std::uint64_t rewind(body_callback on_change);

    /// Copies up to \p max_bytes bytes to \p destination and returns their number, which is 0 if
    /// \p pass, a result of rewind(), is not the latest pass.
    std::size_t read(std::uint64_t pass, char* destination, std::size_t max_bytes);
    body_state state(std::uint64_t pass) const;

private:
    std::shared_ptr<body_stream_buffer> buffer_;
};

/// The writing side of a stream. Destroying the writer before it called finish() aborts the body.
class body_writer {
public:
    explicit body_writer(std::optional<std::uint64_t> length);
    ~body_writer();
    body_writer(const body_writer&) = delete;
    body_writer& operator=(const body_writer&) = delete;

    /// Creates the reading side; must be called only once.
    std::shared_ptr<body_reader> make_reader();

    void write(std::string_view bytes);
    void finish();

    /// Returns the number of bytes that fit into the buffer.
    std::size_t available_bytes() const;
    /// Returns the number of bytes that were read, or discarded because the reader was gone.
    std::uint64_t consumed_bytes() const;
    /// Returns whether the reading side was destroyed; further bytes are discarded.
    bool reader_gone() const;
    /// Sets the callback that is called when bytes were read or the reading side was destroyed.
    void set_change_callback(body_callback callback);

private:
    std::shared_ptr<body_stream_buffer> buffer_;
};

} // namespace fescuedyke

#endif
