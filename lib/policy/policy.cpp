#include "fescuedyke/policy/policy.h"

#include "fescuedyke/policy/yaml_reader.h"

#include <utility>

namespace fescuedyke {

namespace {

constexpr const char* class_names[priority_class_count] = {"critical", "high", "normal", "low"};

constexpr std::uint64_t largest_body = 64ULL << 20U;
constexpr int most_retries = 16;

priority_class read_class(yaml_mapping& govern)
{
    const std::string name = govern.text("class", "normal");
    for (std::size_t i = 0; i < priority_class_count; ++i) {
        if (name == class_names[i]) {
            return static_cast<priority_class>(i);
        }
    }
    govern.fault("class", "must be critical, high, normal or low");
    return priority_class::normal;
}

void read_operator(yaml_mapping& item, requirement& r)
{
    const int given = int(item.has("equals")) + int(item.has("in")) + int(item.has("not_in")) +
                      int(item.has("exists"));
    if (given != 1) {
        item.fault("label", "needs exactly one of equals, in, not_in, exists");
        return;
    }
    if (item.has("equals")) {
        r.op = selector_operator::equals;
        r.values = {item.text("equals", "")};
        return;
    }
    if (item.has("exists")) {
        r.op = selector_operator::exists;
        if (!item.boolean("exists", true)) {
            item.fault("exists", "must be true");
        }
        return;
    }
    const bool in = item.has("in");
    r.op = in ? selector_operator::in : selector_operator::not_in;
    r.values = item.texts(in ? "in" : "not_in");
    if (r.values.empty()) {
        item.fault(in ? "in" : "not_in", "must list at least one value");
    }
}

selector read_selector(yaml_mapping& select, const std::string& key, yaml_faults& faults)
{
    std::vector<requirement> requirements;
    for (const YAML::Node& node : select.items(key)) {
        yaml_mapping item(node, "select." + key, faults);
        requirement r;
        r.label = item.required_text("label");
        read_operator(item, r);
        item.reject_unknown_keys();
        requirements.push_back(std::move(r));
    }
    return selector(std::move(requirements));
}

void read_govern(yaml_mapping govern, policy& p)
{
    p.cls = read_class(govern);
    p.idempotent = govern.boolean("idempotent", false);
    p.deadline = govern.duration("deadline", p.deadline, millis(1), millis(10 * 60 * 1000));
    p.retries = static_cast<int>(govern.integer("retries", 0, 0, most_retries));
    p.cross_region = govern.boolean("cross_region", false);
    p.max_body = govern.bytes("max_body", p.max_body, largest_body);
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
    yaml_faults faults;
    yaml_mapping document(*root, "", faults);
    policy p;
    p.name = document.required_text("policy");
    p.owner = owner_name(document.required_text("owner"));
    p.order = static_cast<int>(document.integer("order", 0, -1000, 1000));
    p.is_private = document.boolean("private", false);
    yaml_mapping select = document.child("select");
    p.service = read_selector(select, "service", faults);
    p.request = read_selector(select, "request", faults);
    select.reject_unknown_keys();
    read_govern(document.child("govern"), p);
    document.reject_unknown_keys();
    if (!faults.empty()) {
        return faults.status();
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
        if (p.service.matches(service_labels) && p.request.matches(request_labels)) {
            best = &p;
        }
    }
    return best;
}

} // namespace fescuedyke
