#include "world/world.h"

#include "fescuedyke/node/caller_headers.h"

#include <algorithm>
#include <cassert>
#include <stdexcept>

namespace fescuedyke::world {

namespace {

constexpr millis tick_period{10};
constexpr millis same_region_delay{1};
constexpr millis cross_region_delay{20};
constexpr millis unlimited_lease{1'000'000'000};

} // namespace

simulation::simulation(std::uint64_t seed, settings_adjuster adjust_settings)
    : adjust_settings_(std::move(adjust_settings)), random_(seed)
{
    schedule(tick_period, [this] { tick_all(); });
}

simulation::~simulation() = default;

void simulation::add_site(const site_options& options)
{
    site& s = sites_[options.name];
    s.options = options;
    start_core(s);
}

void simulation::start_core(site& s)
{
    node_settings settings;
    settings.self = instance_id(s.options.name);
    settings.self_incarnation = incarnation(++s.start_count);
    settings.location = {region_name(s.options.region), zone_name(s.options.zone)};
    settings.address = {s.options.name, 1};
    settings.owner = owner_name(s.options.owner);
    settings.region_bytes_per_second = 1ULL << 30U;
    if (adjust_settings_) {
        adjust_settings_(settings);
    }
    s.random = std::make_unique<random_source>(random_());
    s.core = std::make_unique<node_core>(settings, *s.random);
}

void simulation::set_policies(const std::vector<std::string>& yaml)
{
    std::map<std::string, policy> policies;
    for (const std::string& text : yaml) {
        const absl::StatusOr<policy> p = parse_policy(text);
        if (!p.ok()) {
            throw std::invalid_argument(std::string(p.status().message()));
        }
        policies[p->owner.value() + "/" + p->name] = *p;
    }
    policies_ = std::make_shared<policy_set>(config_version(1), policies);
}

void simulation::activate()
{
    std::map<std::string, std::vector<std::string>> sites_by_service;
    for (const auto& [name, s] : sites_) {
        sites_by_service[s.options.service].push_back(name);
    }
    owners_.version = 1;
    for (const auto& [service, names] : sites_by_service) {
        bucket_grants& grants = owners_.homes[{service_name(service), region_name()}];
        for (std::uint32_t i = 0; i < buckets_per_home; ++i) {
            grants[i] = {instance_id(names[i % names.size()]), incarnation(1), 1, 1, {}, {}};
        }
    }
    publish();
    for (const auto& [name, s] : sites_) {
        grant_lease(name, unlimited_lease);
    }
}

void simulation::publish()
{
    auto view = std::make_shared<target_view>();
    view->version = ++view_version_;
    for (const auto& [name, s] : sites_) {
        if (s.core) {
            const site_options& o = s.options;
            target_info t;
            t.instance = instance_id(name);
            t.node_incarnation = incarnation(s.start_count);
            t.node_address = {name, 1};
            t.location = {region_name(o.region), zone_name(o.zone)};
            t.service = service_name(o.service);
            t.owner = owner_name(o.owner);
            t.slots = o.announced_slots > 0 ? o.announced_slots : o.slots;
            view->services[t.service].push_back(t);
        }
    }
    const auto table = std::make_shared<bucket_table>(owners_);
    for (auto& [name, s] : sites_) {
        if (!s.core) {
            continue;
        }
        handle(name, policies_updated{policies_});
        handle(name, targets_updated{view});
        handle(name, owners_updated{table});
        target_announced a;
        a.service = service_name(s.options.service);
        const site_options& o = s.options;
        a.slots = o.announced_slots > 0 ? o.announced_slots : o.slots;
        a.lease = unlimited_lease;
        a.target_incarnation = 1;
        handle(name, a);
    }
}

void simulation::grant_lease(const std::string& name, millis length)
{
    handle(name, lease_renewed{now_ + length, 0});
}

node_core& simulation::core(const std::string& name)
{
    return *sites_.at(name).core;
}

void simulation::schedule(millis delay, std::function<void()> work)
{
    scheduled_.push({now_ + delay, next_sequence_++, std::move(work)});
}

void simulation::run_for(millis time)
{
    const instant until = now_ + time;
    while (!scheduled_.empty() && scheduled_.top().when <= until) {
        const scheduled_work item = scheduled_.top();
        scheduled_.pop();
        now_ = item.when;
        item.work();
    }
    now_ = until;
}

void simulation::tick_all()
{
    schedule(tick_period, [this] { tick_all(); });
    for (auto& [name, s] : sites_) {
        if (!s.paused) {
            handle(name, tick{});
        }
    }
}

void simulation::set_service_time(const std::string& service, millis time)
{
    for (auto& [name, s] : sites_) {
        if (s.options.service == service) {
            s.options.service_time = time;
        }
    }
}

void simulation::handle(const std::string& name, const node_event& event)
{
    site& s = sites_.at(name);
    if (s.paused) {
        s.waiting_events.push_back(event);
        return;
    }
    if (s.core) {
        carry_out(s, s.core->handle(event, {now_, wall() + s.clock_skew}));
    }
}

void simulation::send(const client_request& request, outcome_callback done)
{
    site& s = sites_.at(request.site);
    auto http = std::make_shared<http_request>();
    http->method = request.method;
    http->path = "/" + request.service;
    http->body = std::make_shared<const std::string>(request.body_bytes, 'x');
    const auto add = [&](const char* name, const std::string& value) {
        if (!value.empty()) {
            http->headers.push_back({name, value});
        }
    };
    add(labels_header, request.labels);
    add(key_header, request.key);
    add("x-key", request.key);
    add("x-tag", request.tag);
    add(attempt_header, request.attempt > 0 ? std::to_string(request.attempt) : "");
    const bool has_timeout = request.timeout > millis(0);
    add(timeout_header, has_timeout ? std::to_string(request.timeout.count()) + "ms" : "");
    const exchange_id exchange(next_exchange_++);
    if (!s.core) {
        done(outcome::unknown(outcome_reason::connection_lost), {});
        return;
    }
    s.pending_callers[exchange] = std::move(done);
    handle(request.site, caller_request{exchange, service_name(request.service), http});
}

millis simulation::link_delay(const std::string& a, const std::string& b) const
{
    const bool cross_region = sites_.at(a).options.region != sites_.at(b).options.region;
    return cross_region ? cross_region_delay : same_region_delay;
}

bool simulation::is_blocked(const std::string& a, const std::string& b) const
{
    return blocked_links_.count(ordered_pair(a, b)) != 0;
}

void simulation::deliver(const std::string& from, const std::string& to, std::function<void()> work)
{
    if (!is_blocked(from, to)) {
        schedule(link_delay(from, to), std::move(work));
    }
}

void simulation::carry_out(site& s, const node_actions& actions)
{
    for (const node_action& action : actions) {
        std::visit([&](const auto& a) { carry_out(s, a); }, action);
    }
}

void simulation::carry_out(site& s, const answer_caller& a)
{
    const auto found = s.pending_callers.find(a.exchange);
    assert(found != s.pending_callers.end() && "answer to an unknown or already answered caller");
    const outcome_callback done = std::move(found->second);
    s.pending_callers.erase(found);
    done(a.result, a.response);
}

void simulation::carry_out(site& s, const send_call& a)
{
    const std::string from = s.options.name;
    const std::string to = a.instance.value();
    const std::uint64_t id = next_exchange_++;
    streams_[id] = {from, to, a.context.call, a.context.attempt};
    stream_ids_[{a.context.call.value(), a.context.attempt}] = id;
    call_context context = a.context;
    if (redraw_subpriority_) {
        context.priority_rank = rank(context.priority_rank.cls(),
                                     static_cast<std::uint16_t>(draw_below(random_, 65'536)));
    }
    if (static_cast<int>(draw_below(random_, 100)) < duplicate_percent_) {
        const auto delay_range = static_cast<std::uint64_t>(max_duplicate_delay_.count());
        schedule(millis(static_cast<std::int64_t>(draw_below(random_, delay_range))), [=] {
            handle(to, peer_call{exchange_id(id), context, a.request});
        });
    }
    deliver(from, to, [=] {
        if (!sites_.at(to).core) {
            handle(from,
                   peer_failed{a.context.call, a.context.attempt, peer_failure::never_processed});
            return;
        }
        handle(to, peer_call{exchange_id(id), context, a.request});
    });
}

void simulation::carry_out(site& s, const cancel_call& a)
{
    const auto found = stream_ids_.find({a.call.value(), a.attempt});
    if (found != stream_ids_.end()) {
        const std::uint64_t id = found->second;
        const std::string to = a.instance.value();
        deliver(s.options.name, to, [=] { handle(to, peer_cancelled{exchange_id(id)}); });
    }
}

void simulation::carry_out(site& s, const reply_call& a)
{
    const std::uint64_t id = std::get<exchange_id>(a.to).value();
    const stream to = streams_.at(id);
    deliver(s.options.name, to.from, [=] {
        handle(to.from, peer_reply{to.call, to.attempt, a.reply});
    });
}

void simulation::carry_out(site& s, const hand_over_records& a)
{
    const std::string to = a.instance.value();
    deliver(s.options.name, to, [=] { handle(to, a.records); });
}

void simulation::carry_out(site& s, const dispatch_call& a)
{
    const std::string name = s.options.name;
    const inbound_id call = a.call;
    if (static_cast<int>(s.running.size()) < s.options.slots) {
        start_run(s, a);
        return;
    }
    if (s.queued.size() < s.options.queue) {
        s.queued.push_back(a);
        return;
    }
    http_response shed{503, {{not_run_header, "true"}}, nullptr};
    schedule(millis(0), [=] { handle(name, target_answered{call, shed, reports_not_run(shed)}); });
}

void simulation::start_run(site& s, const dispatch_call& a)
{
    const std::string name = s.options.name;
    const inbound_id call = a.call;
    ++dispatch_count_;
    const std::string* key = find_header(a.request->headers, "x-key");
    const std::string* tag = find_header(a.request->headers, "x-tag");
    runs_.push_back({s.options.service, key != nullptr ? *key : "", tag != nullptr ? *tag : "",
                     now_, now_, false});
    s.running[call] = {runs_.size() - 1, 0, a.token};
    const auto variation_percent = static_cast<std::int64_t>(draw_below(random_, 41)) - 20;
    const millis time(s.options.service_time.count() * (100 + variation_percent) / 100);
    const std::uint64_t start = s.start_count;
    schedule(time, [=] {
        if (sites_.at(name).start_count == start) {
            call_next_service(name, call);
        }
    });
}

void simulation::call_next_service(const std::string& name, inbound_id call)
{
    site& s = sites_.at(name);
    const auto found = s.running.find(call);
    if (found == s.running.end() || !s.core) {
        return;
    }
    target_run& run = found->second;
    if (run.next_call == s.options.downstream_services.size()) {
        complete_run(s, call, 200);
        return;
    }
    const std::string service = s.options.downstream_services[run.next_call++];
    auto http = std::make_shared<http_request>();
    http->method = "GET";
    http->path = "/" + service;
    http->headers = {{call_header, run.token}, {"x-tag", runs_[run.run_index].tag}};
    const exchange_id exchange(next_exchange_++);
    s.pending_callers[exchange] = [=](const outcome& o, const http_response& response) {
        const bool succeeded = o.kind == outcome_kind::answered && response.status == 200;
        schedule(millis(0), [=] {
            if (succeeded) {
                call_next_service(name, call);
                return;
            }
            complete_run(sites_.at(name), call, 502);
        });
    };
    handle(name, caller_request{exchange, service_name(service), http});
}

void simulation::release_slot(site& s, inbound_id call, bool completed)
{
    const auto found = s.running.find(call);
    if (found == s.running.end()) {
        return;
    }
    run_entry& entry = runs_[found->second.run_index];
    entry.ended = now_;
    entry.completed = completed;
    slot_time_ += now_ - entry.began;
    s.running.erase(found);
    if (!s.queued.empty()) {
        const dispatch_call next = s.queued.front();
        s.queued.erase(s.queued.begin());
        start_run(s, next);
    }
}

void simulation::complete_run(site& s, inbound_id call, int status)
{
    const auto found = s.running.find(call);
    if (found == s.running.end()) {
        return;
    }
    const std::string key = runs_[found->second.run_index].key;
    release_slot(s, call, status == 200);
    http_response response{status, {}, std::make_shared<const std::string>(key)};
    handle(s.options.name, target_answered{call, response, reports_not_run(response)});
}

void simulation::carry_out(site& s, const cancel_dispatch& a)
{
    const auto queued_call = std::find_if(s.queued.begin(), s.queued.end(),
                                          [&](const dispatch_call& q) { return q.call == a.call; });
    if (queued_call != s.queued.end()) {
        s.queued.erase(queued_call);
        return;
    }
    release_slot(s, a.call, false);
}

void simulation::crash(const std::string& name)
{
    site& s = sites_.at(name);
    s.core.reset();
    s.paused = false;
    s.waiting_events.clear();
    ++s.start_count;
    s.queued.clear();
    while (!s.running.empty()) {
        release_slot(s, s.running.begin()->first, false);
    }
    s.pending_callers.clear();
    for (const auto& [id, open_stream] : streams_) {
        const stream to = open_stream;
        if (to.to == name) {
            deliver(name, to.from, [=] {
                handle(to.from, peer_failed{to.call, to.attempt, peer_failure::connection_lost});
            });
        }
    }
}

void simulation::restart(const std::string& name)
{
    start_core(sites_.at(name));
}

void simulation::pause(const std::string& name, millis length)
{
    site& s = sites_.at(name);
    if (!s.core || std::exchange(s.paused, true)) {
        return;
    }
    schedule(length, [this, &s, start = s.start_count] {
        if (s.start_count == start) {
            resume(s);
        }
    });
}

void simulation::resume(site& s)
{
    s.paused = false;
    const bool timers_first = draw_below(random_, 2) == 0;
    if (timers_first) {
        handle(s.options.name, tick{});
    }
    for (const node_event& event : std::exchange(s.waiting_events, {})) {
        handle(s.options.name, event);
    }
}

account_row simulation::total(account_side side) const
{
    account_row sum;
    for (const auto& [name, s] : sites_) {
        if (s.core) {
            for (const auto& [key, row] : s.core->accounts().rows()) {
                sum += key.side == side ? row : account_row{};
            }
        }
    }
    return sum;
}

} // namespace fescuedyke::world
