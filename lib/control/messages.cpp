#include "fescuedyke/control/messages.h"

#include "fescuedyke/control/control_fields.h"

namespace fescuedyke {

std::string encode_poll(const node_poll& message)
{
    return encode(message);
}

absl::StatusOr<node_poll> decode_poll(const std::string& bytes)
{
    return decode<node_poll>(bytes, "poll");
}

std::string encode_poll_reply(const poll_reply& message)
{
    return encode(message);
}

absl::StatusOr<poll_reply> decode_poll_reply(const std::string& bytes)
{
    return decode<poll_reply>(bytes, "poll reply");
}

std::string encode_member_sync(const member_sync& message)
{
    return encode(message);
}

absl::StatusOr<member_sync> decode_member_sync(const std::string& bytes)
{
    return decode<member_sync>(bytes, "member sync");
}

std::string encode_departure_request(const departure_request& message)
{
    return encode(message);
}

absl::StatusOr<departure_request> decode_departure_request(const std::string& bytes)
{
    return decode<departure_request>(bytes, "departure request");
}

std::string encode_departure_reply(const departure_reply& message)
{
    return encode(message);
}

absl::StatusOr<departure_reply> decode_departure_reply(const std::string& bytes)
{
    return decode<departure_reply>(bytes, "departure reply");
}

std::string encode_account_report(const account_report& message)
{
    return encode(message);
}

absl::StatusOr<account_report> decode_account_report(const std::string& bytes)
{
    return decode<account_report>(bytes, "account report");
}

std::string encode_account_copies(const account_copies& message)
{
    return encode(message);
}

absl::StatusOr<account_copies> decode_account_copies(const std::string& bytes)
{
    return decode<account_copies>(bytes, "account copies");
}

std::string encode_account_copies_reply(const account_copies_reply& message)
{
    return encode(message);
}

absl::StatusOr<account_copies_reply> decode_account_copies_reply(const std::string& bytes)
{
    return decode<account_copies_reply>(bytes, "account copies reply");
}

} // namespace fescuedyke
