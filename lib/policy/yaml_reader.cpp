#include "fescuedyke/policy/yaml_reader.h"

#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace fescuedyke {

namespace {

struct unit {
    const char* name;
    std::int64_t factor;
};

constexpr unit time_units[] = {{"ms", 1}, {"s", 1000}, {"m", 60 * 1000}};
constexpr unit size_units[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}};

/// Bounds the number in front of a unit so that the product of both does not overflow.
constexpr std::int64_t max_count = 1'000'000'000'000;

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

template <std::size_t N>
std::optional<std::int64_t> parse_with_unit(const std::string& text, const unit (&units)[N])
{
    std::size_t digits = 0;
    while (digits < text.size() && std::isdigit(static_cast<unsigned char>(text[digits])) != 0) {
        ++digits;
    }
    const std::optional<std::int64_t> count = parse_integer(text.substr(0, digits));
    if (!count || *count > max_count) {
        return std::nullopt;
    }
    for (const unit& u : units) {
        if (text.substr(digits) == u.name) {
            return *count * u.factor;
        }
    }
    return std::nullopt;
}

} // namespace

void yaml_errors::add(const YAML::Node& node, const std::string& key, const std::string& message)
{
    const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
    const std::string where = line > 0 ? "line " + std::to_string(line) + ": " : "";
    lines_.push_back(where + key + ": " + message);
}

absl::Status yaml_errors::status() const
{
    if (lines_.empty()) {
        return absl::OkStatus();
    }
    std::string all;
    for (const std::string& line : lines_) {
        all += (all.empty() ? "" : "\n") + line;
    }
    return absl::InvalidArgumentError(all);
}

yaml_mapping::yaml_mapping(const YAML::Node& node, std::string path, yaml_errors& errors)
    : node_(node), path_(std::move(path)), errors_(errors)
{
}

std::string yaml_mapping::full_path(const std::string& key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

YAML::Node yaml_mapping::find(const std::string& key)
{
    requested_keys_.insert(key);
    if (!node_.IsDefined() || !node_.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return std::as_const(node_)[key];
}

bool yaml_mapping::has(const std::string& key)
{
    const YAML::Node found = find(key);
    return found.IsDefined() && !found.IsNull();
}

void yaml_mapping::add_error(const std::string& key, const std::string& message)
{
    const YAML::Node found = find(key);
    errors_.add(found.IsDefined() ? found : node_, full_path(key), message);
}

std::string yaml_mapping::string(const std::string& key, const std::string& default_value)
{
    if (!has(key)) {
        return default_value;
    }
    const YAML::Node found = find(key);
    if (!found.IsScalar()) {
        add_error(key, "must be a string");
        return default_value;
    }
    return found.Scalar();
}

std::string yaml_mapping::required_string(const std::string& key)
{
    std::string value = string(key, "");
    if (value.empty()) {
        add_error(key, "is missing");
    }
    return value;
}

bool yaml_mapping::boolean(const std::string& key, bool default_value)
{
    if (!has(key)) {
        return default_value;
    }
    const std::string value = string(key, "");
    if (value != "true" && value != "false") {
        add_error(key, "must be true or false");
        return default_value;
    }
    return value == "true";
}

std::int64_t yaml_mapping::integer(const std::string& key, std::int64_t default_value,
                                   std::int64_t min, std::int64_t max)
{
    if (!has(key)) {
        return default_value;
    }
    const std::optional<std::int64_t> value = parse_integer(string(key, ""));
    if (!value || *value < min || *value > max) {
        add_error(key,
                  "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return default_value;
    }
    return *value;
}

millis yaml_mapping::duration(const std::string& key, millis default_value, millis min, millis max)
{
    if (!has(key)) {
        return default_value;
    }
    const std::optional<std::int64_t> value = parse_with_unit(string(key, ""), time_units);
    if (!value) {
        add_error(key, "must be a duration with a unit, such as 250ms, 2s or 1m");
        return default_value;
    }
    if (*value < min.count() || *value > max.count()) {
        add_error(key, "must be from " + std::to_string(min.count()) + "ms to " +
                           std::to_string(max.count()) + "ms");
        return default_value;
    }
    return millis(*value);
}

std::uint64_t yaml_mapping::bytes(const std::string& key, std::uint64_t default_value,
                                  std::uint64_t max)
{
    if (!has(key)) {
        return default_value;
    }
    const std::optional<std::int64_t> value = parse_with_unit(string(key, ""), size_units);
    if (!value || static_cast<std::uint64_t>(*value) > max) {
        add_error(key, "must be a size with a unit, such as 512B, 64KiB or 64MiB, at most " +
                           std::to_string(max) + "B");
        return default_value;
    }
    return static_cast<std::uint64_t>(*value);
}

yaml_mapping yaml_mapping::child(const std::string& key)
{
    const YAML::Node found = find(key);
    if (found.IsDefined() && !found.IsNull() && !found.IsMap()) {
        add_error(key, "must be a mapping");
    }
    return yaml_mapping(found, full_path(key), errors_);
}

std::vector<YAML::Node> yaml_mapping::items(const std::string& key)
{
    const YAML::Node found = find(key);
    if (!found.IsDefined() || found.IsNull()) {
        return {};
    }
    if (!found.IsSequence()) {
        add_error(key, "must be a list");
        return {};
    }
    return {found.begin(), found.end()};
}

std::vector<std::string> yaml_mapping::strings(const std::string& key)
{
    std::vector<std::string> result;
    for (const YAML::Node& item : items(key)) {
        if (!item.IsScalar()) {
            errors_.add(item, full_path(key), "must be a list of strings");
            continue;
        }
        result.push_back(item.Scalar());
    }
    return result;
}

void yaml_mapping::reject_unknown_keys()
{
    if (!node_.IsDefined() || !node_.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const auto& entry : node_) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (requested_keys_.count(key) == 0) {
            errors_.add(entry.first, full_path(key), "is not a known key");
        }
        if (!seen.insert(key).second) {
            errors_.add(entry.first, full_path(key), "is a duplicate key");
        }
    }
}

absl::StatusOr<YAML::Node> load_yaml_mapping(const std::string& text)
{
    try {
        YAML::Node node = YAML::Load(text);
        if (!node.IsMap()) {
            return absl::InvalidArgumentError("the document is not a mapping");
        }
        return node;
    }
    catch (const YAML::Exception& error) {
        return absl::InvalidArgumentError("line " + std::to_string(error.mark.line + 1) + ": " +
                                          error.msg);
    }
}

} // namespace fescuedyke
