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
/// A validating YAML reader, which collects every error with its key and line instead of stopping
/// at the first.

namespace fescuedyke {

/// The errors in one document, in the order of their detection.
class yaml_errors {
public:
    /// Adds an error for \p key at the line of \p node; without a line if \p node has none.
    void add(const YAML::Node& node, const std::string& key, const std::string& message);

    bool empty() const { return lines_.empty(); }

    /// Returns all errors, one per line, as kInvalidArgument, or OK if there are none.
    absl::Status status() const;

private:
    std::vector<std::string> lines_;
};

/// Reads the keys of one YAML mapping and records which keys were requested.
class yaml_mapping {
public:
    /// \p path identifies the mapping in error messages; it is empty for the document root.
    yaml_mapping(const YAML::Node& node, std::string path, yaml_errors& errors);

    bool has(const std::string& key);

    /// Returns the string under \p key. Like the readers below, returns \p default_value if the key
    /// is missing or the value is invalid; an invalid value is also recorded as an error.
    std::string string(const std::string& key, const std::string& default_value);
    bool boolean(const std::string& key, bool default_value);
    /// Reads an integer from \p min to \p max.
    std::int64_t integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                         std::int64_t max);
    /// Reads a duration from \p min to \p max, with a unit: `250ms`, `2s` or `1m`.
    millis duration(const std::string& key, millis default_value, millis min, millis max);
    /// Reads a size of at most \p max bytes, with a unit: `512B`, `64KiB` or `64MiB`. Returns the
    /// number of bytes.
    std::uint64_t bytes(const std::string& key, std::uint64_t default_value, std::uint64_t max);
    /// Reads a string. Records an error if it is missing or empty.
    std::string required_string(const std::string& key);
    /// Returns the mapping under \p key, or an empty one if the key is missing. Records an error if
    /// the value is not a mapping.
    yaml_mapping child(const std::string& key);
    /// Returns the elements of the list under \p key, or none if the key is missing. Records an
    /// error if the value is not a list.
    std::vector<YAML::Node> items(const std::string& key);
    /// Like items(), but records an error for every element that is not a string and omits it.
    std::vector<std::string> strings(const std::string& key);

    /// Records an error for every key that was not requested and for every duplicate key. Must be
    /// called after all keys have been read.
    void reject_unknown_keys();

    /// Records an error at the line of \p key, or of the mapping if the key is missing.
    void add_error(const std::string& key, const std::string& message);

private:
    YAML::Node find(const std::string& key);
    std::string full_path(const std::string& key) const;

    YAML::Node node_;
    std::string path_;
    yaml_errors& errors_;
    std::set<std::string> requested_keys_;
};

/// Parses \p text, whose root must be a mapping. Fails with kInvalidArgument otherwise; the message
/// for a syntax error contains its line.
absl::StatusOr<YAML::Node> load_yaml_mapping(const std::string& text);

} // namespace fescuedyke

#endif
