#include "control/fault_history.h"

#include <algorithm>
#include <array>

namespace fescuedyke {

namespace {

using cluster::make_change;

constexpr std::size_t voters_wanted = 5;
/// Number of instances whose disks may be lost at the same time.
constexpr std::size_t max_lost_disks = 2;
/// Time after its return during which an instance still counts as lost.
constexpr millis catch_up_time{4000};
/// Time after the return of all instances within which the operators can read again.
constexpr millis recovery_time{15'000};
constexpr millis step_time{10};

constexpr std::array disturbances = {
    "kill", "cut power of", "kill during a sync", "freeze", "cut off", "lose disk", "replace"};

} // namespace

fault_history::fault_history(std::uint64_t seed)
    : random_(seed), c_(3, seed ^ 0x5eedU, make_settings(random_))
{
}

std::string fault_history::play()
{
    found_group();
    const std::uint64_t faults = draw(6);
    for (std::uint64_t i = 0; i < faults && failure_.empty(); ++i) {
        inject_fault();
        run_between_faults();
    }
    run_until_changes_are_accepted();
    if (failure_.empty()) {
        final_fault();
        read_back();
    }
    const std::string failure = failure_.empty() ? c_.violation() : failure_;
    return failure.empty() ? "" : failure + "\n" + trace_ + describe_members();
}

control_settings fault_history::make_settings(random_source& random)
{
    control_settings settings;
    settings.raft.desired_voters = voters_wanted;
    settings.assigns_keys = false;
    settings.entries_per_snapshot = draw_below(random, 2) == 0 ? 6 : 256;
    return settings;
}

millis fault_history::draw_time(std::int64_t from, std::int64_t to)
{
    return millis(from + static_cast<std::int64_t>(draw(static_cast<std::uint64_t>(to - from))));
}

void fault_history::note(const std::string& what)
{
    trace_ += std::to_string(c_.now().since_origin()) + " " + what + "\n";
}

std::string fault_history::describe_members()
{
    std::string text;
    for (const std::string& name : c_.names()) {
        text += name + ":";
        if (c_.is_up(name)) {
            const raft_core& raft = c_.core(name).raft();
            text += std::string(" ") + to_string(raft.role()) + " term " +
                    std::to_string(raft.term().value()) + " last " +
                    std::to_string(raft.log().last_index().value()) + " disk " +
                    std::to_string(raft.self().disk_id % 1000) + " members";
            for (const member_entry& m : raft.log().members()) {
                text += " " + m.id.name + "/" + std::to_string(m.id.disk_id % 1000) +
                        (m.voter ? "" : "(learner)");
            }
        }
        text += "\n";
    }
    return text;
}

void fault_history::fail(const std::string& what)
{
    if (failure_.empty()) {
        failure_ = what;
    }
}

void fault_history::after(millis time, std::function<void()> action)
{
    planned_.emplace(c_.now() + time, std::move(action));
}

void fault_history::run_for(millis time)
{
    const instant until = c_.now() + time;
    while (c_.now() < until && failure_.empty()) {
        step();
    }
}

bool fault_history::run_until(millis timeout, const std::function<bool()>& condition)
{
    const instant until = c_.now() + timeout;
    bool holds = condition();
    while (!holds && c_.now() < until && failure_.empty()) {
        step();
        holds = condition();
    }
    return holds;
}

void fault_history::step()
{
    c_.run_for(step_time);
    while (!planned_.empty() && planned_.begin()->first <= c_.now()) {
        const std::function<void()> action = planned_.begin()->second;
        planned_.erase(planned_.begin());
        action();
    }
    restart_ended_processes();
    for (auto it = pending_.begin(); it != pending_.end();) {
        const auto answer = c_.answers().find(it->first);
        if (answer == c_.answers().end()) {
            ++it;
            continue;
        }
        if (answer->second.outcome == change_outcome::committed) {
            accepted_[it->second] = answer->second.result;
        }
        it = pending_.erase(it);
    }
    check_quorum();
    if (proposes_ && draw(30) == 0) {
        propose();
    }
}

void fault_history::check_quorum()
{
    const auto leader = c_.leader();
    if (!leader || !proposes_) {
        return;
    }
    const member_list& members = c_.core(*leader).raft().log().members();
    const auto voters = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto& m) { return m.voter; }));
    if (voters / 2 + 1 <= max_lost_disks) {
        fail("changes are accepted on " + std::to_string(voters / 2 + 1) + " disks");
    }
}

