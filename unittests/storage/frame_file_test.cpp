#include "fescuedyke/storage/frame_file.h"
#include "fescuedyke/storage/posix_file_system.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>

namespace fescuedyke {
namespace {

std::string encode_frames(const std::vector<std::string>& payloads)
{
    std::string bytes;
    for (const std::string& p : payloads) {
        bytes += make_frame(p);
    }
    return bytes;
}

RC_GTEST_PROP(frame_file, encoded_frames_decode_to_the_same_payloads,
              (const std::vector<std::string>& payloads))
{
    const absl::StatusOr<frame_file_content> content = read_frames("f", encode_frames(payloads));
    RC_ASSERT(content.ok());
    RC_ASSERT(content->payloads == payloads);
}

RC_GTEST_PROP(frame_file, a_torn_tail_is_excluded_from_the_valid_bytes,
              (const std::vector<std::string>& payloads))
{
    RC_PRE(!payloads.empty());
    const std::string encoded = encode_frames(payloads);
    const std::string last = make_frame(payloads.back());
    const auto cut_bytes = *rc::gen::inRange<std::size_t>(1, last.size() + 1);
    const absl::StatusOr<frame_file_content> content =
        read_frames("f", encoded.substr(0, encoded.size() - cut_bytes));
    RC_ASSERT(content.ok());
    RC_ASSERT(content->payloads.size() == payloads.size() - 1);
    RC_ASSERT(content->valid_bytes == encoded.size() - last.size());
}

RC_GTEST_PROP(frame_file, a_corrupted_byte_before_the_last_frame_fails_with_data_loss, ())
{
    const std::string bytes = encode_frames({"first record", "second record", "third record"});
    const auto offset =
        *rc::gen::inRange<std::size_t>(0, encode_frames({"first record", "second record"}).size());
    const auto xor_mask = *rc::gen::inRange(1, 256);
    std::string corrupted = bytes;
    corrupted[offset] = static_cast<char>(corrupted[offset] ^ xor_mask);
    RC_ASSERT(absl::IsDataLoss(read_frames("f", corrupted).status()));
}

TEST(frame_file, a_zero_filled_tail_is_excluded)
{
    const std::string bytes = encode_frames({"first"}) + std::string(40, '\0');
    const absl::StatusOr<frame_file_content> content = read_frames("f", bytes);
    ASSERT_TRUE(content.ok());
    EXPECT_EQ(content->payloads.size(), 1U);
}

// Guards against a member that does not start after a power loss within a frame header.
RC_GTEST_PROP(frame_file, a_torn_write_whose_rest_reads_as_zeros_is_excluded, ())
{
    const std::string before = encode_frames({"first"});
    const std::string last = make_frame("the last record");
    const auto kept = *rc::gen::inRange<std::size_t>(0, last.size());
    std::string bytes = before + last.substr(0, kept);
    bytes.resize(before.size() + last.size(), '\0');
    const absl::StatusOr<frame_file_content> content = read_frames("f", bytes);
    RC_ASSERT(content.ok());
    RC_ASSERT(content->valid_bytes == before.size());
}

TEST(posix_file_system, stores_files_and_refuses_to_open_a_locked_directory)
{
    const std::string directory = testing::TempDir() + "fescuedyke-files";
    std::filesystem::remove_all(directory);
    auto files = posix_file_system::open(directory);
    ASSERT_TRUE(files.ok());
    EXPECT_TRUE(absl::IsNotFound((*files)->read("a").status()));
    EXPECT_TRUE((*files)->append_and_sync("a", "one").ok());
    EXPECT_TRUE((*files)->append_and_sync("a", "two").ok());
    EXPECT_EQ(*(*files)->read("a"), "onetwo");
    EXPECT_TRUE((*files)->replace_and_sync("a", "new").ok());
    EXPECT_TRUE((*files)->append_and_sync("a", "er").ok());
    EXPECT_EQ(*(*files)->read("a"), "newer");
    EXPECT_TRUE((*files)->truncate_and_sync("a", 3).ok());
    EXPECT_EQ(*(*files)->read("a"), "new");
    EXPECT_TRUE((*files)->sync("a").ok());
    EXPECT_TRUE(absl::IsNotFound((*files)->sync("b")));
    EXPECT_TRUE(absl::IsFailedPrecondition(posix_file_system::open(directory).status()));
}

} // namespace
} // namespace fescuedyke
