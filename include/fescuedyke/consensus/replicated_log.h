#ifndef FESCUEDYKE_CONSENSUS_REPLICATED_LOG_H
#define FESCUEDYKE_CONSENSUS_REPLICATED_LOG_H

#include "fescuedyke/consensus/messages.h"

#include <deque>
#include <vector>

/// \file
/// The entries that one member holds, behind a snapshot that stands for all earlier ones.

namespace fescuedyke {

class replicated_log {
public:
    /// \p entries follow directly on \p base.
    replicated_log(snapshot base, std::vector<log_entry> entries, member_list initial_members);

    bool empty() const { return last_index() == log_index(0); }
    log_index first_index() const { return log_index(base_.index.value() + 1); }
    log_index last_index() const;
    log_term last_term() const;
    const snapshot& base() const { return base_; }

    /// Returns the term at \p index, or nothing when the index is not held.
    std::optional<log_term> term_at(log_index index) const;

    /// \p index must be held as an entry.
    const log_entry& at(log_index index) const;

    /// Returns up to \p most entries from \p from on.
    std::vector<log_entry> slice(log_index from, std::size_t max_entries) const;

    void append(const log_entry& entry);

    /// Drops all entries from \p from on.
    void truncate_from(log_index from);

    /// Puts \p next in the place of all entries up to its index.
    void compact(const snapshot& next);

    /// Members by the latest entry that tells them, committed or not.
    const member_list& members() const { return members_; }

    /// Members as of \p index.
    member_list members_at(log_index index) const;

    /// Index of the entry that \p members() comes from.
    log_index members_index() const { return members_index_; }

private:
    void refresh_members();

    snapshot base_;
    std::deque<log_entry> entries_;
    member_list initial_members_;
    member_list members_;
    log_index members_index_;
};

} // namespace fescuedyke

#endif
