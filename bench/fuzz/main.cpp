#include "fescuedyke/codec/call_codec.h"
#include "fescuedyke/control/messages.h"
#include "fescuedyke/daemon/http_api.h"
#include "fescuedyke/node/caller_headers.h"
#include "fescuedyke/once/idempotency_key.h"
#include "fescuedyke/policy/policy.h"
#include "fescuedyke/settings/process_settings.h"

#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// A libFuzzer target over every decoder that a peer, a caller or an operator can reach. The first
/// byte chooses the decoder. Build with clang and -DFESCUEDYKE_FUZZ=ON.

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace fescuedyke;
    if (size == 0) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 12) {
    case 0:
        (void)decode_call(bytes);
        break;
    case 1:
        (void)decode_reply(bytes);
        break;
    case 2:
        (void)decode_consensus(bytes);
        break;
    case 3:
        (void)decode_poll(bytes);
        break;
    case 4:
        (void)decode_poll_reply(bytes);
        break;
    case 5:
        (void)decode_member_sync(bytes);
        break;
    case 6:
        (void)decode_account_report(bytes);
        break;
    case 7:
        (void)read_caller_options({{labels_header, bytes}});
        break;
    case 8:
        (void)parse_idempotency_key(bytes);
        break;
    case 9:
        (void)parse_policy(bytes);
        break;
    case 10:
        (void)parse_announcement(bytes);
        (void)parse_change(bytes);
        break;
    default:
        (void)parse_call_path(bytes);
        (void)split_target(bytes);
        (void)parse_settings(bytes);
        break;
    }
    return 0;
}
