#include "cluster/cluster.h"

namespace fescuedyke::cluster {

namespace {

constexpr millis step_time{10};
constexpr millis link_delay{2};

member_entry make_entry(const std::string& name)
{
    member_entry entry;
    entry.id.name = name;
    entry.address = {name, 1};
    entry.api_address = {name, 2};
    return entry;
}

} // namespace

control_cluster::control_cluster(int members, std::uint64_t seed, const control_settings& settings)
    : settings_(settings), random_(seed)
{
    for (int i = 1; i <= members; ++i) {
        members_["m" + std::to_string(i)];
    }
    for (const std::string& name : names()) {
        const absl::Status started = start(name);
        if (!started.ok()) {
            violation_ = std::string(started.message());
        }
    }
}

std::vector<std::string> control_cluster::names() const
{
    std::vector<std::string> member_names;
    for (const auto& [name, m] : members_) {
        member_names.push_back(name);
    }
    return member_names;
}

absl::Status control_cluster::start(const std::string& name)
{
    member& m = members_.at(name);
    ++m.start_count;
    m.store = std::make_unique<member_store>(m.disk);
    m.accounts = std::make_unique<account_store>(settings_.accounts, m.disk);
    m.random = std::make_unique<random_source>(random_());
    const absl::StatusOr<stored_member> recovered = m.store->open(name, random_() | 1U);
    if (!recovered.ok()) {
        return recovered.status();
    }
    if (absl::Status opened = m.accounts->open(); !opened.ok()) {
        return opened;
    }
    m.bytes_read = recovered->bytes_read;
    member_list initial;
    for (const std::string& other : m.seeds.empty() ? names() : m.seeds) {
        initial.push_back(make_entry(other));
        initial.back().voter = m.may_bootstrap;
    }
    member_entry self = make_entry(name);
    self.id = recovered->id;
    control_settings settings = settings_;
    settings.raft.may_bootstrap = m.may_bootstrap;
    m.core = std::make_unique<control_core>(settings, self, initial, *recovered, ++last_epoch_,
                                            *m.store, *m.accounts, *m.random);
    return absl::OkStatus();
}

absl::Status control_cluster::add_member(const std::string& name,
                                         const std::vector<std::string>& seeds, bool may_bootstrap)
{
    member& m = members_[name];
    m.seeds = seeds;
    m.may_bootstrap = may_bootstrap;
    return start(name);
}

void control_cluster::end_bootstrap()
{
    for (auto& [name, m] : members_) {
        m.may_bootstrap = false;
    }
}

void control_cluster::propose_document(const std::string& at, std::uint64_t request,
                                       const document_change& change)
{
    handle(at, document_change_requested{request_id(request), change});
}

void control_cluster::send_departure(const std::string& at, std::uint64_t request,
                                     const departure_request& message)
{
    handle(at, departure_received{request_id(request), message});
}

void control_cluster::read_document(const std::string& at, std::uint64_t request)
{
    handle(at, document_read_requested{request_id(request)});
}

void control_cluster::crash(const std::string& name)
{
    members_.at(name).core.reset();
}

void control_cluster::isolate(const std::string& name)
{
    for (const std::string& other : names()) {
        blocked_links_.insert({name, other});
        blocked_links_.insert({other, name});
    }
}

void control_cluster::run_for(millis time)
{
    const instant until = now_ + time;
    while (now_ < until) {
        step();
    }
}

bool control_cluster::run_until(millis timeout, const std::function<bool()>& condition)
{
    const instant until = now_ + timeout;
    while (now_ < until) {
        if (condition()) {
            return true;
        }
        step();
    }
    return condition();
}

void control_cluster::step()
{
    now_ = now_ + step_time;
    while (!stops() && !in_flight_.empty() && in_flight_.begin()->first <= now_) {
        const queued_message message = in_flight_.begin()->second;
        in_flight_.erase(in_flight_.begin());
        if (blocked_links_.count({message.from, message.to}) == 0) {
            handle(message.to, message.event);
        }
    }
    for (const std::string& name : names()) {
        if (stops()) {
            return;
        }
        handle(name, control_tick{});
    }
}

void control_cluster::handle(const std::string& name, const control_event& event)
{
    member& m = members_.at(name);
    if (!m.core || m.paused) {
        return;
    }
    const wall_time wall(now_.since_origin());
    const control_actions actions = m.core->handle(event, {now_, wall});
    if (!m.core->disk_status().ok() && !keeps_members_with_failed_disks_) {
        // A torn write counts as a crash, so the actions that follow it are dropped.
        m.core.reset();
        return;
    }
    check_invariants(name);
    carry_out(name, actions);
}

void control_cluster::carry_out(const std::string& name, const control_actions& actions)
{
    for (const control_action& action : actions) {
        if (const auto* a = std::get_if<send_consensus>(&action)) {
            send(name, member_at(a->address), consensus_received{a->message});
        }
        if (const auto* a = std::get_if<send_member_sync>(&action)) {
            send(name, member_at(a->address), member_sync_received{request_id(0), a->sync});
        }
        if (const auto* a = std::get_if<answer_member_sync>(&action)) {
            (void)a;
        }
        if (const auto* a = std::get_if<send_account_copies>(&action)) {
            const std::uint64_t request = next_request_++;
            sent_copies_[request] = {name, a->member, a->copies.number};
            send(name, member_at(a->address),
                 account_copies_received{request_id(request), a->copies});
        }
        if (const auto* a = std::get_if<answer_account_copies>(&action)) {
            const sent_copies& sent = sent_copies_.at(a->request.value());
            if (a->reply.stored) {
                send(name, sent.from, account_copies_stored{sent.to, sent.number});
            }
        }
        if (const auto* a = std::get_if<answer_change>(&action)) {
            answers_[a->request.value()] = *a;
        }
        if (const auto* a = std::get_if<answer_departure>(&action)) {
            departure_replies_[a->request.value()] = a->reply;
        }
        if (const auto* a = std::get_if<answer_document>(&action)) {
            documents_[a->request.value()] = *a;
        }
        if (const auto* a = std::get_if<answer_poll>(&action)) {
            const auto pending = polls_.find(a->request.value());
            if (pending != polls_.end()) {
                pending->second(a->reply);
                polls_.erase(pending);
            }
        }
    }
}

void control_cluster::send(const std::string& from, const std::string& to,
                           const control_event& event)
{
    if (members_.count(to) == 0) {
        return;
    }
    const auto occurs = [&](int percent) {
        return static_cast<int>(draw_below(random_, 100)) < percent;
    };
    const int copies =
        occurs(faults_.loss_percent) ? 0 : (occurs(faults_.duplicate_percent) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
        const auto delay_range = static_cast<std::uint64_t>(faults_.max_jitter.count()) + 1;
        const millis extra_delay(static_cast<std::int64_t>(draw_below(random_, delay_range)));
        in_flight_.emplace(now_ + link_delay + extra_delay, queued_message{from, to, event});
    }
}

std::string control_cluster::member_at(const endpoint& address) const
{
    return address.host;
}

void control_cluster::check_invariants(const std::string& name)
{
    const control_core& core = *members_.at(name).core;
    const raft_core& raft = core.raft();
    if (raft.is_leader()) {
        const auto [held, inserted] = leader_by_term_.emplace(raft.term().value(), name);
        if (!inserted && held->second != name) {
            violation_ = "term " + std::to_string(raft.term().value()) + " has two leaders";
        }
    }
    const std::uint64_t first_held = raft.log().first_index().value();
    for (std::uint64_t i = raft.commit_index().value(); i >= first_held && i > 0; --i) {
        const std::uint64_t term = raft.log().term_at(log_index(i))->value();
        const auto [held, inserted] = committed_term_by_index_.emplace(i, term);
        if (!inserted && held->second != term) {
            violation_ = "two different entries were committed at index " + std::to_string(i);
        }
        if (!inserted) {
            break;
        }
    }
}

std::optional<std::string> control_cluster::leader() const
{
    for (const auto& [name, m] : members_) {
        if (m.core && !m.paused && m.core->raft().holds_leader_lease(now_)) {
            return name;
        }
    }
    return std::nullopt;
}

std::uint64_t control_cluster::propose(const std::string& at, const policy_change& change)
{
    const std::uint64_t request = next_request_++;
    handle(at, policy_change_requested{request_id(request), change});
    return request;
}

void control_cluster::poll(const std::string& at, const node_poll& poll,
                           const std::function<void(const poll_reply&)>& done)
{
    const std::uint64_t request = next_request_++;
    polls_[request] = done;
    handle(at, poll_received{request_id(request), poll});
}

policy_change make_change(const std::string& id, const std::string& name, std::uint64_t based_on)
{
    policy_change change;
    change.change_id = id;
    change.operator_name = "ada";
    change.owner = owner_name("inkwell");
    change.name = name;
    change.based_on = based_on;
    change.yaml = "policy: " + name + "\nowner: inkwell\n# " + id + "\n";
    return change;
}

} // namespace fescuedyke::cluster
