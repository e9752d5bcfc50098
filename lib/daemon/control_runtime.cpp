#include "fescuedyke/daemon/control_runtime.h"

#include "fescuedyke/codec/call_codec.h"
#include "fescuedyke/daemon/state_json.h"
#include "fescuedyke/logging/json_log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fescuedyke {

namespace {

constexpr millis subscriber_tick_period{25};
constexpr millis member_tick_period{20};
/// When stopping, how long to wait until a member acknowledges the last account report.
constexpr millis final_report_timeout{2000};
constexpr std::uint64_t max_control_request_bytes = 64ULL << 20U;

constexpr const char* consensus_path = "/consensus";
constexpr const char* poll_path = "/poll";
constexpr const char* sync_path = "/sync";
constexpr const char* account_path = "/account";
constexpr const char* departure_path = "/departure";
constexpr const char* account_copies_path = "/account-copies";

std::vector<member_seed> member_seeds(const process_settings& settings)
{
    std::vector<member_seed> seeds;
    for (const member_address& m : settings.members) {
        seeds.push_back({m.name, m.control});
    }
    return seeds;
}

subscriber_settings make_subscriber_settings(const process_settings& settings)
{
    subscriber_settings result;
    result.members_per_round = settings.members_per_round;
    result.prefers_leader = settings.prefers_leader;
    return result;
}

member_entry make_member_entry(const member_address& m)
{
    member_entry entry;
    entry.id.name = m.name;
    entry.address = m.control;
    entry.api_address = m.api;
    return entry;
}

} // namespace

control_runtime::control_runtime(const process_settings& settings, event_loop& loop,
                                 random_source& random, std::uint64_t epoch,
                                 metric_registry& metrics,
                                 std::function<void(node_event)> send_to_node,
                                 std::function<void(const route_document&)> on_document)
    : settings_(settings), loop_(loop), random_(random), epoch_(epoch),
      send_to_node_(std::move(send_to_node)), on_document_(std::move(on_document)),
      subscriber_(make_subscriber_settings(settings), member_seeds(settings)), peers_(loop),
      metrics_(metrics,
               {"fescuedyke_control", "What the process knows of the control group.", {"what"}})
{
}

control_runtime::~control_runtime() = default;

absl::Status control_runtime::start()
{
    if (settings_.is_member) {
        if (absl::Status started = start_member(); !started.ok()) {
            return started;
        }
        loop_.run_after(member_tick_period, [this] { on_member_tick(); });
    }
    if (settings_.own_member_address && settings_.is_member) {
        // A member process that runs beside no target needs no subscription.
        return absl::OkStatus();
    }
    loop_.run_after(subscriber_tick_period, [this] { on_subscriber_tick(); });
    return absl::OkStatus();
}

absl::Status control_runtime::start_member()
{
    absl::StatusOr<std::unique_ptr<posix_file_system>> opened_files =
        posix_file_system::open(settings_.data_directory);
    if (!opened_files.ok()) {
        return opened_files.status();
    }
    file_system_ = std::move(*opened_files);
    store_ = std::make_unique<member_store>(*file_system_);
    // A disk id must not be 0, which means unknown.
    absl::StatusOr<stored_member> stored = store_->open(settings_.instance.value(), random_() | 1U);
    if (!stored.ok()) {
        return stored.status();
    }
    stored_member_ = std::move(*stored);
    control_settings core_settings;
    core_settings.assigns_keys = settings_.assigns_keys;
    core_settings.raft.may_bootstrap = settings_.bootstrap;
    core_settings.raft.desired_voters = settings_.desired_voters;
    accounts_ = std::make_unique<account_store>(core_settings.accounts, *file_system_);
    if (absl::Status opened = accounts_->open(); !opened.ok()) {
        return opened;
    }
    member_list initial_members;
    member_entry self;
    if (settings_.own_member_address) {
        self = make_member_entry(*settings_.own_member_address);
    }
    for (const member_address& m : settings_.members) {
        initial_members.push_back(make_member_entry(m));
        initial_members.back().voter = settings_.bootstrap;
        if (m.name == settings_.instance.value()) {
            self = make_member_entry(m);
        }
    }
    self.id = stored_member_.id;
    core_ = std::make_unique<control_core>(core_settings, self, initial_members, stored_member_,
                                           epoch_, *store_, *accounts_, random_);
    write_log(log_level::info, "member-opened",
              {{"disk", stored_member_.id.disk_id},
               {"bytes_read", stored_member_.bytes_read},
               {"frames_read", stored_member_.frames_read},
               {"snapshot", stored_member_.state.base.index.value()},
               {"entries", stored_member_.state.entries.size()}});
    server_ = std::make_unique<peer_server>(
        loop_, peer_server::handlers{
                   [this](peer_stream_id stream, const std::string& path, const h2_message& m) {
                       on_request(stream, path, m.bytes);
                   },
                   [](peer_stream_id) {},
                   [](std::uint64_t bytes) { return bytes <= max_control_request_bytes; }});
    return server_->listen(self.address);
}

