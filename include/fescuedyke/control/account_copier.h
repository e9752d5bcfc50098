#ifndef FESCUEDYKE_CONTROL_ACCOUNT_COPIER_H
#define FESCUEDYKE_CONTROL_ACCOUNT_COPIER_H

#include "fescuedyke/consensus/messages.h"
#include "fescuedyke/control/account_store.h"
#include "fescuedyke/control/messages.h"
#include "fescuedyke/support/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// \file
/// Decides which account reports a member passes on to another member.

namespace fescuedyke {

struct account_copier_settings {
    /// A source is silent once it has not reported to this member for this time. Sources that
    /// report write to two members by themselves.
    millis silence{5000};
    /// Time without a confirmation after which the copies are sent again.
    millis retry_period{1000};
    /// Maximum number of reports in a message; the copy of one source may exceed it.
    std::size_t max_reports_per_message = 512;
};

/// Copies the reports of silent sources to all members, so that the account of a process that has
/// ended is complete while any member is left that held them. A member whose disk was replaced gets
/// them again.
class account_copier {
public:
    /// \p accounts must outlive the copier.
    account_copier(const account_copier_settings& settings, const account_store& accounts);

    /// Returns the message to send to the member \p to now, if any. At most one message is on its
    /// way to each member.
    std::optional<account_copies> next_message(const member_id& to, instant now);

    /// The member \p to confirmed that it has stored the copies of the message \p number.
    void on_stored(const member_id& to, std::uint64_t number);

private:
    using sequences = std::map<account_source, std::uint64_t>;
    struct receiver {
        std::uint64_t disk_id = 0;
        /// Sequence of the latest report of each source that the receiver has stored.
        sequences stored;
        /// Number, content and time of the last message, until it is confirmed.
        std::uint64_t number = 0;
        sequences unconfirmed;
        instant sent_at;
    };

    bool is_silent(const account_entry& entry, instant now) const;

    account_copier_settings settings_;
    const account_store& accounts_;
    std::map<std::string, receiver> receivers_;
    std::uint64_t last_number_ = 0;
    /// Reports from before this process are as old as the process at least.
    std::optional<instant> started_at_;
};

} // namespace fescuedyke

#endif
