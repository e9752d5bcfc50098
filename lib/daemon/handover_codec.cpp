#include "fescuedyke/daemon/handover_codec.h"

#include "fescuedyke/codec/common_fields.h"

namespace fescuedyke {

template <class A> void fields(A& a, records_handed_over& x)
{
    a(x.home, x.bucket, x.epoch, x.records);
}

std::string encode_handover(const records_handed_over& records)
{
    return encode(records);
}

absl::StatusOr<records_handed_over> decode_handover(const std::string& bytes)
{
    return decode<records_handed_over>(bytes, "handover");
}

} // namespace fescuedyke
