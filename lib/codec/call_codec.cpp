#include "fescuedyke/codec/call_codec.h"

#include "fescuedyke/codec/common_fields.h"

namespace fescuedyke {

namespace {

constexpr std::size_t length_prefix_bytes = 4;

/// Longest time that a load report may contain.
constexpr millis max_reported_time{24LL * 60 * 60 * 1000};

struct call_head {
    call_context context;
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::uint64_t body_bytes = 0;
};

template <class A> void fields(A& a, call_head& x)
{
    a(x.context, x.method, x.path, x.headers, x.body_bytes);
}

struct reply_head {
    outcome result;
    bool fenced = false;
    int status = 0;
    std::vector<header> headers;
    int unused_retries = 0;
    load_report load;
    std::uint64_t body_bytes = 0;
};

template <class A> void fields(A& a, reply_head& x)
{
    a(x.result, x.fenced, x.status, x.headers, x.unused_retries, x.load, x.body_bytes);
}

std::string prepend_length(const std::string& head)
{
    std::string bytes;
    for (unsigned i = 0; i < length_prefix_bytes; ++i) {
        bytes.push_back(static_cast<char>((head.size() >> (8 * i)) & 0xffU));
    }
    return bytes + head;
}

/// Returns the size of the body in the same message as the head. A streamed body is sent
/// separately.
std::uint64_t inline_body_bytes(const payload& body)
{
    return body ? body->size() : 0;
}

/// Decodes the head of \p bytes and sets \p body_offset to the offset of the body, which follows
/// the head.
template <class T>
absl::StatusOr<T> split_message(const std::string& bytes, const char* message_kind,
                                std::size_t& body_offset)
{
    std::size_t length = 0;
    for (unsigned i = 0; i < length_prefix_bytes && i < bytes.size(); ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    if (bytes.size() < length_prefix_bytes || bytes.size() - length_prefix_bytes < length) {
        return absl::InvalidArgumentError(std::string(message_kind) + ": truncated message");
    }
    absl::StatusOr<T> head = decode<T>(bytes.data() + length_prefix_bytes, length, message_kind);
    body_offset = length_prefix_bytes + length;
    if (head.ok() && bytes.size() - body_offset != head->body_bytes) {
        return absl::InvalidArgumentError(std::string(message_kind) +
                                          ": body length differs from the length in the head");
    }
    return head;
}

/// Returns whether all times of \p load are possible. The choice of targets depends on them.
bool has_valid_times(const load_report& load)
{
    for (const millis time : {load.expected_time, load.flow_time, load.flow_deviation,
                              load.queue_time, load.time_at_node}) {
        if (time < millis(0) || time > max_reported_time) {
            return false;
        }
    }
    return true;
}

/// Returns whether the indexes of the entries are consecutive. The log depends on this, so it must
/// not be left to the peer.
bool has_consecutive_entries(const append_request& append)
{
    std::uint64_t expected_index = append.previous_index.value();
    for (const log_entry& entry : append.entries) {
        if (entry.index.value() != ++expected_index) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode_call_head(const call_context& context, const http_request& request)
{
    return prepend_length(encode(call_head{context, request.method, request.path, request.headers,
                                           inline_body_bytes(request.body)}));
}

absl::StatusOr<decoded_call> decode_call(const std::string& bytes)
{
    std::size_t body_offset = 0;
    absl::StatusOr<call_head> head = split_message<call_head>(bytes, "call", body_offset);
    if (!head.ok()) {
        return head.status();
    }
    if (head->context.attempt < 0 || head->context.lent_retries < 0 || head->context.depth < 0 ||
        head->context.depth > max_call_depth || head->context.labels.size() > max_labels) {
        return absl::InvalidArgumentError(
            "call: attempt, retries, depth or label count is out of range");
    }
    decoded_call call;
    call.context = std::move(head->context);
    call.request.method = std::move(head->method);
    call.request.path = std::move(head->path);
    call.request.headers = std::move(head->headers);
    call.request.body = std::make_shared<const std::string>(bytes.substr(body_offset));
    return call;
}

std::string encode_reply_head(const call_reply& reply)
{
    return prepend_length(encode(reply_head{reply.result, reply.fenced, reply.response.status,
                                            reply.response.headers, reply.unused_retries,
                                            reply.load, inline_body_bytes(reply.response.body)}));
}

absl::StatusOr<call_reply> decode_reply(const std::string& bytes)
{
    std::size_t body_offset = 0;
    absl::StatusOr<reply_head> head = split_message<reply_head>(bytes, "reply", body_offset);
    if (!head.ok()) {
        return head.status();
    }
    if (!has_valid_times(head->load)) {
        return absl::InvalidArgumentError("reply: a time of the load report is out of range");
    }
    if (head->result.kind == outcome_kind::answered && !is_final_status(head->status)) {
        return absl::InvalidArgumentError("reply: the status " + std::to_string(head->status) +
                                          " is invalid");
    }
    call_reply reply;
    reply.result = head->result;
    reply.fenced = head->fenced;
    reply.response.status = head->status;
    reply.response.headers = std::move(head->headers);
    reply.response.body = std::make_shared<const std::string>(bytes.substr(body_offset));
    reply.unused_retries = head->unused_retries;
    reply.load = head->load;
    return reply;
}

std::string encode_consensus(const consensus_message& message)
{
    return encode(message);
}

absl::StatusOr<consensus_message> decode_consensus(const std::string& bytes)
{
    absl::StatusOr<consensus_message> message =
        decode<consensus_message>(bytes, "consensus message");
    if (!message.ok()) {
        return message;
    }
    const auto* append = std::get_if<append_request>(&message->body);
    if (append != nullptr && !has_consecutive_entries(*append)) {
        return absl::InvalidArgumentError("consensus message: entry indexes are not consecutive");
    }
    return message;
}

} // namespace fescuedyke
