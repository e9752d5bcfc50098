#ifndef FESCUEDYKE_SUPPORT_UUID_H
#define FESCUEDYKE_SUPPORT_UUID_H

#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>

#include <string>

/// \file
/// Version 7 UUIDs (RFC 9562), whose first 48 bits are their creation time.

namespace fescuedyke {

/// Returns the creation time of the UUID \p text. Fails with kInvalidArgument if \p text is not a
/// version 7 UUID in its canonical form.
absl::StatusOr<wall_time> parse_uuid7_time(const std::string& text);

/// Returns a new version 7 UUID with the creation time \p created.
std::string make_uuid7(wall_time created, random_source& random);

} // namespace fescuedyke

#endif
