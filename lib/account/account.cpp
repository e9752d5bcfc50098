#include "fescuedyke/account/account.h"

#include <cassert>
#include <numeric>

namespace fescuedyke {

namespace {

constexpr std::size_t max_unknown_outcomes = 1000;

std::uint64_t sum(const std::array<std::uint64_t, outcome_reason_count>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

void add(std::array<std::uint64_t, outcome_reason_count>& to,
         const std::array<std::uint64_t, outcome_reason_count>& from)
{
    for (std::size_t i = 0; i < to.size(); ++i) {
        to[i] += from[i];
    }
}

} // namespace

std::uint64_t account_row::total_not_run() const
{
    return sum(not_run);
}

std::uint64_t account_row::total_unknown() const
{
    return sum(unknown);
}

bool account_row::is_conserved() const
{
    return received == answered + total_not_run() + total_unknown() + in_progress;
}

account_row& account_row::operator+=(const account_row& other)
{
    received += other.received;
    answered += other.answered;
    in_progress += other.in_progress;
    add(not_run, other.not_run);
    add(unknown, other.unknown);
    return *this;
}

void account::on_received(const account_key& key)
{
    ++revision_;
    account_row& row = rows_[key];
    ++row.received;
    ++row.in_progress;
}

void account::on_ended(const account_key& key, const outcome& result)
{
    account_row& row = rows_[key];
    assert(row.in_progress > 0 && "a call must be received before it ends");
    ++revision_;
    --row.in_progress;
    const auto reason = static_cast<std::size_t>(result.reason);
    switch (result.kind) {
    case outcome_kind::answered:
        ++row.answered;
        return;
    case outcome_kind::not_run:
        ++row.not_run[reason];
        return;
    case outcome_kind::unknown:
        ++row.unknown[reason];
        return;
    }
}

void account::on_unknown_outcome(const unknown_outcome& entry)
{
    unknown_outcomes_.push_back(entry);
    if (unknown_outcomes_.size() > max_unknown_outcomes) {
        unknown_outcomes_.pop_front();
    }
}

} // namespace fescuedyke
