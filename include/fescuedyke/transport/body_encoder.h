#ifndef FESCUEDYKE_TRANSPORT_BODY_ENCODER_H
#define FESCUEDYKE_TRANSPORT_BODY_ENCODER_H

#include "fescuedyke/call/body_flow.h"

#include <memory>
#include <string>

/// \file
/// A body that flows, written as part of an HTTP/1.1 message.

namespace fescuedyke {

class body_encoder {
public:
    /// Begins to read \p source, which must still have its first byte. A body of unknown length is
    /// written in chunks if \p chunked, and else up to the end of the connection.
    body_encoder(std::shared_ptr<body_source> source, bool chunked, flow_signal on_change);

    /// Appends to \p out what has come, up to a bounded size of \p out.
    flow_state fill(std::string& out);

private:
    std::shared_ptr<body_source> source_;
    bool chunked_;
    std::uint64_t reading_id_;
};

} // namespace fescuedyke

#endif
