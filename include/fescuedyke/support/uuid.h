#ifndef FESCUEDYKE_SUPPORT_UUID_H
#define FESCUEDYKE_SUPPORT_UUID_H

#include "fescuedyke/support/random.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>

#include <string>

/// \file
/// UUIDs of version 7 (RFC 9562), whose first 48 bits are their creation time.

namespace fescuedyke {

/// Returns the creation time inside \p text. Fails with kInvalidArgument when \p text is not a
/// UUID of version 7 in its canonical form.
absl::StatusOr<wall_time> parse_uuid7_time(const std::string& text);

/// Returns a new UUID of version 7 created at \p created.
std::string make_uuid7(wall_time created, random_source& random);

} // namespace fescuedyke

#endif
