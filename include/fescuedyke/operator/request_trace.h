#ifndef FESCUEDYKE_OPERATOR_REQUEST_TRACE_H
#define FESCUEDYKE_OPERATOR_REQUEST_TRACE_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <istream>
#include <map>
#include <string>
#include <vector>

/// \file
/// One request's path through the system, out of the logs of several processes.

namespace fescuedyke {

/// Collects what logs say of one request, and what its instances believed when it came.
class request_trace {
public:
    explicit request_trace(std::string request);

    /// Reads a log. Lines may have a prefix; what is no line of ours is counted and passed over.
    void read(std::istream& log);

    /// Decisions on the request, in the order of their times.
    std::vector<nlohmann::json> decisions() const;

    /// The latest changes of belief before the first decision, of the instances that took part.
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

/// Prints the trace as text or as JSON lines. Returns whether the logs tell of the request.
bool print_trace(const request_trace& trace, bool as_json, std::ostream& out);

} // namespace fescuedyke

#endif
