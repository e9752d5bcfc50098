#ifndef FESCUEDYKE_TRANSPORT_H2_OUTGOING_MESSAGE_H
#define FESCUEDYKE_TRANSPORT_H2_OUTGOING_MESSAGE_H

#include "fescuedyke/call/message.h"

#include <string>

/// \file
/// A request or response to send to another process of the system.

namespace fescuedyke {

/// A request or response to send over HTTP/2: a head, then an optional buffered body, which may be
/// shared with other messages, then an optional streamed body.
struct h2_outgoing_message {
    std::string head;
    payload body;
    /// The rest of the body, if it is streamed.
    std::shared_ptr<body_reader> body_stream{};

    /// Returns the number of bytes buffered in memory, without the streamed body.
    std::size_t size() const { return head.size() + (body ? body->size() : 0); }
};

} // namespace fescuedyke

#endif
