#include "fescuedyke/codec/call_codec.h"

#include "fescuedyke/codec/common_fields.h"

namespace fescuedyke {

namespace {

constexpr std::size_t length_bytes = 4;

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
    int allowance_left = 0;
    load_report load;
    std::uint64_t body_bytes = 0;
};

template <class A> void fields(A& a, reply_head& x)
{
    a(x.result, x.fenced, x.status, x.headers, x.allowance_left, x.load, x.body_bytes);
}

std::string with_length(const std::string& head)
{
    std::string bytes;
    for (unsigned i = 0; i < length_bytes; ++i) {
        bytes.push_back(static_cast<char>((head.size() >> (8 * i)) & 0xffU));
    }
    return bytes + head;
}

/// What follows the head in the same message; a body that flows comes apart from it.
std::uint64_t whole_bytes(const payload& body)
{
    return body ? body->size() : 0;
}

/// Splits \p bytes; the body is what follows the head.
template <class T>
absl::StatusOr<T> split(const std::string& bytes, const char* what, std::size_t& body_at)
{
    std::size_t length = 0;
    for (unsigned i = 0; i < length_bytes && i < bytes.size(); ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    if (bytes.size() < length_bytes || bytes.size() - length_bytes < length) {
        return absl::InvalidArgumentError(std::string(what) + ": cut off");
    }
    absl::StatusOr<T> head = decode<T>(bytes.data() + length_bytes, length, what);
    body_at = length_bytes + length;
    if (head.ok() && bytes.size() - body_at != head->body_bytes) {
        return absl::InvalidArgumentError(std::string(what) + ": body of the wrong length");
    }
    return head;
}

/// The log takes entries only one after the other; a peer must not be able to break that.
bool follow_in_order(const append_request& append)
{
    std::uint64_t expected = append.previous_index.value();
    for (const log_entry& entry : append.entries) {
        if (entry.index.value() != ++expected) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode_call_head(const call_context& context, const http_request& request)
{
    return with_length(encode(call_head{context, request.method, request.path, request.headers,
                                        whole_bytes(request.body)}));
}

absl::StatusOr<decoded_call> decode_call(const std::string& bytes)
{
    std::size_t body_at = 0;
    absl::StatusOr<call_head> head = split<call_head>(bytes, "call", body_at);
    if (!head.ok()) {
        return head.status();
    }
    if (head->context.attempt < 0 || head->context.lent_retries < 0 || head->context.depth < 0 ||
        head->context.depth > max_call_depth || head->context.labels.size() > max_labels) {
        return absl::InvalidArgumentError("call: a value is out of range");
    }
    decoded_call call;
    call.context = std::move(head->context);
    call.request.method = std::move(head->method);
    call.request.path = std::move(head->path);
    call.request.headers = std::move(head->headers);
    call.request.body = std::make_shared<const std::string>(bytes.substr(body_at));
    return call;
}

std::string encode_reply_head(const call_reply& reply)
{
    return with_length(
        encode(reply_head{reply.result, reply.fenced, reply.response.status, reply.response.headers,
                          reply.unused_retries, reply.load, whole_bytes(reply.response.body)}));
}

absl::StatusOr<call_reply> decode_reply(const std::string& bytes)
{
    std::size_t body_at = 0;
    absl::StatusOr<reply_head> head = split<reply_head>(bytes, "reply", body_at);
    if (!head.ok()) {
        return head.status();
    }
    call_reply reply;
    reply.result = head->result;
    reply.fenced = head->fenced;
    reply.response.status = head->status;
    reply.response.headers = std::move(head->headers);
    reply.response.body = std::make_shared<const std::string>(bytes.substr(body_at));
    reply.unused_retries = head->allowance_left;
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
    if (append != nullptr && !follow_in_order(*append)) {
        return absl::InvalidArgumentError("consensus message: entries are out of order");
    }
    return message;
}

} // namespace fescuedyke
