#ifndef FESCUEDYKE_TRANSPORT_BODY_ENCODER_H
#define FESCUEDYKE_TRANSPORT_BODY_ENCODER_H

#include "fescuedyke/call/body_stream.h"

#include <memory>
#include <string>

/// \file
/// Encoding of a streamed body as part of an HTTP/1.1 message.

namespace fescuedyke {

/// Writes a streamed body to the output of a connection, in chunks if needed.
class body_encoder {
public:
    /// Starts to read \p source from its first byte, which must still be buffered. A body of
    /// unknown length is sent in chunks if \p chunked is set; otherwise the end of the connection
    /// ends it. \p on_change is called when fill() can make progress again.
    body_encoder(std::shared_ptr<body_reader> source, bool chunked, body_callback on_change);

    /// Appends available bytes to \p out until \p out has reached a fixed size. Returns the state
    /// of the body.
    body_state fill(std::string& out);

private:
    std::shared_ptr<body_reader> source_;
    bool chunked_;
    /// Number of the pass over \c source_; see body_reader::rewind().
    std::uint64_t pass_;
};

} // namespace fescuedyke

#endif
