#ifndef FESCUEDYKE_POLICY_LABELS_H
#define FESCUEDYKE_POLICY_LABELS_H

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

/// \file
/// Labels of services and requests, and selectors that match them.

namespace fescuedyke {

/// Label values by key.
using label_set = std::map<std::string, std::string>;

/// Maximum number of labels of one request or service.
constexpr std::size_t max_labels = 32;

/// Maximum length of a label key or a label value.
constexpr std::size_t max_label_bytes = 128;

/// Parses `key=value,key=value`. Fails with kInvalidArgument on an empty key, a duplicate key, or
/// labels that exceed the limits above.
absl::StatusOr<label_set> parse_labels(const std::string& text);

/// How a requirement tests a label. Only \c not_in holds if the label is absent.
enum class selector_operator { equals, in, not_in, exists };

/// A condition on one label.
struct requirement {
    std::string label;
    selector_operator op = selector_operator::exists;
    std::vector<std::string> values;
};

/// A conjunction of requirements. An empty selector matches everything.
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