void control_runtime::on_record(const node_record& record, bool wants_lease)
{
    subscriber_.on_record(record, wants_lease);
    execute(subscriber_.tick(loop_.now().now));
}

void control_runtime::on_account_report(const account_report& report)
{
    last_report_ = report;
    for (const std::string& member : subscriber_.selected_members(loop_.now().now)) {
        send_account_report(report, member, [] {});
    }
}

void control_runtime::send_account_report(const account_report& report, const std::string& member,
                                          std::function<void()> done)
{
    const auto found = subscriber_.members().find(member);
    if (found == subscriber_.members().end()) {
        done();
        return;
    }
    peers_.send(found->second.address, account_path, {encode_account_report(report), nullptr},
                [done = std::move(done)](const peer_result&) { done(); });
}

void control_runtime::on_subscriber_tick()
{
    loop_.run_after(subscriber_tick_period, [this] { on_subscriber_tick(); });
    execute(subscriber_.tick(loop_.now().now));
    send_departures();
    log_subscription_changes();
    update_metrics();
}

void control_runtime::execute(const subscriber_output& output)
{
    for (const outgoing_poll& p : output.polls) {
        std::string body = encode_poll(p.poll);
        ++polls_sent_;
        poll_bytes_sent_ += body.size();
        const std::uint64_t number = p.number;
        peers_.send(p.address, poll_path, {std::move(body), nullptr},
                    [this, number](peer_result result) {
                        const instant now = loop_.now().now;
                        const auto* message = std::get_if<h2_message>(&result);
                        if (message == nullptr) {
                            subscriber_.on_failed(number, now);
                            return;
                        }
                        poll_bytes_received_ += message->bytes.size();
                        const absl::StatusOr<poll_reply> reply = decode_poll_reply(message->bytes);
                        if (!reply.ok()) {
                            subscriber_.on_failed(number, now);
                            return;
                        }
                        execute(subscriber_.on_reply(number, *reply, now));
                    });
    }
    if (output.document && on_document_) {
        on_document_(*output.document);
    }
    for (const node_event& event : output.events) {
        send_to_node_(event);
    }
}

void control_runtime::record_departure(const target_departure& departure,
                                       std::function<void()> done)
{
    departures_.record(departure, std::move(done));
    send_departures();
}

void control_runtime::check_departure(const target_departure& departure,
                                      std::function<void(bool)> done)
{
    departures_.check(departure, std::move(done));
    send_departures();
}

void control_runtime::send_departures()
{
    if (departures_.open_requests() == 0) {
        return;
    }
    std::vector<std::string> names;
    for (const auto& [name, m] : subscriber_.members()) {
        names.push_back(name);
    }
    const std::vector<outgoing_departure> due =
        departures_.tick(names, subscriber_.leader(), loop_.now().now);
    for (const outgoing_departure& d : due) {
        const std::uint64_t number = d.number;
        peers_.send(subscriber_.members().at(d.member).address, departure_path,
                    {encode_departure_request(d.request), nullptr},
                    [this, number](const peer_result& result) {
                        const auto* message = std::get_if<h2_message>(&result);
                        const absl::StatusOr<departure_reply> reply =
                            decode_departure_reply(message == nullptr ? "" : message->bytes);
                        if (reply.ok()) {
                            departures_.on_reply(number, *reply);
                        }
                    });
    }
}

void control_runtime::on_member_tick()
{
    loop_.run_after(member_tick_period, [this] { on_member_tick(); });
    handle(control_tick{});
    log_role_changes();
    log_waiting_joins();
    disk_status_log_.on_status(core_->disk_status());
    account_flush_status_log_.on_status(core_->account_flush_status());
    update_metrics();
}

void control_runtime::handle(const control_event& event)
{
    for (const control_action& action : core_->handle(event, loop_.now())) {
        std::visit([this](const auto& a) { execute(a); }, action);
    }
}

void control_runtime::execute(const send_consensus& action)
{
    peers_.send(action.address, consensus_path, {encode_consensus(action.message), nullptr},
                [](const peer_result&) {});
}

void control_runtime::execute(const answer_poll& action)
{
    server_->respond(peer_stream_id(action.request.value()),
                     {encode_poll_reply(action.reply), nullptr});
}

void control_runtime::execute(const send_member_sync& action)
{
    peers_.send(action.address, sync_path, {encode_member_sync(action.sync), nullptr},
                [this](peer_result result) {
                    const auto* message = std::get_if<h2_message>(&result);
                    if (message == nullptr) {
                        return;
                    }
                    absl::StatusOr<member_sync> sync = decode_member_sync(message->bytes);
                    if (sync.ok()) {
                        handle(member_sync_reply_received{std::move(*sync)});
                    }
                });
}

void control_runtime::execute(const answer_member_sync& action)
{
    server_->respond(peer_stream_id(action.request.value()),
                     {encode_member_sync(action.sync), nullptr});
}

