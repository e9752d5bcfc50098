#include "fescuedyke/daemon/http_api.h"

#include "fescuedyke/policy/policy.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

constexpr const char* call_prefix = "/call/";
constexpr const char* bearer_prefix = "Bearer ";
constexpr std::size_t longest_name = 128;
constexpr std::int64_t most_slots = 100'000;
constexpr std::int64_t longest_warm_up_ms = 10 * 60 * 1000;

absl::Status faulty(const std::string& key, const std::string& what)
{
    return absl::InvalidArgumentError(key + ": " + what);
}

/// Reads members of one JSON object; the first fault stays.
class json_reader {
public:
    explicit json_reader(const std::string& body) : object_(json::parse(body, nullptr, false))
    {
        if (!object_.is_object()) {
            status_ = absl::InvalidArgumentError("the body is not a JSON object");
        }
    }

    std::string text(const std::string& key, bool required)
    {
        const json* value = find(key);
        if (value == nullptr ||
            (value->is_string() && value->get_ref<const std::string&>().empty())) {
            if (required) {
                fail(faulty(key, "is missing"));
            }
            return "";
        }
        if (!value->is_string()) {
            fail(faulty(key, "must be a text"));
            return "";
        }
        return value->get<std::string>();
    }

    std::int64_t integer(const std::string& key, std::int64_t otherwise, std::int64_t least,
                         std::int64_t most)
    {
        const json* value = find(key);
        if (value == nullptr) {
            return otherwise;
        }
        const bool whole = value->is_number_integer();
        const std::int64_t number = whole ? value->get<std::int64_t>() : least - 1;
        if (!whole || number < least || number > most) {
            fail(faulty(key, "must be a whole number from " + std::to_string(least) + " to " +
                                 std::to_string(most)));
            return otherwise;
        }
        return number;
    }

    bool boolean(const std::string& key)
    {
        const json* value = find(key);
        if (value != nullptr && !value->is_boolean()) {
            fail(faulty(key, "must be true or false"));
            return false;
        }
        return value != nullptr && value->get<bool>();
    }

    label_set labels(const std::string& key)
    {
        label_set labels;
        const json* value = find(key);
        if (value == nullptr) {
            return labels;
        }
        if (!value->is_object() || value->size() > max_labels) {
            fail(faulty(key, "must be an object of at most 32 labels"));
            return labels;
        }
        for (const auto& [name, label] : value->items()) {
            if (!label.is_string() || name.size() > max_label_bytes ||
                label.get_ref<const std::string&>().size() > max_label_bytes) {
                fail(faulty(key, "must hold texts of at most 128 bytes"));
                return labels;
            }
            labels[name] = label.get<std::string>();
        }
        return labels;
    }

    void fail(absl::Status status)
    {
        if (status_.ok()) {
            status_ = std::move(status);
        }
    }

    const absl::Status& status() const { return status_; }

private:
    const json* find(const std::string& key) const
    {
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto found = object_.find(key);
        return found == object_.end() || found->is_null() ? nullptr : &*found;
    }

    json object_;
    absl::Status status_;
};

std::string decode_percent(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                             std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                             std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
        if (!escaped) {
            result.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        result.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
        i += 2;
    }
    return result;
}

} // namespace

http_target split_target(const std::string& path_and_query)
{
    const auto mark = path_and_query.find('?');
    http_target target;
    target.path = path_and_query.substr(0, mark);
    if (mark == std::string::npos) {
        return target;
    }
    const std::string query = path_and_query.substr(mark + 1);
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string item = query.substr(begin, end - begin);
        const auto equals = item.find('=');
        const std::string value = equals == std::string::npos ? "" : item.substr(equals + 1);
        target.query[decode_percent(item.substr(0, equals))] = decode_percent(value);
        begin = end + 1;
    }
    return target;
}

absl::StatusOr<call_target> parse_call_path(const std::string& path)
{
    const std::size_t prefix = std::string(call_prefix).size();
    if (path.rfind(call_prefix, 0) != 0) {
        return absl::InvalidArgumentError("path: does not begin with /call/");
    }
    const std::size_t end = std::min(path.find_first_of("/?", prefix), path.size());
    const std::string service = path.substr(prefix, end - prefix);
    if (service.empty() || service.size() > longest_name) {
        return absl::InvalidArgumentError("path: names no service");
    }
    const std::string rest = path.substr(end);
    const bool rooted = !rest.empty() && rest[0] == '/';
    return call_target{service_name(service), rooted ? rest : "/" + rest};
}

absl::StatusOr<announcement> parse_announcement(const std::string& body)
{
    json_reader reader(body);
    announcement a;
    a.event.service = service_name(reader.text("service", true));
    a.event.labels = reader.labels("labels");
    a.event.slots = static_cast<int>(reader.integer("slots", 1, 1, most_slots));
    a.event.warm_up = millis(reader.integer("warm_up_ms", 0, 0, longest_warm_up_ms));
    a.event.lease = millis(reader.integer("lease_ms", 10'000, 100, longest_warm_up_ms));
    a.event.target_incarnation = static_cast<std::uint64_t>(
        reader.integer("incarnation", 0, 0, std::numeric_limits<std::int64_t>::max()));
    const absl::StatusOr<endpoint> address = parse_endpoint(reader.text("address", true));
    if (!address.ok()) {
        reader.fail(faulty("address", std::string(address.status().message())));
    }
    if (a.event.service.value().size() > longest_name) {
        reader.fail(faulty("service", "is longer than 128 bytes"));
    }
    if (!reader.status().ok()) {
        return reader.status();
    }
    a.address = *address;
    return a;
}

absl::StatusOr<policy_change> parse_change(const std::string& body)
{
    json_reader reader(body);
    policy_change change;
    change.change_id = reader.text("change_id", true);
    change.remove = reader.boolean("remove");
    change.based_on = static_cast<std::uint64_t>(
        reader.integer("based_on", 0, 0, std::numeric_limits<std::int64_t>::max()));
    change.owner = owner_name(reader.text("owner", change.remove));
    change.name = reader.text("name", change.remove);
    change.yaml = reader.text("policy", !change.remove);
    if (change.change_id.size() > longest_name) {
        reader.fail(faulty("change_id", "is longer than 128 bytes"));
    }
    if (!reader.status().ok() || change.remove) {
        return reader.status().ok() ? absl::StatusOr<policy_change>(change) : reader.status();
    }
    const absl::StatusOr<policy> parsed = parse_policy(change.yaml);
    if (!parsed.ok()) {
        return parsed.status();
    }
    change.owner = parsed->owner;
    change.name = parsed->name;
    change.is_private = parsed->is_private;
    return change;
}

const operator_entry* find_operator(const std::vector<operator_entry>& operators,
                                    const std::vector<header>& headers)
{
    const std::string* given = find_header(headers, "authorization");
    if (given == nullptr || given->rfind(bearer_prefix, 0) != 0) {
        return nullptr;
    }
    const std::string token = given->substr(std::string(bearer_prefix).size());
    const auto found = std::find_if(operators.begin(), operators.end(),
                                    [&](const operator_entry& o) { return o.token == token; });
    return found == operators.end() ? nullptr : &*found;
}

bool may_act_for(const operator_entry& entry, const owner_name& owner)
{
    return std::any_of(entry.owners.begin(), entry.owners.end(),
                       [&](const std::string& o) { return o == "*" || o == owner.value(); });
}

} // namespace fescuedyke
