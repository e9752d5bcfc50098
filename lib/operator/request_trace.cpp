#include "fescuedyke/operator/request_trace.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <set>
#include <utility>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

/// Log events that report a change of the state on which a process bases its decisions on requests.
constexpr std::array<const char*, 9> state_change_events = {"document-in-force",
                                                            "configuration-fresh",
                                                            "configuration-not-fresh",
                                                            "members-asked",
                                                            "target-ready",
                                                            "target-leaves",
                                                            "stopping",
                                                            "started",
                                                            "reload"};

bool is_log_line(const json& line)
{
    return line.is_object() && line.contains("time") && line["time"].is_string() &&
           line.contains("instance") && line["instance"].is_string() && line.contains("event") &&
           line["event"].is_string() && line.contains("details") && line["details"].is_object();
}

std::string string_field(const json& line, const char* key)
{
    return line[key].get<std::string>();
}

bool is_earlier(const json& a, const json& b)
{
    return string_field(a, "time") < string_field(b, "time");
}

} // namespace

request_trace::request_trace(std::string request) : request_(std::move(request)) {}

void request_trace::read(std::istream& log)
{
    for (std::string text; std::getline(log, text);) {
        const auto begin = text.find('{');
        json line = begin == std::string::npos
                        ? json()
                        : json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(),
                                      nullptr, false);
        if (!is_log_line(line)) {
            ++lines_skipped_;
            continue;
        }
        ++lines_read_;
        const json& details = line["details"];
        const auto request = details.find("request");
        if (request != details.end() && *request == request_) {
            decisions_.push_back(std::move(line));
            continue;
        }
        const std::string event = string_field(line, "event");
        if (std::find(state_change_events.begin(), state_change_events.end(), event) !=
            state_change_events.end()) {
            state_changes_.push_back(std::move(line));
        }
    }
}

std::vector<json> request_trace::decisions() const
{
    std::vector<json> sorted = decisions_;
    std::stable_sort(sorted.begin(), sorted.end(), is_earlier);
    return sorted;
}

std::vector<json> request_trace::state_changes() const
{
    const std::vector<json> request_decisions = decisions();
    if (request_decisions.empty()) {
        return {};
    }
    std::set<std::string> instances;
    for (const json& line : request_decisions) {
        instances.insert(string_field(line, "instance"));
    }
    std::map<std::pair<std::string, std::string>, json> latest;
    std::vector<json> sorted = state_changes_;
    std::stable_sort(sorted.begin(), sorted.end(), is_earlier);
    for (const json& line : sorted) {
        const std::string instance = string_field(line, "instance");
        if (instances.count(instance) != 0 && is_earlier(line, request_decisions.front())) {
            latest[{instance, string_field(line, "event")}] = line;
        }
    }
    std::vector<json> result;
    result.reserve(latest.size());
    for (const auto& [key, line] : latest) {
        result.push_back(line);
    }
    std::stable_sort(result.begin(), result.end(), is_earlier);
    return result;
}

bool print_trace(const request_trace& trace, bool as_json, std::ostream& out)
{
    const std::vector<json> request_decisions = trace.decisions();
    const std::vector<json> state_changes = trace.state_changes();
    if (as_json) {
        for (const std::vector<json>* part : {&state_changes, &request_decisions}) {
            for (const json& line : *part) {
                out << line.dump() << "\n";
            }
        }
        return !request_decisions.empty();
    }
    const auto print = [&](const json& line) {
        out << string_field(line, "time") << "  " << string_field(line, "instance") << "  "
            << string_field(line, "event");
        for (const auto& [key, value] : line["details"].items()) {
            if (key != "request") {
                out << "  " << key << "="
                    << (value.is_string() ? value.get<std::string>() : value.dump());
            }
        }
        out << "\n";
    };
    out << "state of the instances before the request\n";
    std::for_each(state_changes.begin(), state_changes.end(), print);
    out << "decisions on the request\n";
    std::for_each(request_decisions.begin(), request_decisions.end(), print);
    out << trace.lines_read() << " lines read, " << trace.lines_skipped() << " skipped\n";
    return !request_decisions.empty();
}

} // namespace fescuedyke
