#ifndef FESCUEDYKE_CODEC_CALL_CODEC_H
#define FESCUEDYKE_CODEC_CALL_CODEC_H

#include "fescuedyke/call/context.h"
#include "fescuedyke/call/message.h"
#include "fescuedyke/consensus/messages.h"

#include <absl/status/statusor.h>

#include <string>

/// \file
/// Wire formats of calls and replies between nodes and of consensus messages between members. A
/// call or reply is a length-prefixed MessagePack head followed by the raw body, so that large
/// bodies are not copied into the head.

namespace fescuedyke {

struct decoded_call {
    call_context context;
    http_request request;
};

/// Returns the encoded head, which the request body follows on the wire.
std::string encode_call_head(const call_context& context, const http_request& request);
/// Decodes a complete call. Fails with kInvalidArgument if \p bytes is malformed.
absl::StatusOr<decoded_call> decode_call(const std::string& bytes);

/// Returns the encoded head, which the response body follows on the wire.
std::string encode_reply_head(const call_reply& reply);
/// Decodes a complete reply. Fails with kInvalidArgument if \p bytes is malformed or the length of
/// the body differs from the length in the head.
absl::StatusOr<call_reply> decode_reply(const std::string& bytes);

std::string encode_consensus(const consensus_message& message);
/// Fails with kInvalidArgument if \p bytes is malformed or the indexes of log entries are not
/// consecutive.
absl::StatusOr<consensus_message> decode_consensus(const std::string& bytes);

} // namespace fescuedyke

#endif
