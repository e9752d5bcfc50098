#include "fescuedyke/daemon/json_body.h"

namespace fescuedyke {

absl::StatusOr<nlohmann::json> parse_json_object(const std::string& body)
{
    using json = nlohmann::json;
    bool too_deep = false;
    // The parser reports the depth around a value: 0 for the outermost one.
    const auto check_depth = [&too_deep](int depth, json::parse_event_t event, json&) {
        const bool begins =
            event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        too_deep = too_deep || (begins && depth >= max_json_depth);
        return !too_deep;
    };
    json object = json::parse(body, check_depth, false);
    if (too_deep) {
        return absl::InvalidArgumentError("the body is nested more deeply than " +
                                          std::to_string(max_json_depth) + " levels");
    }
    if (!object.is_object()) {
        return absl::InvalidArgumentError("the body must be a JSON object");
    }
    return object;
}

} // namespace fescuedyke
