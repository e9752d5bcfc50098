#ifndef FESCUEDYKE_OPERATOR_REQUEST_TRACE_H
#define FESCUEDYKE_OPERATOR_REQUEST_TRACE_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <istream>
#include <map>
#include <string>
#include <vector>

/// \file
/// Traces one request through the system from the logs of several processes.

namespace fescuedyke {

/// Collects the decisions on one request from logs, and the changes of state on which the instances
/// based them.
class request_trace {
public:
    explicit request_trace(std::string request);

    /// Reads a log. Lines may have a prefix; lines in another format are counted and skipped.
    void read(std::istream& log);

    /// Returns the decisions on the request in order of time.
    std::vector<nlohmann::json> decisions() const;

    /// Returns, for each instance that made a decision, the latest event of each kind that changed
    /// its state before the first decision.
    std::vector<nlohmann::json> state_changes() const;

    std::size_t lines_read() const { return lines_read_; }
    std::size_t lines_skipped() const { return lines_skipped_; }

private:
    std::string request_;
    std::size_t lines_read_ = 0;
    std::size_t lines_skipped_ = 0;
    std::vector<nlohmann::json> decisions_;
    std::vector<nlohmann::json> state_changes_;
};

/// Prints the trace as text or as JSON lines. Returns whether the logs mention the request.
bool print_trace(const request_trace& trace, bool as_json, std::ostream& out);

} // namespace fescuedyke

#endif