void control_runtime::execute(const send_account_copies& action)
{
    const account_copies_stored stored{action.member, action.copies.number};
    const std::size_t source_count = action.copies.copies.size();
    peers_.send(action.address, account_copies_path,
                {encode_account_copies(action.copies), nullptr},
                [this, stored, source_count](peer_result result) {
                    const auto* message = std::get_if<h2_message>(&result);
                    if (message == nullptr) {
                        return;
                    }
                    const absl::StatusOr<account_copies_reply> reply =
                        decode_account_copies_reply(message->bytes);
                    if (!reply.ok() || !reply->stored) {
                        return;
                    }
                    write_log(log_level::info, "account-copies-stored",
                              {{"member", stored.member.name}, {"sources", source_count}});
                    handle(stored);
                });
}

void control_runtime::execute(const answer_account_copies& action)
{
    server_->respond(peer_stream_id(action.request.value()),
                     {encode_account_copies_reply(action.reply), nullptr});
}

void control_runtime::execute(const answer_departure& action)
{
    server_->respond(peer_stream_id(action.request.value()),
                     {encode_departure_reply(action.reply), nullptr});
}

void control_runtime::execute(const answer_change& action)
{
    const auto found = pending_changes_.find(action.request);
    if (found == pending_changes_.end()) {
        return;
    }
    const change_callback done = std::move(found->second);
    pending_changes_.erase(found);
    done(action);
}

void control_runtime::execute(const answer_document& action)
{
    const auto found = pending_reads_.find(action.request);
    if (found == pending_reads_.end()) {
        return;
    }
    const document_callback done = std::move(found->second);
    pending_reads_.erase(found);
    done(action);
}

void control_runtime::propose_change(const document_change& change, change_callback done)
{
    const request_id request(next_request_++);
    pending_changes_[request] = std::move(done);
    handle(document_change_requested{request, change});
}

void control_runtime::read_document(document_callback done)
{
    const request_id request(next_request_++);
    pending_reads_[request] = std::move(done);
    handle(document_read_requested{request});
}

void control_runtime::on_request(peer_stream_id stream, const std::string& path,
                                 const std::string& body)
{
    const request_id request(stream.value());
    if (path == poll_path) {
        if (absl::StatusOr<node_poll> poll = decode_poll(body); poll.ok()) {
            handle(poll_received{request, std::move(*poll)});
            return;
        }
    }
    else if (path == sync_path) {
        if (absl::StatusOr<member_sync> sync = decode_member_sync(body); sync.ok()) {
            handle(member_sync_received{request, std::move(*sync)});
            return;
        }
    }
    else if (path == consensus_path) {
        server_->respond(stream, {});
        if (absl::StatusOr<consensus_message> message = decode_consensus(body); message.ok()) {
            handle(consensus_received{std::move(*message)});
            return;
        }
    }
    else if (path == departure_path) {
        if (absl::StatusOr<departure_request> message = decode_departure_request(body);
            message.ok()) {
            handle(departure_received{request, std::move(*message)});
            return;
        }
    }
    else if (path == account_path) {
        if (absl::StatusOr<account_report> report = decode_account_report(body); report.ok()) {
            handle(account_report_received{std::move(*report)});
            server_->respond(stream, {});
            return;
        }
    }
    else if (path == account_copies_path) {
        if (absl::StatusOr<account_copies> copies = decode_account_copies(body); copies.ok()) {
            handle(account_copies_received{request, std::move(*copies)});
            return;
        }
    }
    write_log(log_level::warning, "malformed-control-request", {{"path", path}});
    server_->respond(stream, {});
}

void control_runtime::propose_change(const policy_change& change, change_callback done)
{
    const request_id request(next_request_++);
    pending_changes_[request] = std::move(done);
    handle(policy_change_requested{request, change});
}

void control_runtime::stop(std::function<void()> done)
{
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [this, finished, done = std::move(done)] {
        if (std::exchange(*finished, true)) {
            return;
        }
        if (core_) {
            handle(control_stopping{});
        }
        // The message that hands over leadership is sent in the next iterations of the loop.
        loop_.run_after(member_tick_period, done);
    };
    loop_.run_after(final_report_timeout, finish);
    const std::vector<std::string> members = subscriber_.selected_members(loop_.now().now);
    if (members.empty() || last_report_.sequence == 0) {
        finish();
        return;
    }
    for (const std::string& member : members) {
        send_account_report(last_report_, member, finish);
    }
}

nlohmann::json control_runtime::state() const
{
    const instant now = loop_.now().now;
    nlohmann::json result;
    result["subscription"] = subscriber_state_json(subscriber_, now);
    result["subscription"]["polls_sent"] = polls_sent_;
    result["subscription"]["poll_bytes_sent"] = poll_bytes_sent_;
    result["subscription"]["poll_bytes_received"] = poll_bytes_received_;
    if (core_) {
        result["member"] = member_state_json(*core_, now);
        result["member"]["start"] = {{"bytes_read", stored_member_.bytes_read},
                                     {"frames_read", stored_member_.frames_read}};
    }
    return result;
}

} // namespace fescuedyke
