#include "fescuedyke/settings/process_settings.h"

#include "fescuedyke/policy/yaml_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace fescuedyke {

namespace {

constexpr std::size_t max_members = 7;
constexpr std::uint64_t max_configurable_bytes = 16ULL << 30U;

constexpr millis max_region_cost_per_kib{10'000};

void read_endpoint(yaml_mapping& mapping, const std::string& key, endpoint& result)
{
    const std::string text = mapping.required_string(key);
    if (text.empty()) {
        return;
    }
    const absl::StatusOr<endpoint> parsed = parse_endpoint(text);
    if (!parsed.ok()) {
        mapping.add_error(key, std::string(parsed.status().message()));
        return;
    }
    result = *parsed;
}

void read_members(yaml_mapping& control, yaml_errors& errors, process_settings& settings)
{
    std::set<std::string> names;
    for (const YAML::Node& node : control.items("members")) {
        yaml_mapping item(node, "control.members", errors);
        member_address m;
        m.name = item.required_string("name");
        read_endpoint(item, "control", m.control);
        read_endpoint(item, "api", m.api);
        item.reject_unknown_keys();
        if (!names.insert(m.name).second) {
            item.add_error("name", "must be unique among the members");
        }
        settings.members.push_back(std::move(m));
    }
    const std::size_t count = settings.members.size();
    if (count == 0 || count > max_members || count % 2 == 0) {
        control.add_error("members", "must list 1, 3, 5 or 7 members");
    }
}

void read_control(yaml_mapping control, yaml_errors& errors, process_settings& settings)
{
    read_members(control, errors, settings);
    settings.is_member = control.boolean("member", false);
    settings.data_directory = control.string("data", "");
    if (settings.is_member && settings.data_directory.empty()) {
        control.add_error("data", "is missing; it is required when control.member is true");
    }
    const bool listed =
        std::any_of(settings.members.begin(), settings.members.end(),
                    [&](const auto& m) { return m.name == settings.instance.value(); });
    if (settings.is_member && !listed) {
        control.add_error("members", "must list this instance because control.member is true");
    }
    control.reject_unknown_keys();
}

void read_operators(yaml_mapping& document, yaml_errors& errors, process_settings& settings)
{
    for (const YAML::Node& node : document.items("operators")) {
        yaml_mapping item(node, "operators", errors);
        operator_entry entry;
        entry.name = item.required_string("name");
        entry.token = item.required_string("token");
        entry.owners = item.strings("owners");
        if (entry.owners.empty()) {
            item.add_error("owners", "must list at least one owner");
        }
        item.reject_unknown_keys();
        settings.operators.push_back(std::move(entry));
    }
}

void read_limits(yaml_mapping limits, process_settings& settings)
{
    settings.memory_bytes = limits.bytes("memory", settings.memory_bytes, max_configurable_bytes);
    settings.region_bytes_per_second = limits.bytes(
        "region_bytes_per_second", settings.region_bytes_per_second, max_configurable_bytes);
    settings.region_cost_per_kib = limits.duration(
        "region_cost_per_kib", settings.region_cost_per_kib, millis(0), max_region_cost_per_kib);
    settings.subset_size = static_cast<std::size_t>(limits.integer("subset", 8, 1, 1000));
    settings.drain_timeout =
        limits.duration("drain", settings.drain_timeout, millis(0), millis(10 * 60 * 1000));
    limits.reject_unknown_keys();
}

void read_log(yaml_mapping log, process_settings& settings)
{
    static constexpr const char* levels[] = {"debug", "info", "warning", "error"};
    settings.log_level = log.string("level", settings.log_level);
    const bool known = std::any_of(std::begin(levels), std::end(levels),
                                   [&](const char* l) { return settings.log_level == l; });
    if (!known) {
        log.add_error("level", "must be debug, info, warning or error");
    }
    log.reject_unknown_keys();
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    const std::string host = text.substr(0, colon);
    const std::string port = colon == std::string::npos ? "" : text.substr(colon + 1);
    in_addr address{};
    std::uint16_t port_number = 0;
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), port_number);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == port.data() + port.size();
    if (::inet_pton(AF_INET, host.c_str(), &address) != 1 || !is_number || port_number == 0) {
        return absl::InvalidArgumentError(
            "must be an IPv4 address and a port, such as 10.0.0.1:7100");
    }
    return endpoint{host, port_number};
}

absl::StatusOr<process_settings> parse_settings(const std::string& yaml)
{
    absl::StatusOr<YAML::Node> root = load_yaml_mapping(yaml);
    if (!root.ok()) {
        return root.status();
    }
    yaml_errors errors;
    yaml_mapping document(*root, "", errors);
    process_settings settings;
    settings.instance = instance_id(document.required_string("instance"));
    settings.owner = owner_name(document.required_string("owner"));
    settings.location.region = region_name(document.required_string("region"));
    settings.location.zone = zone_name(document.required_string("zone"));
    yaml_mapping listen = document.child("listen");
    read_endpoint(listen, "http", settings.http);
    read_endpoint(listen, "peer", settings.peer);
    if (!listen.string("metrics", "").empty()) {
        read_endpoint(listen, "metrics", settings.metrics.emplace());
    }
    listen.reject_unknown_keys();
    read_control(document.child("control"), errors, settings);
    read_operators(document, errors, settings);
    read_limits(document.child("limits"), settings);
    read_log(document.child("log"), settings);
    document.reject_unknown_keys();
    if (!errors.empty()) {
        return errors.status();
    }
    return settings;
}

absl::StatusOr<process_settings> load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(path + ": cannot be read");
    }
    std::stringstream content;
    content << file.rdbuf();
    return parse_settings(content.str());
}

} // namespace fescuedyke
