#include "cluster/cluster.h"

namespace fescuedyke::cluster {

namespace {

constexpr millis step_time{10};
constexpr millis link_delay{2};

member_entry entry_of(const std::string& name)
{
    member_entry e;
    e.id.name = name;
    e.address = {name, 1};
    e.api_address = {name, 2};
    return e;
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
    std::vector<std::string> result;
    for (const auto& [name, m] : members_) {
        result.push_back(name);
    }
    return result;
}

absl::Status control_cluster::start(const std::string& name)
{
    member& m = members_.at(name);
    ++m.starts;
    m.store = std::make_unique<member_store>(m.disk);
    m.accounts = std::make_unique<account_store>(settings_.accounts, m.disk);
    m.random = std::make_unique<random_source>(random_());
    const absl::StatusOr<stored_member> found = m.store->open(name, random_() | 1U);
    if (!found.ok()) {
        return found.status();
    }
    if (absl::Status opened = m.accounts->open(); !opened.ok()) {
        return opened;
    }
    m.bytes_read = found->bytes_read;
    member_list initial;
    for (const std::string& other : m.seeds.empty() ? names() : m.seeds) {
        initial.push_back(entry_of(other));
        initial.back().voter = m.founding;
    }
    member_entry self = entry_of(name);
    self.id = found->id;
    control_settings settings = settings_;
    settings.raft.may_bootstrap = m.founding;
    m.core = std::make_unique<control_core>(settings, self, initial, *found, ++epochs_, *m.store,
                                            *m.accounts, *m.random);
    return absl::OkStatus();
}

absl::Status control_cluster::add(const std::string& name, const std::vector<std::string>& seeds,
                                  bool founding)
{
    member& m = members_[name];
    m.seeds = seeds;
    m.founding = founding;
    return start(name);
}

void control_cluster::founded()
{
    for (auto& [name, m] : members_) {
        m.founding = false;
    }
}

void control_cluster::propose_document(const std::string& at, std::uint64_t request,
                                       const document_change& change)
{
    handle(at, document_change_requested{request_id(request), change});
}

void control_cluster::read_document(const std::string& at, std::uint64_t request)
{
    handle(at, document_read_requested{request_id(request)});
}

void control_cluster::crash(const std::string& name)
{
    members_.at(name).core.reset();
}

void control_cluster::cut_off(const std::string& name)
{
    for (const std::string& other : names()) {
        cut_.insert({name, other});
        cut_.insert({other, name});
    }
}

void control_cluster::run_for(millis time)
{
    const instant until = now_ + time;
    while (now_ < until) {
        step();
    }
}

bool control_cluster::run_until(millis limit, const std::function<bool()>& condition)
{
    const instant until = now_ + limit;
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
    while (!on_the_way_.empty() && on_the_way_.begin()->first <= now_) {
        const parcel p = on_the_way_.begin()->second;
        on_the_way_.erase(on_the_way_.begin());
        if (cut_.count({p.from, p.to}) == 0) {
            handle(p.to, p.event);
        }
    }
    for (const std::string& name : names()) {
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
    if (!m.core->disk_status().ok()) {
        // A torn write is a crash: nothing that was to follow it happens.
        m.core.reset();
        return;
    }
    check(name);
    carry_out(name, actions);
}

void control_cluster::carry_out(const std::string& name, const control_actions& actions)
{
    for (const control_action& action : actions) {
        if (const auto* a = std::get_if<send_consensus>(&action)) {
            post(name, name_at(a->address), consensus_received{a->message});
        }
        if (const auto* a = std::get_if<send_member_sync>(&action)) {
            post(name, name_at(a->address), member_sync_received{request_id(0), a->sync});
        }
        if (const auto* a = std::get_if<answer_member_sync>(&action)) {
            (void)a;
        }
        if (const auto* a = std::get_if<answer_change>(&action)) {
            answers_[a->request.value()] = *a;
        }
        if (const auto* a = std::get_if<answer_document>(&action)) {
            documents_[a->request.value()] = *a;
        }
        if (const auto* a = std::get_if<answer_poll>(&action)) {
            const auto found = polls_.find(a->request.value());
            if (found != polls_.end()) {
                found->second(a->reply);
                polls_.erase(found);
            }
        }
    }
}

void control_cluster::post(const std::string& from, const std::string& to,
                           const control_event& event)
{
    if (members_.count(to) == 0) {
        return;
    }
    const auto chance = [&](int share) {
        return static_cast<int>(draw_below(random_, 100)) < share;
    };
    const int copies = chance(faults_.lose) ? 0 : (chance(faults_.repeat) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
        const auto most = static_cast<std::uint64_t>(faults_.jitter.count()) + 1;
        const millis extra(static_cast<std::int64_t>(draw_below(random_, most)));
        on_the_way_.emplace(now_ + link_delay + extra, parcel{from, to, event});
    }
}

std::string control_cluster::name_at(const endpoint& address) const
{
    return address.host;
}

void control_cluster::check(const std::string& name)
{
    const control_core& core = *members_.at(name).core;
    const raft_core& raft = core.raft();
    if (raft.is_leader()) {
        const auto [held, first] = leaders_.emplace(raft.term().value(), name);
        if (!first && held->second != name) {
            violation_ = "term " + std::to_string(raft.term().value()) + " has two leaders";
        }
    }
    const std::uint64_t first_held = raft.log().first_index().value();
    for (std::uint64_t i = raft.commit_index().value(); i >= first_held && i > 0; --i) {
        const std::uint64_t term = raft.log().term_at(log_index(i))->value();
        const auto [held, fresh] = committed_terms_.emplace(i, term);
        if (!fresh && held->second != term) {
            violation_ = "two entries were committed at " + std::to_string(i);
        }
        if (!fresh) {
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
