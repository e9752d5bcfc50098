#include "limited_mesh.h"

namespace fescuedyke {

namespace {

const service_name service("s");
constexpr millis link_delay{1};
constexpr millis resend_delay{5};
constexpr millis deadline{2000};
constexpr millis lease{60'000};
constexpr millis tick_period{10};
constexpr int milliseconds_per_second = 1000;

/// The header by which a test recognizes a request at the target.
constexpr const char* request_header = "test-request";

exchange_id request_of(const http_request& request)
{
    return exchange_id(std::stoull(*find_header(request.headers, request_header)));
}

} // namespace

void limited_mesh::start_node(const std::string& name)
{
    node& n = nodes_[name];
    ++n.starts;
    n.instance = instance_id(name + "#" + std::to_string(n.starts));
    node_settings settings;
    settings.self = n.instance;
    settings.address = {name, 1};
    settings.location = {region_name("r"), zone_name("a")};
    settings.preemption = false;
    settings.adaptive_limit = false;
    n.core = std::make_unique<node_core>(settings, random_);
}

mesh_target& limited_mesh::add_target(const std::string& name)
{
    start_node(name);
    mesh_target& added = targets_[name];
    added.node = name;
    added.identity = "i-" + name;
    return added;
}

void limited_mesh::announce(const std::string& name)
{
    const mesh_target& t = targets_.at(name);
    target_announced event;
    event.service = service;
    event.identity = t.identity;
    event.target_incarnation = t.started_at_ms;
    event.slots = t.slots;
    event.lease = lease;
    handle(name, event);
    publish_view();
}

void limited_mesh::publish_view()
{
    auto view = std::make_shared<target_view>();
    view->version = ++view_version_;
    for (const auto& [name, t] : targets_) {
        target_info info;
        info.instance = nodes_.at(name).instance;
        info.node_address = {name, 1};
        info.location = {region_name("r"), zone_name("a")};
        info.service = service;
        info.identity = t.identity;
        info.target_incarnation = t.started_at_ms;
        info.slots = t.slots;
        view->services[service].push_back(info);
    }
    for (const auto& [name, n] : nodes_) {
        handle(name, targets_updated{view});
    }
}

void limited_mesh::request(const std::string& origin, priority_class cls)
{
    caller_request event;
    event.exchange = exchange_id(next_exchange_++);
    event.service = service;
    auto request = std::make_shared<http_request>();
    request->headers.push_back({request_header, std::to_string(event.exchange.value())});
    event.request = request;
    route_parameters route;
    route.effective_policy.cls = cls;
    route.effective_policy.idempotent = true;
    route.effective_policy.deadline = deadline;
    route.time_left = deadline;
    route.max_targets = 3;
    event.route = route;
    requests_[event.exchange] = {origin, now_, cls};
    handle(origin, event);
}

void limited_mesh::run(millis duration, int per_second, const std::vector<std::string>& origins)
{
    std::size_t next_origin = 0;
    int due = 0;
    for (const instant end = now_ + duration; now_ < end; now_ = now_ + millis(1)) {
        deliver_due();
        answer_due();
        for (due += per_second; due >= milliseconds_per_second; due -= milliseconds_per_second) {
            request(origins[next_origin++ % origins.size()]);
        }
        if (now_.since_origin() % tick_period.count() == 0) {
            for (const auto& [name, n] : nodes_) {
                handle(name, tick{});
            }
        }
    }
}

int limited_mesh::answered_of(priority_class cls) const
{
    const auto found = answered_by_class_.find(cls);
    return found == answered_by_class_.end() ? 0 : found->second;
}

void limited_mesh::handle(const std::string& name, const node_event& event)
{
    for (const node_action& action : nodes_.at(name).core->handle(event, {now_, wall_time(0)})) {
        if (const auto* a = std::get_if<send_call>(&action)) {
            execute(name, *a);
        }
        if (const auto* a = std::get_if<reply_call>(&action)) {
            execute(name, *a);
        }
        if (const auto* a = std::get_if<dispatch_call>(&action)) {
            execute(name, *a);
        }
        if (const auto* a = std::get_if<answer_caller>(&action)) {
            execute(*a);
        }
    }
}

void limited_mesh::schedule(millis delay, const std::string& to, const node_event& event)
{
    events_.emplace(now_ + delay, pending_event{to, nodes_.at(to).instance, event});
}

void limited_mesh::deliver_due()
{
    while (!events_.empty() && events_.begin()->first <= now_) {
        const pending_event due = events_.begin()->second;
        events_.erase(events_.begin());
        // Messages to an earlier start of a node are lost with it.
        if (nodes_.at(due.to).instance == due.instance) {
            handle(due.to, due.event);
        }
    }
}

void limited_mesh::answer_due()
{
    while (!running_.empty() && running_.begin()->first <= now_) {
        const running_call due = running_.begin()->second;
        running_.erase(running_.begin());
        if (nodes_.at(due.target).instance == due.instance) {
            const http_response response{200, {}, std::make_shared<const std::string>()};
            handle(due.target,
                   target_answered{due.call, response, false, targets_.at(due.target).notice});
        }
    }
}

void limited_mesh::execute(const std::string& name, const send_call& action)
{
    const exchange_id stream(next_exchange_++);
    streams_[stream] = {name, action.context.call, action.context.attempt};
    schedule(link_delay, action.address.host, peer_call{stream, action.context, action.request});
}

void limited_mesh::execute(const std::string& name, const reply_call& action)
{
    (void)name;
    const auto* stream = std::get_if<exchange_id>(&action.to);
    if (stream == nullptr) {
        return;
    }
    refused_attempts_ += action.reply.result.kind == outcome_kind::not_run ? 1 : 0;
    const sent_attempt& sent = streams_.at(*stream);
    schedule(link_delay, sent.origin, peer_reply{sent.call, sent.attempt, action.reply});
}

void limited_mesh::execute(const std::string& name, const dispatch_call& action)
{
    mesh_target& t = targets_.at(name);
    const open_request& request = requests_.at(request_of(*action.request));
    const target_arrival arrival{now_, request.sent_at, request.origin, request.cls};
    t.arrivals.push_back(arrival);
    if (t.breaks_connections) {
        t.arrivals.push_back(arrival);
        schedule(resend_delay, name, target_call_resent{action.call});
    }
    running_.emplace(now_ + t.service_time,
                     running_call{name, nodes_.at(name).instance, action.call});
}

void limited_mesh::execute(const answer_caller& action)
{
    const bool answered = action.result.kind == outcome_kind::answered;
    ++(answered ? answered_ : failed_);
    if (answered) {
        ++answered_by_class_[requests_.at(action.exchange).cls];
    }
}

} // namespace fescuedyke
