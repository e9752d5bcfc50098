#include "fescuedyke/operator/commands.h"

#include "fescuedyke/operator/account_merge.h"
#include "fescuedyke/operator/member_client.h"
#include "fescuedyke/operator/request_trace.h"

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace fescuedyke {

namespace {

namespace options = boost::program_options;
using json = nlohmann::json;

constexpr const char* token_variable = "FESCUEDYKE_TOKEN";
constexpr const char* members_variable = "FESCUEDYKE_MEMBERS";
constexpr std::chrono::milliseconds progress_poll_interval{50};
/// A source whose last report is older than this is listed as a gap in the account.
constexpr std::int64_t max_report_age_ms = 5000;
constexpr int conflict_status = 409;
constexpr int min_error_status = 400;

constexpr const char* usage_text =
    "fescuedykectl COMMAND [options]\n\n"
    "  policy apply FILE      apply a policy from a file (--based-on VERSION, --change-id ID)\n"
    "  policy get NAME        print one policy (--owner OWNER)\n"
    "  policy list            list the policies you may read\n"
    "  policy remove NAME     remove a policy (--owner OWNER, --based-on VERSION)\n"
    "  targets                list the registered targets\n"
    "  progress               show the configuration version in force in each region\n"
    "  state ADDRESS          dump the state of one process\n"
    "  account OWNER          explain an owner's account (--from MS, --to MS)\n"
    "  explain ID [LOG...]    trace one request through logs (default: standard input)\n\n"
    "Exit codes: 0 success, 1 refused, 2 usage, 3 conflict, 4 no answer or outcome unknown,\n"
    "5 durable but not yet in force everywhere\n";

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> items;
    std::stringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

int exit_status(exit_code c)
{
    return static_cast<int>(c);
}

std::int64_t unix_time_ms()
{
    const auto time_since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time_since_epoch).count();
}

/// The parsed command line.
struct command_line {
    std::vector<std::string> words;
    std::vector<std::string> members;
    std::string token;
    std::string owner;
    std::string change_id;
    std::uint64_t based_on = 0;
    bool based_on_given = false;
    std::int64_t from_ms = -1;
    std::int64_t to_ms = -1;
    std::int64_t wait_ms = 3000;
    bool as_json = false;

    std::string word(std::size_t i) const { return i < words.size() ? words[i] : ""; }
};

class commands {
public:
    explicit commands(const command_line& line) : line_(line), client_(line.members, line.token) {}

    int run()
    {
        struct entry {
            const char* first;
            const char* second;
            std::size_t words;
            int (commands::*run)();
        };
        static constexpr entry table[] = {{"policy", "apply", 3, &commands::apply},
                                          {"policy", "get", 3, &commands::get},
                                          {"policy", "list", 2, &commands::list},
                                          {"policy", "remove", 3, &commands::remove},
                                          {"targets", nullptr, 1, &commands::targets},
                                          {"progress", nullptr, 1, &commands::progress},
                                          {"state", nullptr, 2, &commands::state},
                                          {"account", nullptr, 2, &commands::account}};
        for (const entry& e : table) {
            const bool second_matches = e.second == nullptr || line_.word(1) == e.second;
            if (line_.word(0) == e.first && second_matches && line_.words.size() == e.words) {
                return run_checked(e.run);
            }
        }
        std::cerr << usage_text;
        return exit_status(exit_code::usage);
    }

private:
    /// Runs a command. It fails if a member's response lacks what the command reads.
    int run_checked(int (commands::*command)())
    {
        try {
            return (this->*command)();
        }
        catch (const json::exception& error) {
            return fail(absl::UnavailableError(std::string("members: a response cannot be read: ") +
                                               error.what()));
        }
    }

    int fail(const absl::Status& status)
    {
        std::cerr << status.message() << "\n";
        return exit_status(exit_code::unavailable);
    }

    /// Prints the message of an error response and returns the exit status. Returns 0 if the
    /// response is not an error.
    int report_error(const api_response& response)
    {
        if (response.status < min_error_status) {
            return 0;
        }
        const bool has_message = response.body.is_object() && response.body.contains("error");
        std::cerr << (has_message ? response.body.at("error").get<std::string>()
                                  : response.body.dump())
                  << "\n";
        return exit_status(response.status == conflict_status ? exit_code::conflict
                                                              : exit_code::refused);
    }

    std::string new_change_id() const
    {
        if (!line_.change_id.empty()) {
            return line_.change_id;
        }
        std::random_device random;
        std::ostringstream id;
        id << std::hex << unix_time_ms() << "-" << random() << random();
        return id.str();
    }

    absl::StatusOr<json> find_policy(const std::string& owner, const std::string& name)
    {
        const absl::StatusOr<api_response> response = client_.get_from_any_member("/v1/policies");
        if (!response.ok()) {
            return response.status();
        }
        if (response->status >= min_error_status) {
            return absl::PermissionDeniedError(response->body.dump());
        }
        for (const json& p : response->body.at("policies")) {
            if (p.at("name") == name && (owner.empty() || p.at("owner") == owner)) {
                return p;
            }
        }
        return absl::NotFoundError(name + ": no such policy");
    }

    int send_change(const json& change)
    {
        const absl::StatusOr<api_response> response = client_.send_policy_change(change.dump());
        if (!response.ok()) {
            std::cerr << response.status().message()
                      << "; send the same change again with --change-id "
                      << change["change_id"].get<std::string>() << "\n";
            return exit_status(exit_code::unavailable);
        }
        if (response->status == conflict_status) {
            std::cerr << "conflict: version " << response->body.at("policy_version")
                      << " is in force\n";
            return exit_status(exit_code::conflict);
        }
        if (const int error = report_error(*response); error != 0) {
            return error;
        }
        return wait_until_in_force(response->body);
    }

    int wait_until_in_force(json result)
    {
        const std::uint64_t version = result["version"];
        const auto deadline =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(line_.wait_ms);
        bool in_force = false;
        while (!in_force && std::chrono::steady_clock::now() < deadline) {
            const absl::StatusOr<api_response> response =
                client_.get_from_any_member("/v1/progress");
            if (response.ok() && response->status < min_error_status) {
                result["progress"] = response->body;
                in_force = is_in_force_everywhere(response->body, version);
            }
            if (!in_force) {
                std::this_thread::sleep_for(progress_poll_interval);
            }
        }
        result["in_force"] = in_force;
        if (line_.as_json) {
            std::cout << result.dump() << "\n";
        }
        else {
            print_rollout(result, version);
        }
        return exit_status(in_force ? exit_code::ok : exit_code::not_yet_in_force);
    }

    static bool is_in_force_everywhere(const json& progress, std::uint64_t version)
    {
        for (const auto& [region, p] : progress.at("regions").items()) {
            if (p.at("lowest") < version) {
                return false;
            }
        }
        return progress.at("version") >= version;
    }

    static void print_rollout(const json& result, std::uint64_t version)
    {
        std::cout << "durable as version " << version << " of the configuration, policy version "
                  << result["policy_version"] << "\n";
        for (const auto& [region, p] : result.at("progress").at("regions").items()) {
            const bool is_current = p.at("lowest") >= version;
            std::cout << region << ": " << (is_current ? "in force" : "not confirmed") << " ("
                      << p.at("nodes") << " nodes)\n";
        }
    }

    int apply()
    {
        std::ifstream file(line_.word(2));
        if (!file) {
            std::cerr << line_.word(2) << ": cannot be read\n";
            return exit_status(exit_code::usage);
        }
        std::stringstream yaml;
        yaml << file.rdbuf();
        const json change = {
            {"change_id", new_change_id()}, {"based_on", line_.based_on}, {"policy", yaml.str()}};
        return send_change(change);
    }

    int remove()
    {
        const absl::StatusOr<json> policy = find_policy(line_.owner, line_.word(2));
        if (!policy.ok()) {
            return fail(policy.status());
        }
        const json based_on = line_.based_on_given ? json(line_.based_on) : policy->at("version");
        const json change = {{"change_id", new_change_id()},
                             {"based_on", based_on},
                             {"owner", policy->at("owner")},
                             {"name", line_.word(2)},
                             {"remove", true}};
        return send_change(change);
    }

    int get()
    {
        const absl::StatusOr<json> policy = find_policy(line_.owner, line_.word(2));
        if (absl::IsNotFound(policy.status())) {
            std::cerr << policy.status().message() << "\n";
            return exit_status(exit_code::refused);
        }
        if (!policy.ok()) {
            return fail(policy.status());
        }
        if (line_.as_json) {
            std::cout << policy->dump() << "\n";
            return exit_status(exit_code::ok);
        }
        std::cout << "# version " << policy->at("version") << "\n"
                  << policy->at("policy").get<std::string>();
        return exit_status(exit_code::ok);
    }

    int print(const std::string& path, void (*print_text)(const json&))
    {
        const absl::StatusOr<api_response> response = client_.get_from_any_member(path);
        if (!response.ok()) {
            return fail(response.status());
        }
        if (const int error = report_error(*response); error != 0) {
            return error;
        }
        if (line_.as_json) {
            std::cout << response->body.dump() << "\n";
        }
        else {
            print_text(response->body);
        }
        return exit_status(exit_code::ok);
    }

    int list()
    {
        return print("/v1/policies", [](const json& body) {
            std::cout << "configuration version " << body.at("version") << "\n";
            for (const json& p : body.at("policies")) {
                std::cout << p.at("owner").get<std::string>() << "/"
                          << p.at("name").get<std::string>() << " version " << p.at("version")
                          << "\n";
            }
        });
    }

    int targets()
    {
        return print("/v1/targets", [](const json& body) {
            for (const json& t : body.at("targets")) {
                std::cout << t.at("service").get<std::string>() << " "
                          << t.at("instance").get<std::string>() << " "
                          << t.at("state").get<std::string>() << " "
                          << t.at("region").get<std::string>() << "/"
                          << t.at("zone").get<std::string>() << " slots " << t.at("slots") << "\n";
            }
        });
    }

    int progress()
    {
        return print("/v1/progress", [](const json& body) {
            std::cout << "configuration version " << body.at("version") << "\n";
            for (const auto& [region, p] : body.at("regions").items()) {
                std::cout << region << ": lowest version " << p.at("lowest") << ", "
                          << p.at("nodes") << " nodes, " << p.at("behind") << " behind\n";
            }
        });
    }

    int state()
    {
        const absl::StatusOr<api_response> response =
            client_.send_request(line_.word(1), "GET", "/v1/state", "");
        if (!response.ok()) {
            return fail(response.status());
        }
        if (const int error = report_error(*response); error != 0) {
            return error;
        }
        constexpr int indent = 2;
        std::cout << response->body.dump(line_.as_json ? -1 : indent) << "\n";
        return exit_status(exit_code::ok);
    }

    int account()
    {
        std::string path = "/v1/accounts?owner=" + line_.word(1);
        path += line_.from_ms >= 0 ? "&from=" + std::to_string(line_.from_ms) : "";
        path += line_.to_ms >= 0 ? "&to=" + std::to_string(line_.to_ms) : "";
        std::size_t unreachable = 0;
        std::vector<json> bodies;
        for (const api_response& response : client_.get_from_all_members(path, unreachable)) {
            if (const int error = report_error(response); error != 0) {
                return error;
            }
            bodies.push_back(response.body);
        }
        if (bodies.empty()) {
            return fail(absl::UnavailableError("no member answered"));
        }
        json merged = merge_accounts(bodies, unix_time_ms(), max_report_age_ms);
        merged["owner"] = line_.word(1);
        merged["silent_members"] = unreachable;
        if (line_.as_json) {
            std::cout << merged.dump() << "\n";
            return exit_status(exit_code::ok);
        }
        std::cout << "account of " << line_.word(1) << "\n" << explain_account(merged);
        if (unreachable > 0) {
            std::cout << unreachable << " members did not answer\n";
        }
        return exit_status(exit_code::ok);
    }

    command_line line_;
    member_client client_;
};

} // namespace

