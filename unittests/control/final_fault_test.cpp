#include "control/fault_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuedyke {
namespace {

/// Guards against an accepted change that is gone, or cannot be read, after the final fault.
RC_GTEST_PROP(final_fault, an_accepted_change_survives_any_history_and_the_loss_of_two_disks, ())
{
    const auto seed = *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
    const std::string failure = fault_history(seed).play();
    if (!failure.empty()) {
        RC_FAIL("history " + std::to_string(seed) + ": " + failure);
    }
}

} // namespace
} // namespace fescuedyke
