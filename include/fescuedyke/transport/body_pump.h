#ifndef FESCUEDYKE_TRANSPORT_BODY_PUMP_H
#define FESCUEDYKE_TRANSPORT_BODY_PUMP_H

#include "fescuedyke/call/body_stream.h"

#include <memory>
#include <string>

/// \file
/// A body that flows, written as part of an HTTP/1.1 message.

namespace fescuedyke {

class body_pump {
public:
    /// Begins to read \p source, which must still have its first byte. A body of unknown length is
    /// written in chunks if \p chunked, and else up to the end of the connection.
    body_pump(std::shared_ptr<body_reader> source, bool chunked, body_callback on_change);

    /// Appends to \p out what has come, up to a bounded size of \p out.
    body_state fill(std::string& out);

private:
    std::shared_ptr<body_reader> source_;
    bool chunked_;
    std::uint64_t reading_;
};

} // namespace fescuedyke

#endif
