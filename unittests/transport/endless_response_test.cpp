#include "raw_socket.h"

#include "fescuedyke/transport/http_codec.h"
#include "fescuedyke/transport/target_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace fescuedyke {
namespace {

/// Stands for "without end": more than any limit on a response and all socket buffers together.
constexpr std::size_t endless_bytes = 64U << 20U;

/// Number of bytes passed to a reader or a socket at once.
constexpr std::size_t part_bytes = 16U << 10U;

constexpr timeval send_timeout{20, 0};

/// Returns \p unit repeated to about part_bytes bytes.
std::string repeat(const std::string& unit)
{
    std::string text;
    while (text.size() < part_bytes) {
        text += unit;
    }
    return text;
}

/// Feeds \p head and then \p part again and again to a reader. Returns the number of bytes after
/// which the reader failed, or endless_bytes.
std::size_t bytes_until_failure(const std::string& head, const std::string& part)
{
    response_reader reader;
    reader.begin("GET");
    std::string buffer = head;
    std::size_t bytes = head.size();
    while (bytes < endless_bytes) {
        if (reader.read(buffer) == read_progress::failed) {
            return bytes;
        }
        reader.take_body_part();
        buffer += part;
        bytes += part.size();
    }
    return endless_bytes;
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Largest number of bytes that may pass before an endless head or chunk head is given up.
constexpr std::size_t max_head_bytes = 256U << 10U;

// Guards against memory that grows without bound while a target sends a head without end.
TEST(endless_response, a_head_without_end_is_rejected)
{
    EXPECT_LT(bytes_until_failure("", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure("HTTP/1.1 200 ", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure("HTTP/1.1 200 OK\r\nA: ", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure("HTTP/1.1 200 OK\r\n", repeat("A: b\r\n")), max_head_bytes);
}

// Guards against a call that waits for its answer while interim responses arrive without end.
TEST(endless_response, interim_responses_without_end_are_rejected)
{
    EXPECT_LT(bytes_until_failure("", repeat("HTTP/1.1 102 Processing\r\n\r\n")), max_head_bytes);
}

// Guards against memory that grows without bound while a chunk has no end of its head.
TEST(endless_response, a_chunk_head_or_trailer_without_end_is_rejected)
{
    EXPECT_LT(bytes_until_failure(chunked_head, repeat("0")), max_head_bytes);
    EXPECT_LT(bytes_until_failure(chunked_head + "5;a=", repeat("x")), max_head_bytes);
    EXPECT_LT(bytes_until_failure(chunked_head + "0\r\n", repeat("A: b\r\n")), max_head_bytes);
}

// Guards against a process that ends because it reserves the length that a target declares.
TEST(endless_response, a_declared_length_reserves_no_memory)
{
    response_reader reader;
    reader.begin("GET");
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\nbody";
    EXPECT_EQ(reader.read(buffer), read_progress::incomplete);
    EXPECT_TRUE(reader.is_streamed());
    EXPECT_EQ(reader.take_body_part(), "body");
}

} // namespace
} // namespace fescuedyke
