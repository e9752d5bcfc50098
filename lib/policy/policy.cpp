#include "fescuedyke/policy/policy.h"

#include "fescuedyke/policy/yaml_reader.h"

#include <utility>

namespace fescuedyke {

namespace {

constexpr const char* class_names[priority_class_count] = {"critical", "high", "normal", "low"};

constexpr std::uint64_t max_configurable_body_bytes = 64ULL << 20U;
constexpr int max_retries = 16;

priority_class read_class(yaml_mapping& govern)
{
    const std::string name = govern.string("class", "normal");
    for (std::size_t i = 0; i < priority_class_count; ++i) {
        if (name == class_names[i]) {
            return static_cast<priority_class>(i);
        }
    }
    govern.add_error("class", "must be critical, high, normal or low");
    return priority_class::normal;
}

void read_operator(yaml_mapping& item, requirement& r)
{
    const int operator_count = int(item.has("equals")) + int(item.has("in")) +
                               int(item.has("not_in")) + int(item.has("exists"));
    if (operator_count != 1) {
        item.add_error("label", "must have exactly one of equals, in, not_in, exists");
        return;
    }
    if (item.has("equals")) {
        r.op = selector_operator::equals;
        r.values = {item.string("equals", "")};
        return;
    }
    if (item.has("exists")) {
        r.op = selector_operator::exists;
        if (!item.boolean("exists", true)) {
            item.add_error("exists", "must be true");
        }
        return;
    }
    const bool in = item.has("in");
    r.op = in ? selector_operator::in : selector_operator::not_in;
    r.values = item.strings(in ? "in" : "not_in");
    if (r.values.empty()) {
        item.add_error(in ? "in" : "not_in", "must list at least one value");
    }
}

selector read_selector(yaml_mapping& select, const std::string& key, yaml_errors& errors)
{
    std::vector<requirement> requirements;
    for (const YAML::Node& node : select.items(key)) {
        yaml_mapping item(node, "select." + key, errors);
        requirement r;
        r.label = item.required_string("label");
        read_operator(item, r);
        item.reject_unknown_keys();
        requirements.push_back(std::move(r));
    }
    return selector(std::move(requirements));
}

void read_govern_section(yaml_mapping govern, policy& p)
{
    p.cls = read_class(govern);
    p.idempotent = govern.boolean("idempotent", false);
    p.deadline = govern.duration("deadline", p.deadline, millis(1), millis(10 * 60 * 1000));
    p.retries = static_cast<int>(govern.integer("retries", 0, 0, max_retries));
    p.cross_region = govern.boolean("cross_region", false);
    p.max_body_bytes = govern.bytes("max_body", p.max_body_bytes, max_configurable_body_bytes);
    govern.reject_unknown_keys();
}

} // namespace

const char* to_string(priority_class c)
{
    return class_names[static_cast<std::size_t>(c)];
}

absl::StatusOr<policy> parse_policy(const std::string& yaml)
{
    absl::StatusOr<YAML::Node> root = load_yaml_mapping(yaml);
    if (!root.ok()) {
        return root.status();
    }
    yaml_errors errors;
    yaml_mapping document(*root, "", errors);
    policy p;
    p.name = document.required_string("policy");
    p.owner = owner_name(document.required_string("owner"));
    p.order = static_cast<int>(document.integer("order", 0, -1000, 1000));
    p.is_private = document.boolean("private", false);
    yaml_mapping select = document.child("select");
    p.service_selector = read_selector(select, "service", errors);
    p.request_selector = read_selector(select, "request", errors);
    select.reject_unknown_keys();
    read_govern_section(document.child("govern"), p);
    document.reject_unknown_keys();
    if (!errors.empty()) {
        return errors.status();
    }
    return p;
}

policy default_policy(const std::string& method)
{
    policy p;
    p.name = "default";
    p.idempotent = method == "GET" || method == "HEAD" || method == "OPTIONS";
    return p;
}

policy_set::policy_set(config_version version, std::map<std::string, policy> policies)
    : version_(version), policies_(std::move(policies))
{
}

const policy* policy_set::match(const owner_name& owner, const label_set& service_labels,
                                const label_set& request_labels) const
{
    const policy* best = nullptr;
    for (const auto& [name, p] : policies_) {
        if (p.owner != owner || (best != nullptr && p.order <= best->order)) {
            continue;
        }
        if (p.service_selector.matches(service_labels) &&
            p.request_selector.matches(request_labels)) {
            best = &p;
        }
    }
    return best;
}

} // namespace fescuedyke
