#include "fescuedyke/operator/request_trace.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <set>
#include <utility>

namespace fescuedyke {

namespace {

using json = nlohmann::json;

/// Events that change what a process goes by when it decides on requests.
constexpr std::array<const char*, 9> belief_events = {"document-in-force",
                                                      "configuration-fresh",
                                                      "configuration-not-fresh",
                                                      "members-asked",
                                                      "target-ready",
                                                      "target-leaves",
                                                      "stopping",
                                                      "started",
                                                      "reload"};

bool is_line(const json& line)
{
    return line.is_object() && line.contains("time") && line["time"].is_string() &&
           line.contains("instance") && line["instance"].is_string() && line.contains("event") &&
           line["event"].is_string() && line.contains("details") && line["details"].is_object();
}

std::string text_of(const json& line, const char* key)
{
    return line[key].get<std::string>();
}

bool is_earlier(const json& a, const json& b)
{
    return text_of(a, "time") < text_of(b, "time");
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
        if (!is_line(line)) {
            ++skipped_;
            continue;
        }
        ++lines_;
        const json& details = line["details"];
        const auto request = details.find("request");
        if (request != details.end() && *request == request_) {
            decisions_.push_back(std::move(line));
            continue;
        }
        const std::string event = text_of(line, "event");
        if (std::find(belief_events.begin(), belief_events.end(), event) != belief_events.end()) {
            beliefs_.push_back(std::move(line));
        }
    }
}

std::vector<json> request_trace::decisions() const
{
    std::vector<json> sorted = decisions_;
    std::stable_sort(sorted.begin(), sorted.end(), is_earlier);
    return sorted;
}

std::vector<json> request_trace::beliefs() const
{
    const std::vector<json> path = decisions();
    if (path.empty()) {
        return {};
    }
    std::set<std::string> instances;
    for (const json& line : path) {
        instances.insert(text_of(line, "instance"));
    }
    std::map<std::pair<std::string, std::string>, json> latest;
    std::vector<json> sorted = beliefs_;
    std::stable_sort(sorted.begin(), sorted.end(), is_earlier);
    for (const json& line : sorted) {
        const std::string instance = text_of(line, "instance");
        if (instances.count(instance) != 0 && is_earlier(line, path.front())) {
            latest[{instance, text_of(line, "event")}] = line;
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
    const std::vector<json> path = trace.decisions();
    const std::vector<json> beliefs = trace.beliefs();
    if (as_json) {
        for (const std::vector<json>* part : {&beliefs, &path}) {
            for (const json& line : *part) {
                out << line.dump() << "\n";
            }
        }
        return !path.empty();
    }
    const auto print = [&](const json& line) {
        out << text_of(line, "time") << "  " << text_of(line, "instance") << "  "
            << text_of(line, "event");
        for (const auto& [key, value] : line["details"].items()) {
            if (key != "request") {
                out << "  " << key << "="
                    << (value.is_string() ? value.get<std::string>() : value.dump());
            }
        }
        out << "\n";
    };
    out << "what its instances went by\n";
    std::for_each(beliefs.begin(), beliefs.end(), print);
    out << "what was decided on it\n";
    std::for_each(path.begin(), path.end(), print);
    out << trace.lines() << " lines read, " << trace.skipped() << " passed over\n";
    return !path.empty();
}

} // namespace fescuedyke
