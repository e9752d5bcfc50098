#include "fescuedyke/logging/dependency_log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fescuedyke {

dependency_log::dependency_log(std::string name, writer write)
    : name_(std::move(name)), write_(std::move(write))
{
}

void dependency_log::on_status(const absl::Status& status)
{
    if (status == logged_status_) {
        return;
    }
    logged_status_ = status;
    if (status.ok()) {
        write_(log_level::info, name_ + "-regained", nlohmann::json::object());
        return;
    }
    write_(log_level::error, name_ + "-failed", {{"message", std::string(status.message())}});
}

} // namespace fescuedyke
