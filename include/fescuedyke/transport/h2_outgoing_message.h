#ifndef FESCUEDYKE_TRANSPORT_H2_OUTGOING_MESSAGE_H
#define FESCUEDYKE_TRANSPORT_H2_OUTGOING_MESSAGE_H

#include "fescuedyke/call/message.h"

#include <string>

/// \file
/// The bytes of one request or response between processes of the system.

namespace fescuedyke {

/// A head of its own and a body that is shared with whoever else holds it, or that flows.
struct h2_outgoing_message {
    std::string head;
    payload body;
    std::shared_ptr<body_source> flow{};

    /// Bytes that are held whole.
    std::size_t size() const { return head.size() + (body ? body->size() : 0); }
};

} // namespace fescuedyke

#endif
