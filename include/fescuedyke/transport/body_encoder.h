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
    /// Begins to read \p source, which must still have its first byte. A body of unknown length is
    /// sent in chunks if \p chunked is set; otherwise the end of the connection ends it.
    body_encoder(std::shared_ptr<body_reader> source, bool chunked, body_callback on_change);

    /// Appends available bytes to \p out, up to a bounded size of \p out. Returns the state of the
    /// body.
    body_state fill(std::string& out);

private:
    std::shared_ptr<body_reader> source_;
    bool chunked_;
    std::uint64_t pass_;
};

} // namespace fescuedyke

#endif
