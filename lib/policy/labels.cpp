#include "fescuedyke/policy/labels.h"

#include <algorithm>

namespace fescuedyke {

namespace {

bool contains(const std::vector<std::string>& values, const std::string& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool is_satisfied(const requirement& r, const label_set& labels)
{
    const auto found = labels.find(r.label);
    const bool present = found != labels.end();
    switch (r.op) {
    case selector_operator::exists:
        return present;
    case selector_operator::not_in:
        return !present || !contains(r.values, found->second);
    case selector_operator::equals:
    case selector_operator::in:
        return present && contains(r.values, found->second);
    }
    return false;
}

absl::Status add_label(const std::string& item, label_set& labels)
{
    const auto equals = item.find('=');
    if (equals == std::string::npos || equals == 0) {
        return absl::InvalidArgumentError("labels: '" + item + "' is not of the form key=value");
    }
    std::string key = item.substr(0, equals);
    std::string value = item.substr(equals + 1);
    if (key.size() > max_label_bytes || value.size() > max_label_bytes) {
        return absl::InvalidArgumentError("labels: a key or value exceeds 128 bytes");
    }
    if (!labels.emplace(key, std::move(value)).second) {
        return absl::InvalidArgumentError("labels: '" + key + "' is a duplicate key");
    }
    if (labels.size() > max_labels) {
        return absl::InvalidArgumentError("labels: more than 32 labels");
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<label_set> parse_labels(const std::string& text)
{
    label_set labels;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        if (absl::Status added = add_label(text.substr(begin, end - begin), labels); !added.ok()) {
            return added;
        }
        begin = end + 1;
    }
    return labels;
}

selector::selector(std::vector<requirement> requirements) : requirements_(std::move(requirements))
{
}

bool selector::matches(const label_set& labels) const
{
    return std::all_of(requirements_.begin(), requirements_.end(),
                       [&](const requirement& r) { return is_satisfied(r, labels); });
}

} // namespace fescuedyke
