#ifndef FESCUEDYKE_UNITTESTS_FAULT_HISTORY_H
#define FESCUEDYKE_UNITTESTS_FAULT_HISTORY_H

#include "cluster/cluster.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuedyke {

/// Plays one history of faults and changes that ends in a final fault. All choices follow from the
/// seed.
class fault_history {
public:
    explicit fault_history(std::uint64_t seed);
    /// Returns what went wrong, or an empty string.
    std::string play();

private:
    static control_settings make_settings(random_source& random);
    std::uint64_t draw(std::uint64_t bound) { return draw_below(random_, bound); }
    millis draw_time(std::int64_t from, std::int64_t to);
    /// Adds a line to the trace of faults that a failed history prints.
    void note(const std::string& what);
    std::string describe_members();
    void fail(const std::string& what);
    void after(millis time, std::function<void()> action);
    void run_for(millis time);
    bool run_until(millis timeout, const std::function<bool()>& condition);
    void step();
    /// Checks that a change is accepted only if it is on more disks than may be lost.
    void check_quorum();
    std::optional<std::uint64_t> propose();
    /// Restarts processes that ended by themselves, as the platform does.
    void restart_ended_processes();
    void go_down(const std::string& name);
    void come_back(const std::string& name, millis time);
    std::vector<std::string> pick_seeds();
    /// An instance that is cut off by a split stays lost until some time after the split.
    void count_as_lost(const std::string& name, millis time);
    bool is_lost(const std::string& name) const;
    /// Instances that count as lost; their disks may be lost, too.
    std::size_t lost_count() const;
    std::vector<std::string> sound_instances();
    void found_group();
    /// Often ends as soon as fewer instances count as lost, when the next ones may be lost.
    void run_between_faults();
    void inject_fault();
    void disturb(const std::string& name);
    void recover_after(const std::string& name, millis time);
    void lose_disk_until_start(const std::string& name);
    void lose_disk(const std::string& name);
    /// Removes the instance for good and adds another one with an empty disk.
    void replace(const std::string& name);
    /// Kills all processes, or cuts the power of all instances.
    void stop_all();
    /// Splits the instances into two halves, whatever else is lost.
    void split();
    /// Runs until a change was accepted, or until shortly after it was sent.
    void run_until_changes_are_accepted();
    void final_fault();
    bool holds_all_accepted(const std::string& leader);
    /// Reads at the leader, and asks again as long as no answer comes, as an operator does.
    void read_back();

    random_source random_;
    cluster::control_cluster c_;
    /// Actions that are due at a later time.
    std::multimap<instant, std::function<void()>> planned_;
    /// Instances that were not removed for good.
    std::set<std::string> present_;
    /// Instances whose process does not run until it comes back.
    std::set<std::string> down_;
    std::map<std::string, instant> lost_until_;
    instant split_until_;
    /// Change ids by the number of the request that has no answer yet.
    std::map<std::uint64_t, std::string> pending_;
    /// Results of the accepted changes by change id.
    std::map<std::string, change_result> accepted_;
    std::uint64_t changes_ = 0;
    int last_instance_ = 5;
    bool proposes_ = false;
    std::string trace_;
    std::string failure_;
};

} // namespace fescuedyke

#endif
