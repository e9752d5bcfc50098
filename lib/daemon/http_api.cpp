#include "fescuedyke/daemon/http_api.h"

#include "fescuedyke/daemon/json_body.h"

#include "fescuedyke/policy/policy.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

constexpr const char* call_prefix = "/call/";
constexpr const char* bearer_prefix = "Bearer ";
constexpr std::size_t max_name_bytes = 128;
constexpr std::int64_t max_slots = 100'000;
constexpr std::int64_t max_announced_time_ms = 10 * 60 * 1000;

absl::Status field_error(const std::string& key, const std::string& message)
{
    return absl::InvalidArgumentError(key + ": " + message);
}

/// Reads the members of a JSON object and keeps the first error.
class json_reader {
public:
    explicit json_reader(const std::string& body)
    {
        absl::StatusOr<json> object = parse_json_object(body);
        status_ = object.status();
        if (object.ok()) {
            object_ = std::move(*object);
        }
    }

    std::string string(const std::string& key, bool required)
    {
        const json* value = find_member(key);
        if (value == nullptr ||
            (value->is_string() && value->get_ref<const std::string&>().empty())) {
            if (required) {
                fail(field_error(key, "is missing"));
            }
            return "";
        }
        if (!value->is_string()) {
            fail(field_error(key, "must be a string"));
            return "";
        }
        return value->get<std::string>();
    }

    std::int64_t integer(const std::string& key, std::int64_t default_value, std::int64_t min_value,
                         std::int64_t max_value)
    {
        const json* value = find_member(key);
        if (value == nullptr) {
            return default_value;
        }
        const bool is_integer = value->is_number_integer();
        const std::int64_t number = is_integer ? value->get<std::int64_t>() : min_value - 1;
        if (!is_integer || number < min_value || number > max_value) {
            fail(field_error(key, "must be an integer from " + std::to_string(min_value) + " to " +
                                      std::to_string(max_value)));
            return default_value;
        }
        return number;
    }

    bool boolean(const std::string& key)
    {
        const json* value = find_member(key);
        if (value != nullptr && !value->is_boolean()) {
            fail(field_error(key, "must be true or false"));
            return false;
        }
        return value != nullptr && value->get<bool>();
    }

    label_set labels(const std::string& key)
    {
        label_set labels;
        const json* value = find_member(key);
        if (value == nullptr) {
            return labels;
        }
        if (!value->is_object() || value->size() > max_labels) {
            fail(field_error(key, "must be an object of at most 32 labels"));
            return labels;
        }
        for (const auto& [name, label] : value->items()) {
            if (!label.is_string() || name.size() > max_label_bytes ||
                label.get_ref<const std::string&>().size() > max_label_bytes) {
                fail(field_error(key, "must have names and string values of at most 128 bytes"));
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
    const json* find_member(const std::string& key) const
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

/// Decodes a name or value of a query: percent escapes, and `+` as a space. Invalid escapes are
/// kept.
std::string decode_percent(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                               std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                               std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
        if (!is_escape) {
            result.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        result.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
        i += 2;
    }
    return result;
}

} // namespace

request_uri parse_request_uri(const std::string& path_and_query)
{
    const auto question_mark = path_and_query.find('?');
    request_uri uri;
    uri.path = path_and_query.substr(0, question_mark);
    if (question_mark == std::string::npos) {
        return uri;
    }
    const std::string query = path_and_query.substr(question_mark + 1);
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string item = query.substr(begin, end - begin);
        const auto equals = item.find('=');
        const std::string value = equals == std::string::npos ? "" : item.substr(equals + 1);
        uri.query[decode_percent(item.substr(0, equals))] = decode_percent(value);
        begin = end + 1;
    }
    return uri;
}

absl::StatusOr<call_destination> parse_call_path(const std::string& path)
{
    const std::size_t prefix = std::string(call_prefix).size();
    if (path.rfind(call_prefix, 0) != 0) {
        return absl::InvalidArgumentError("path: must begin with /call/");
    }
    const std::size_t end = std::min(path.find_first_of("/?", prefix), path.size());
    const std::string service = path.substr(prefix, end - prefix);
    if (service.empty() || service.size() > max_name_bytes) {
        return absl::InvalidArgumentError("path: must contain a service name of 1 to 128 bytes");
    }
    const std::string rest = path.substr(end);
    const bool has_path = !rest.empty() && rest[0] == '/';
    return call_destination{service_name(service), has_path ? rest : "/" + rest};
}

absl::StatusOr<announcement> parse_announcement(const std::string& body)
{
    json_reader reader(body);
    announcement result;
    result.event.service = service_name(reader.string("service", true));
    result.event.labels = reader.labels("labels");
    result.event.slots = static_cast<int>(reader.integer("slots", 1, 1, max_slots));
    result.event.warm_up = millis(reader.integer("warm_up_ms", 0, 0, max_announced_time_ms));
    result.event.lease = millis(reader.integer("lease_ms", 10'000, 100, max_announced_time_ms));
    result.event.target_incarnation = static_cast<std::uint64_t>(
        reader.integer("incarnation", 0, 0, std::numeric_limits<std::int64_t>::max()));
    const absl::StatusOr<endpoint> address = parse_endpoint(reader.string("address", true));
    if (!address.ok()) {
        reader.fail(field_error("address", std::string(address.status().message())));
    }
    if (result.event.service.value().size() > max_name_bytes) {
        reader.fail(field_error("service", "must be at most 128 bytes long"));
    }
    if (!reader.status().ok()) {
        return reader.status();
    }
    result.address = *address;
    return result;
}

absl::StatusOr<policy_change> parse_policy_change(const std::string& body)
{
    json_reader reader(body);
    policy_change change;
    change.change_id = reader.string("change_id", true);
    change.remove = reader.boolean("remove");
    change.based_on = static_cast<std::uint64_t>(
        reader.integer("based_on", 0, 0, std::numeric_limits<std::int64_t>::max()));
    change.owner = owner_name(reader.string("owner", change.remove));
    change.name = reader.string("name", change.remove);
    change.yaml = reader.string("policy", !change.remove);
    if (change.change_id.size() > max_name_bytes) {
        reader.fail(field_error("change_id", "must be at most 128 bytes long"));
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
    const std::string* authorization = find_header(headers, "authorization");
    if (authorization == nullptr || authorization->rfind(bearer_prefix, 0) != 0) {
        return nullptr;
    }
    const std::string token = authorization->substr(std::string(bearer_prefix).size());
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
