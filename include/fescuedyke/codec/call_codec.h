#ifndef FESCUEDYKE_CODEC_CALL_CODEC_H
#define FESCUEDYKE_CODEC_CALL_CODEC_H

#include "fescuedyke/call/context.h"
#include "fescuedyke/call/message.h"
#include "fescuedyke/consensus/messages.h"

#include <absl/status/statusor.h>

#include <string>

/// \file
/// Calls and replies as nodes send them: a head in MessagePack behind its length, then the body as
/// it is, so that large bodies are not copied into the head.

namespace fescuedyke {

struct decoded_call {
    call_context context;
    http_request request;
};

/// Returns the head; the request's body follows it on the wire.
std::string encode_call_head(const call_context& context, const http_request& request);
/// Reads a call from the whole bytes received. Fails with kInvalidArgument when malformed.
absl::StatusOr<decoded_call> decode_call(const std::string& bytes);

/// Returns the head; the answer's body follows it on the wire.
std::string encode_reply_head(const call_reply& reply);
/// Reads a reply from the whole bytes received. Fails with kInvalidArgument when malformed, also
/// when the body has not the length told in the head.
absl::StatusOr<call_reply> decode_reply(const std::string& bytes);

std::string encode_consensus(const consensus_message& message);
/// Fails with kInvalidArgument when malformed, also when entries do not follow one another.
absl::StatusOr<consensus_message> decode_consensus(const std::string& bytes);

} // namespace fescuedyke

#endif
