#ifndef FESCUEDYKE_POLICY_LABELS_H
#define FESCUEDYKE_POLICY_LABELS_H

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

/// \file
/// Labels on services and requests, and the selectors that choose by them.

namespace fescuedyke {

/// Labels by key.
using label_set = std::map<std::string, std::string>;

/// Most labels one request or service may carry.
constexpr std::size_t max_labels = 32;

/// Longest key or value of a label, in bytes.
constexpr std::size_t max_label_bytes = 128;

/// Reads `key=value,key=value`. Fails with kInvalidArgument on an empty key, a key given twice, or
/// a label over its limits.
absl::StatusOr<label_set> parse_labels(const std::string& text);

/// How a requirement compares a label.
enum class selector_operator { equals, in, not_in, exists };

/// One condition on one label.
struct requirement {
    std::string label;
    selector_operator op = selector_operator::exists;
    std::vector<std::string> values;
};

/// A conjunction of requirements; an empty selector matches everything.
class selector {
public:
    selector() = default;
    explicit selector(std::vector<requirement> requirements);

    /// Returns whether every requirement holds for \p labels.
    bool matches(const label_set& labels) const;

    const std::vector<requirement>& requirements() const { return requirements_; }

private:
    std::vector<requirement> requirements_;
};

} // namespace fescuedyke

#endif
