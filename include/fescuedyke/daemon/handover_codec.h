#ifndef FESCUEDYKE_DAEMON_HANDOVER_CODEC_H
#define FESCUEDYKE_DAEMON_HANDOVER_CODEC_H

#include "fescuedyke/node/events.h"

#include <absl/status/statusor.h>

#include <string>

/// \file
/// Encoding of the run records that the former owner of a bucket sends to the next owner.

namespace fescuedyke {

/// Path of the request between nodes.
constexpr const char* handover_path = "/handover";

std::string encode_handover(const records_handed_over& records);
/// Fails with kInvalidArgument if \p bytes are malformed.
absl::StatusOr<records_handed_over> decode_handover(const std::string& bytes);

} // namespace fescuedyke

#endif
