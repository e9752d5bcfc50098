#include "fescuedyke/storage/frame_file.h"
#include "fescuedyke/storage/posix_file_system.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>

namespace fescuedyke {
namespace {

std::string frames_of(const std::vector<std::string>& payloads)
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
    const absl::StatusOr<frame_file_content> content = read_frames("f", frames_of(payloads));
    RC_ASSERT(content.ok());
    RC_ASSERT(content->payloads == payloads);
}

RC_GTEST_PROP(frame_file, a_torn_tail_is_excluded_from_the_valid_bytes,
              (const std::vector<std::string>& payloads))
{
    RC_PRE(!payloads.empty());
    const std::string whole = frames_of(payloads);
    const std::string last = make_frame(payloads.back());
    const auto lost = *rc::gen::inRange<std::size_t>(1, last.size() + 1);
    const absl::StatusOr<frame_file_content> content =
        read_frames("f", whole.substr(0, whole.size() - lost));
    RC_ASSERT(content.ok());
    RC_ASSERT(content->payloads.size() == payloads.size() - 1);
    RC_ASSERT(content->valid_bytes == whole.size() - last.size());
}

RC_GTEST_PROP(frame_file, a_changed_byte_before_the_last_frame_is_data_loss, ())
{
    const std::string bytes = frames_of({"first record", "second record", "third record"});
    const auto at =
        *rc::gen::inRange<std::size_t>(0, frames_of({"first record", "second record"}).size());
    const auto flip = *rc::gen::inRange(1, 256);
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ flip);
    RC_ASSERT(absl::IsDataLoss(read_frames("f", damaged).status()));
}

TEST(frame_file, a_zero_filled_tail_is_torn)
{
    const std::string bytes = frames_of({"first"}) + std::string(40, '\0');
    const absl::StatusOr<frame_file_content> content = read_frames("f", bytes);
    ASSERT_TRUE(content.ok());
    EXPECT_EQ(content->payloads.size(), 1U);
}

TEST(posix_file_system, stores_files_and_rejects_a_second_lock_holder)
{
    const std::string folder = testing::TempDir() + "fescuedyke-files";
    std::filesystem::remove_all(folder);
    auto files = posix_file_system::open(folder);
    ASSERT_TRUE(files.ok());
    EXPECT_TRUE(absl::IsNotFound((*files)->read("a").status()));
    EXPECT_TRUE((*files)->append_synced("a", "one").ok());
    EXPECT_TRUE((*files)->append_synced("a", "two").ok());
    EXPECT_EQ(*(*files)->read("a"), "onetwo");
    EXPECT_TRUE((*files)->replace_synced("a", "new").ok());
    EXPECT_TRUE((*files)->append_synced("a", "er").ok());
    EXPECT_EQ(*(*files)->read("a"), "newer");
    EXPECT_TRUE((*files)->truncate_synced("a", 3).ok());
    EXPECT_EQ(*(*files)->read("a"), "new");
    EXPECT_TRUE(absl::IsFailedPrecondition(posix_file_system::open(folder).status()));
}

} // namespace
} // namespace fescuedyke
