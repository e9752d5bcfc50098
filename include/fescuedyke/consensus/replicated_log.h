#ifndef FESCUEDYKE_CONSENSUS_REPLICATED_LOG_H
#define FESCUEDYKE_CONSENSUS_REPLICATED_LOG_H

#include "fescuedyke/consensus/messages.h"

#include <deque>
#include <vector>

/// \file
/// Holds the log entries of one member after a snapshot that covers all earlier entries.

namespace fescuedyke {

class replicated_log {
public:
    /// \p entries must directly follow \p base.
    replicated_log(snapshot base, std::vector<log_entry> entries, member_list initial_members);

    bool empty() const { return last_index() == log_index(0); }
    log_index first_index() const { return log_index(base_.index.value() + 1); }
    log_index last_index() const;
    log_term last_term() const;
    const snapshot& base() const { return base_; }

    /// Returns the term of the entry at \p index, or nullopt when the log does not hold it.
    std::optional<log_term> term_at(log_index index) const;

    /// Returns the entry at \p index, which must lie after the snapshot and within the log.
    const log_entry& at(log_index index) const;

    /// Returns at most \p max_entries entries, starting at \p from.
    std::vector<log_entry> slice(log_index from, std::size_t max_entries) const;

    void append(const log_entry& entry);

    /// Removes the entry at \p from and all later entries.
    void truncate_from(log_index from);

    /// Replaces all entries up to the index of \p next by this snapshot.
    void compact(const snapshot& next);

    /// Returns the membership of the latest entry that changes it, whether committed or not.
    const member_list& members() const { return members_; }

    /// Returns the membership in effect at \p index.
    member_list members_at(log_index index) const;

    /// Returns the index of the entry or snapshot that defines members().
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
