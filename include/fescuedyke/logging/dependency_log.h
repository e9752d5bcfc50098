#ifndef FESCUEDYKE_LOGGING_DEPENDENCY_LOG_H
#define FESCUEDYKE_LOGGING_DEPENDENCY_LOG_H

#include "fescuedyke/logging/json_log.h"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

/// \file
/// Tells the log when something that a process depends on is lost and when it is back.

namespace fescuedyke {

class dependency_log {
public:
    using writer = std::function<void(log_level, const std::string& event, const nlohmann::json&)>;

    /// Writes "NAME-failed" with the error, and "NAME-regained".
    explicit dependency_log(std::string name, writer write = write_log);

    /// Takes the present state; writes a line if it is another than the last one, or fails for
    /// another reason.
    void on_status(const absl::Status& status);

private:
    std::string name_;
    writer write_;
    absl::Status logged_status_;
};

} // namespace fescuedyke

#endif
