#ifndef FESCUEDYKE_DAEMON_HANDOVER_CODEC_H
#define FESCUEDYKE_DAEMON_HANDOVER_CODEC_H

#include "fescuedyke/node/events.h"

#include <absl/status/statusor.h>

#include <string>

/// \file
/// Records of runs as a former owner hands them to the next.

namespace fescuedyke {

constexpr const char* handover_path = "/handover";

std::string encode_handover(const records_handed_over& records);
/// Fails with kInvalidArgument when malformed.
absl::StatusOr<records_handed_over> decode_handover(const std::string& bytes);

} // namespace fescuedyke

#endif
