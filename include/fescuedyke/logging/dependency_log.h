#ifndef FESCUEDYKE_LOGGING_DEPENDENCY_LOG_H
#define FESCUEDYKE_LOGGING_DEPENDENCY_LOG_H

#include "fescuedyke/logging/json_log.h"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

/// \file
/// Logs when a dependency of the process, such as a disk, fails and when it recovers.

namespace fescuedyke {

/// Tracks the status of one dependency and writes a line only when the status changes.
class dependency_log {
public:
    using writer = std::function<void(log_level, const std::string& event, const nlohmann::json&)>;

    /// \p name is the prefix of the events: "NAME-failed", with the error message, and
    /// "NAME-regained".
    explicit dependency_log(std::string name, writer write = write_log);

    /// Reports the current status. Writes a line if the status differs from the last reported one;
    /// this includes a failure with another error.
    void on_status(const absl::Status& status);

private:
    std::string name_;
    writer write_;
    absl::Status logged_status_;
};

} // namespace fescuedyke

#endif
