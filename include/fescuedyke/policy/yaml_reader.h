#ifndef FESCUEDYKE_POLICY_YAML_READER_H
#define FESCUEDYKE_POLICY_YAML_READER_H

#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/// \file
/// Checked reading of YAML: every fault is collected with its key and line, none stops the reading.

namespace fescuedyke {

/// The faults found in one document, in the order met.
class yaml_errors {
public:
    /// Adds a fault of \p key at the line of \p node.
    void add(const YAML::Node& node, const std::string& key, const std::string& message);

    bool empty() const { return lines_.empty(); }

    /// Returns all faults, a line each, as kInvalidArgument; OK when there are none.
    absl::Status status() const;

private:
    std::vector<std::string> lines_;
};

/// Reads the keys of one YAML mapping and remembers which were asked for.
class yaml_mapping {
public:
    /// \p path names the mapping in messages; it is empty for the document itself.
    yaml_mapping(const YAML::Node& node, std::string path, yaml_errors& errors);

    bool has(const std::string& key);

    /// Each reader returns \p otherwise when the key is missing or faulty.
    std::string string(const std::string& key, const std::string& default_value);
    bool boolean(const std::string& key, bool default_value);
    std::int64_t integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                         std::int64_t max);
    /// Reads a time with its unit: `250ms`, `2s` or `1m`.
    millis duration(const std::string& key, millis default_value, millis min, millis max);
    /// Reads a size with its unit: `512B`, `64KiB` or `64MiB`. The result is in bytes.
    std::uint64_t bytes(const std::string& key, std::uint64_t default_value, std::uint64_t max);
    /// Reads a text that must be there and not be empty.
    std::string required_string(const std::string& key);
    /// Returns the child mapping, or an empty one.
    yaml_mapping child(const std::string& key);
    /// Returns the items of a list, or none.
    std::vector<YAML::Node> items(const std::string& key);
    std::vector<std::string> strings(const std::string& key);

    /// Adds a fault for every key that was not asked for.
    void reject_unknown_keys();

    void add_error(const std::string& key, const std::string& message);

private:
    YAML::Node find(const std::string& key);
    std::string full_path(const std::string& key) const;

    YAML::Node node_;
    std::string path_;
    yaml_errors& errors_;
    std::set<std::string> requested_keys_;
};

/// Parses \p text into a mapping node. Fails with kInvalidArgument and the line on bad YAML.
absl::StatusOr<YAML::Node> load_yaml_mapping(const std::string& text);

} // namespace fescuedyke

#endif