namespace {

/// Traces a request through the logs named on the command line, or through the standard input.
int explain(const command_line& line)
{
    request_trace trace(line.word(1));
    for (std::size_t i = 2; i < line.words.size(); ++i) {
        std::ifstream file(line.words[i]);
        if (!file) {
            std::cerr << line.words[i] << ": cannot be read\n";
            return exit_status(exit_code::usage);
        }
        trace.read(file);
    }
    if (line.words.size() == 2) {
        trace.read(std::cin);
    }
    return exit_status(print_trace(trace, line.as_json, std::cout) ? exit_code::ok
                                                                   : exit_code::refused);
}

} // namespace

int run_operator_command(int argc, char** argv)
{
    command_line line;
    const char* token = std::getenv(token_variable);
    line.token = token != nullptr ? token : "";
    const char* members_default = std::getenv(members_variable);
    std::string members = members_default != nullptr ? members_default : "";
    options::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "print this text");
    add("members,m", options::value(&members),
        "comma-separated IP:port of each member (or FESCUEDYKE_MEMBERS)");
    add("token", options::value(&line.token), "operator's token (or FESCUEDYKE_TOKEN)");
    add("json", options::bool_switch(&line.as_json), "print JSON");
    add("owner", options::value(&line.owner), "owner of the policy");
    add("based-on", options::value(&line.based_on), "version that the change is based on");
    add("change-id", options::value(&line.change_id), "id of the change, to send it again");
    add("wait", options::value(&line.wait_ms),
        "milliseconds to wait until the change is in force everywhere");
    add("from", options::value(&line.from_ms),
        "start of the period, in milliseconds since the Unix epoch");
    add("to", options::value(&line.to_ms),
        "end of the period, in milliseconds since the Unix epoch");
    options::options_description hidden;
    hidden.add_options()("words", options::value(&line.words));
    options::options_description all;
    all.add(description).add(hidden);
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map parsed;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positional).run(),
            parsed);
        options::notify(parsed);
    }
    catch (const options::error& error) {
        std::cerr << error.what() << "\n";
        return exit_status(exit_code::usage);
    }
    if (parsed.count("help") != 0) {
        std::cout << usage_text << "\n" << description;
        return exit_status(exit_code::ok);
    }
    line.members = split_list(members);
    line.based_on_given = parsed.count("based-on") != 0;
    if (line.word(0) == "explain" && line.words.size() > 1) {
        return explain(line);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return commands(line).run();
}

} // namespace fescuedyke