std::optional<std::uint64_t> fault_history::propose()
{
    const auto leader = c_.leader();
    if (!leader) {
        return std::nullopt;
    }
    const std::string id = "id" + std::to_string(++changes_);
    const std::uint64_t request = c_.propose(*leader, make_change(id, "p" + id, 0));
    pending_[request] = id;
    return request;
}

void fault_history::restart_ended_processes()
{
    for (const std::string& name : present_) {
        if (down_.count(name) == 0 && !c_.is_up(name)) {
            go_down(name);
            come_back(name, draw_time(200, 1000));
        }
    }
}

void fault_history::go_down(const std::string& name)
{
    c_.crash(name);
    c_.disk(name).repair();
    down_.insert(name);
    count_as_lost(name, millis(60'000));
}

void fault_history::come_back(const std::string& name, millis time)
{
    after(time, [this, name] {
        if (down_.count(name) == 0 || present_.count(name) == 0) {
            return;
        }
        note("start " + name);
        down_.erase(name);
        count_as_lost(name, catch_up_time);
        if (const absl::Status started = c_.add_member(name, pick_seeds(), false); !started.ok()) {
            fail(name + " does not start: " + std::string(started.message()));
        }
    });
}

std::vector<std::string> fault_history::pick_seeds()
{
    std::vector<std::string> names(present_.begin(), present_.end());
    std::shuffle(names.begin(), names.end(), random_);
    names.resize(3);
    return names;
}

void fault_history::count_as_lost(const std::string& name, millis time)
{
    lost_until_[name] = std::max(c_.now(), split_until_) + time;
}

bool fault_history::is_lost(const std::string& name) const
{
    const auto found = lost_until_.find(name);
    return found != lost_until_.end() && found->second > c_.now();
}

std::size_t fault_history::lost_count() const
{
    return static_cast<std::size_t>(std::count_if(
        present_.begin(), present_.end(), [&](const std::string& n) { return is_lost(n); }));
}

std::vector<std::string> fault_history::sound_instances()
{
    std::vector<std::string> names;
    for (const std::string& name : present_) {
        if (!is_lost(name)) {
            names.push_back(name);
        }
    }
    std::shuffle(names.begin(), names.end(), random_);
    return names;
}

void fault_history::found_group()
{
    present_ = {"m1", "m2", "m3", "m4", "m5"};
    if (!c_.add_member("m4", {"m1", "m2", "m3"}, true).ok() ||
        !c_.add_member("m5", {"m1", "m2", "m3"}, true).ok()) {
        fail("a new member does not start");
    }
    for (const std::string& name : present_) {
        count_as_lost(name, catch_up_time);
    }
    run_for(draw_time(0, 6000));
    run_until(catch_up_time, [&] { return lost_count() == 0; });
    c_.end_bootstrap();
    c_.set_faults({0, 0, draw_time(0, 30)});
    proposes_ = true;
}

void fault_history::run_between_faults()
{
    if (draw(2) == 0) {
        return run_for(draw_time(0, 7000));
    }
    const std::size_t limit = draw(max_lost_disks);
    run_until(millis(10'000), [&] { return lost_count() <= limit; });
}

void fault_history::inject_fault()
{
    if (draw(8) == 0) {
        note("stop all");
        stop_all();
        return;
    }
    if (draw(8) == 0) {
        note("split");
        split();
        return;
    }
    const std::vector<std::string> sound = sound_instances();
    if (lost_count() >= max_lost_disks || sound.empty()) {
        return;
    }
    const auto leader = c_.leader();
    const bool hits_leader = leader && !is_lost(*leader) && draw(2) == 0;
    const std::string name = hits_leader ? *leader : sound[0];
    disturb(name);
}

void fault_history::disturb(const std::string& name)
{
    const std::uint64_t kind = draw(7);
    note(std::string(disturbances[kind]) + " " + name);
    switch (kind) {
    case 0:
        go_down(name);
        return come_back(name, draw_time(200, 3500));
    case 1:
        go_down(name);
        c_.disk(name).lose_power(random_);
        return come_back(name, draw_time(200, 3500));
    case 2: {
        // The process is killed during its next sync.
        count_as_lost(name, draw_time(3000, 3500) + catch_up_time);
        c_.disk(name).interrupt_next_sync();
        after(millis(2000), [this, name] { c_.disk(name).repair(); });
        return;
    }
    case 3:
        c_.pause(name);
        return recover_after(name, draw_time(500, 4000));
    case 4:
        c_.isolate(name);
        return recover_after(name, draw_time(500, 4000));
    case 5:
        return lose_disk(name);
    default:
        return replace(name);
    }
}

void fault_history::recover_after(const std::string& name, millis time)
{
    count_as_lost(name, time + catch_up_time);
    after(time, [this, name] {
        c_.resume(name);
        c_.unblock_links();
    });
}

void fault_history::lose_disk_until_start(const std::string& name)
{
    go_down(name);
    c_.disk(name).wipe();
}

void fault_history::lose_disk(const std::string& name)
{
    lose_disk_until_start(name);
    come_back(name, draw_time(900, 1500));
}

void fault_history::replace(const std::string& name)
{
    c_.crash(name);
    present_.erase(name);
    const std::string next = "m" + std::to_string(++last_instance_);
    present_.insert(next);
    if (!c_.add_member(next, pick_seeds(), false).ok()) {
        return fail(next + " does not start");
    }
    lose_disk_until_start(next);
    come_back(next, draw_time(0, 2000));
}

void fault_history::stop_all()
{
    const bool loses_power = draw(2) == 0;
    for (const std::string& name : present_) {
        go_down(name);
        if (loses_power) {
            c_.disk(name).lose_power(random_);
        }
        come_back(name, draw_time(300, 1000));
    }
}

void fault_history::split()
{
    std::vector<std::string> names(present_.begin(), present_.end());
    std::shuffle(names.begin(), names.end(), random_);
    for (std::size_t i = 0; i < 2; ++i) {
        for (std::size_t j = 2; j < names.size(); ++j) {
            c_.block_link(names[i], names[j]);
            c_.block_link(names[j], names[i]);
        }
    }
    const millis time = draw_time(500, 5000);
    split_until_ = c_.now() + time;
    after(time, [this] { c_.unblock_links(); });
    for (const std::string& name : names) {
        if (is_lost(name)) {
            count_as_lost(name, catch_up_time);
        }
    }
}

void fault_history::run_until_changes_are_accepted()
{
    std::optional<std::uint64_t> request;
    const bool sent = run_until(millis(20'000), [&] {
        request = propose();
        return request.has_value();
    });
    if (!sent) {
        return fail("no leader before the final fault");
    }
    if (draw(2) == 0) {
        run_for(draw_time(5, 400));
        return;
    }
    c_.stop_at_answer(request);
    run_until(millis(3000), [&] { return pending_.count(*request) == 0; });
    c_.stop_at_answer(std::nullopt);
}

void fault_history::final_fault()
{
    proposes_ = false;
    planned_.clear();
    c_.unblock_links();
    const std::vector<std::string> sound = sound_instances();
    const std::size_t losable = max_lost_disks - std::min(max_lost_disks, lost_count());
    const std::size_t wiped = std::min(losable, sound.size());
    const std::uint64_t kind = draw(5);
    note("final fault " + std::to_string(kind) + ", accepted " + std::to_string(accepted_.size()));
    for (const std::string& name : present_) {
        c_.resume(name);
        const auto chosen = std::find(sound.begin(), sound.end(), name);
        const bool loses_disk = kind >= 2 && chosen != sound.end() &&
                                static_cast<std::size_t>(chosen - sound.begin()) < wiped;
        const bool ends = kind < 4 || loses_disk || down_.count(name) != 0;
        if (!ends) {
            c_.disk(name).repair();
            continue;
        }
        go_down(name);
        if (loses_disk) {
            note("lose disk " + name);
            c_.disk(name).wipe();
        }
        else if (kind != 1 && kind != 4) {
            c_.disk(name).lose_power(random_);
        }
        come_back(name, loses_disk ? draw_time(900, 1500) : draw_time(300, 1500));
    }
    run_for(millis(1500));
}

bool fault_history::holds_all_accepted(const std::string& leader)
{
    const control_state& state = c_.core(leader).state();
    return std::all_of(accepted_.begin(), accepted_.end(), [&](const auto& a) {
        const change_result* result = state.find_result(a.first);
        return result != nullptr && result->version == a.second.version;
    });
}

void fault_history::read_back()
{
    std::uint64_t request = 1'000'000'000;
    const instant deadline = c_.now() + recovery_time;
    while (c_.now() < deadline && failure_.empty()) {
        const auto leader = c_.leader();
        if (!leader) {
            step();
            continue;
        }
        c_.read_document(*leader, ++request);
        run_until(millis(1000), [&] { return c_.documents().count(request) != 0; });
        const auto answer = c_.documents().find(request);
        if (answer == c_.documents().end() || answer->second.outcome != change_outcome::committed) {
            continue;
        }
        if (!holds_all_accepted(*leader)) {
            fail("an accepted change is lost");
        }
        return;
    }
    fail("no read is answered after the final fault");
}

} // namespace fescuedyke
