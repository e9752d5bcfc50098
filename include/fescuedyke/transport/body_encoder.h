#ifndef FESCUEDYKE_TRANSPORT_BODY_ENCODER_H
#define FESCUEDYKE_TRANSPORT_BODY_ENCODER_H

#include "fescuedyke/call/body_flow.h"

#include <memory>
#include <string>

/// \file
/// Encoding of a streamed body as part of an HTTP/1.1 message.

namespace fescuedyke {

/// Reads a streamed body and appends it to the output of a connection, in HTTP/1.1 chunks if
/// needed.
class body_encoder {
public:
    /// Starts to read \p source, which must still hold its first byte. A body of unknown length is
    /// sent with chunked transfer coding if \p chunked is set; otherwise the end of the connection
    /// ends the body. \p on_change is called when \p source has more bytes or has ended.
    body_encoder(std::shared_ptr<body_source> source, bool chunked, flow_signal on_change);

    /// Appends the bytes available so far to \p out until \p out reaches a fixed size. Returns the
    /// state of the body.
    flow_state fill(std::string& out);

private:
    std::shared_ptr<body_source> source_;
    bool chunked_;
    std::uint64_t reading_id_;
};

} // namespace fescuedyke

#endif
