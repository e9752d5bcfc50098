#include "fuzz/decoders.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace fescuedyke::fuzz {
namespace {

std::vector<std::pair<std::string, std::string>> read_corpus()
{
    std::vector<std::pair<std::string, std::string>> files;
    for (const auto& entry : std::filesystem::directory_iterator("bench/fuzz/corpus")) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::stringstream content;
        content << file.rdbuf();
        files.emplace_back(entry.path().filename().string(), content.str());
    }
    std::sort(files.begin(), files.end());
    return files;
}

TEST(decoders, handle_every_corpus_input)
{
    std::vector<bool> reached(decoder_count, false);
    for (const auto& [name, input] : read_corpus()) {
        ASSERT_FALSE(input.empty()) << name;
        reached[static_cast<unsigned char>(input[0]) % decoder_count] = true;
        EXPECT_EQ(run_decoder(input), "") << name;
    }
    for (unsigned decoder = 0; decoder < decoder_count; ++decoder) {
        EXPECT_TRUE(reached[decoder]) << "no input for decoder " << decoder;
    }
}

/// Mutates a corpus input: erases, duplicates or overwrites bytes, or inserts delimiters.
RC_GTEST_PROP(decoders, handle_mutated_corpus_inputs, ())
{
    static const auto files = read_corpus();
    std::string input = files[*rc::gen::inRange<std::size_t>(0, files.size())].second;
    const int mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations && input.size() > 1; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(1, input.size());
        const auto count = *rc::gen::inRange<std::size_t>(1, 1 + input.size() - at);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            input.erase(at, count);
            break;
        case 1:
            input.insert(at, input.substr(at, std::min<std::size_t>(count, 64)));
            break;
        case 2:
            input[at] = static_cast<char>(*rc::gen::inRange(0, 256));
            break;
        default:
            input.insert(at, *rc::gen::element<std::string>("\r\n", "\0", "{", "\"", ":", "0", "-",
                                                            "\r\n\r\n", "Content-Length: 5\r\n",
                                                            "Transfer-Encoding: chunked\r\n"));
            break;
        }
    }
    const std::string failure = run_decoder(input);
    RC_LOG() << failure;
    RC_ASSERT(failure.empty());
}

} // namespace
} // namespace fescuedyke::fuzz
