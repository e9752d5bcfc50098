#include "fescuedyke/consensus/replicated_log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescuedyke {

replicated_log::replicated_log(snapshot base, std::vector<log_entry> entries,
                               member_list initial_members)
    : base_(std::move(base)), entries_(entries.begin(), entries.end()),
      initial_members_(std::move(initial_members))
{
    refresh_members();
}

log_index replicated_log::last_index() const
{
    return log_index(base_.index.value() + entries_.size());
}

log_term replicated_log::last_term() const
{
    return entries_.empty() ? base_.term : entries_.back().term;
}

std::optional<log_term> replicated_log::term_at(log_index index) const
{
    if (index == base_.index) {
        return base_.term;
    }
    if (index < base_.index || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& replicated_log::at(log_index index) const
{
    assert(index > base_.index && index <= last_index() && "the log must hold the index");
    return entries_[index.value() - base_.index.value() - 1];
}

std::vector<log_entry> replicated_log::slice(log_index from, std::size_t max_entries) const
{
    std::vector<log_entry> result;
    for (log_index i = from; i <= last_index() && result.size() < max_entries;
         i = log_index(i.value() + 1)) {
        result.push_back(at(i));
    }
    return result;
}

void replicated_log::append(const log_entry& entry)
{
    assert(entry.index.value() == last_index().value() + 1 && "entries must be appended in order");
    entries_.push_back(entry);
    if (entry.kind == entry_kind::members) {
        members_ = entry.members;
        members_index_ = entry.index;
    }
}

void replicated_log::truncate_from(log_index from)
{
    assert(from > base_.index && "entries covered by the snapshot are committed");
    while (last_index() >= from) {
        entries_.pop_back();
    }
    refresh_members();
}

void replicated_log::compact(const snapshot& next)
{
    while (!entries_.empty() && entries_.front().index <= next.index) {
        entries_.pop_front();
    }
    base_ = next;
    refresh_members();
}

member_list replicated_log::members_at(log_index index) const
{
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
        if (entry->kind == entry_kind::members && entry->index <= index) {
            return entry->members;
        }
    }
    return base_.index == log_index(0) ? initial_members_ : base_.members;
}

void replicated_log::refresh_members()
{
    members_ = members_at(last_index());
    members_index_ = base_.index;
    for (const log_entry& entry : entries_) {
        if (entry.kind == entry_kind::members) {
            members_index_ = entry.index;
        }
    }
}

} // namespace fescuedyke
