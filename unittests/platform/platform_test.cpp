#include "platform/dialect.h"
#include "platform/document.h"
#include "platform/report.h"
#include "platform/settings.h"

#include <gtest/gtest.h>

#include <limits>

namespace fescuedyke::platform {
namespace {

// The messages below are hand-written in the format of the platform.

const std::string valid_document = R"({
  "Version": "0000000c",
  "Routes": {
    "Columns": ["Name","Host","Prefix","Kind","Timeout","LatencyTarget","Priority","Service",
                "Attempts","Split"],
    "Rows": [["r1","shop.example","/buy/","non_idempotent","6000ms","1500ms",0,"pay",2,null],
             ["r2","shop.example","/look/","idempotent","2.5s","1s",2,null,3,
              [{"Service":"shelf","Weight":90},{"Service":"pay","Weight":10}]],
             ["r3","shop.example","/send/","upload","800ms","500ms",7,"pay",1,null]]},
  "Services": {"Columns":["Name","HealthPath","MaxConns","Protocol","Tls"],
               "Rows":[["pay","/healthz",718,"h1",false],["shelf","/healthz",20,"h1",false]]},
  "Limits": {"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",
             "IdleTimeout":"15000ms"}})";

std::string document_with(const std::string& from, const std::string& to)
{
    std::string text = valid_document;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(document, parses_routes_services_and_limits)
{
    const absl::StatusOr<document> d = parse_document(valid_document);
    ASSERT_TRUE(d.ok()) << d.status();
    EXPECT_EQ(d->version, 12U);
    ASSERT_EQ(d->routes.size(), 3U);
    const route& buy = d->routes[0];
    EXPECT_FALSE(buy.effective_policy.idempotent);
    EXPECT_EQ(buy.effective_policy.cls, priority_class::critical);
    EXPECT_EQ(buy.effective_policy.deadline, millis(6000));
    EXPECT_EQ(buy.latency_objective, millis(1500));
    EXPECT_EQ(buy.max_targets, 2);
    const route& look = d->routes[1];
    EXPECT_TRUE(look.effective_policy.idempotent);
    EXPECT_EQ(look.effective_policy.deadline, millis(2500));
    ASSERT_EQ(look.weighted_services.size(), 2U);
    EXPECT_EQ(look.weighted_services[0].service.value(), "shelf");
    EXPECT_DOUBLE_EQ(look.weighted_services[0].weight, 90);
    EXPECT_FALSE(d->routes[2].effective_policy.idempotent) << "an upload must not be sent twice";
    EXPECT_EQ(d->routes[2].effective_policy.cls, priority_class::low);
    EXPECT_EQ(d->limits.max_head_bytes, 16384U);
    EXPECT_EQ(d->limits.idle_timeout, millis(15'000));
}

TEST(document, rejects_each_kind_of_invalid_field)
{
    const std::vector<std::pair<std::string, std::string>> invalid_edits = {
        {"\"pay\",2", "\"unknown\",2"},
        {"\"Weight\":90},{\"Service\":\"pay\",\"Weight\":10}",
         "\"Weight\":0},{\"Service\":\"pay\",\"Weight\":0}"},
        {"\"1500ms\",0", "\"66000ms\",0"},
        {"\"shop.example\",\"/buy/\"", "\"\",\"/buy/\""},
        {"\"0000000c\"", "\"c\""},
        {"\"0000000c\"", "12"},
        {"\"6000ms\"", "\"6000\""},
        {"\"6000ms\"", "6000"},
        {"\"non_idempotent\"", "\"sometimes\""},
        {"\"Limits\"", "\"Limit\""},
        {"\"MaxBodyBytes\":67108864", "\"MaxBodyBytes\":\"many\""},
        {"\"Columns\":[\"Name\",\"HealthPath\"", "\"Columns\":[\"Name\""},
        {"\"Weight\":90", "\"Weight\":-90"},
    };
    for (const auto& [from, to] : invalid_edits) {
        EXPECT_FALSE(parse_document(document_with(from, to)).ok()) << from << " -> " << to;
    }
}

TEST(document, rejects_every_truncation)
{
    for (std::size_t size = 0; size < valid_document.size(); ++size) {
        EXPECT_FALSE(parse_document(valid_document.substr(0, size)).ok()) << size;
    }
}

TEST(report, parses_fields_and_rejects_wrong_types_and_values)
{
    const std::string valid_report =
        R"({"Service":"pay","Address":"10.0.0.9:8080","Zone":"a","Version":"v1","Slots":103,)"
        R"("State":"draining","ColdLeft":"1.5s","Seq":4,"born":1700000000000})";
    const absl::StatusOr<target_report> r = parse_report("i-1", valid_report);
    ASSERT_TRUE(r.ok()) << r.status();
    EXPECT_EQ(r->identity, "i-1");
    EXPECT_EQ(r->started_at_ms, 1700000000000U);
    EXPECT_EQ(r->sequence, 4U);
    EXPECT_EQ(r->slots, 103);
    EXPECT_EQ(r->state, target_state::draining);
    EXPECT_EQ(r->warm_up, millis(1500));
    const std::vector<std::pair<std::string, std::string>> invalid_edits = {
        {"103", "\"103\""},
        {"103", "-1"},
        {"\"draining\"", "\"x\""},
        {"\"pay\"", "7"},
        {"\"10.0.0.9:8080\"", "\"nowhere\""},
        {"1700000000000", "1.5"},
        {"1700000000000", "\"1\""},
        {"\"Seq\":4", "\"Seq\":null"},
        {"\"Slots\":103,", ""},
        {"\"1.5s\"", "1.5"},
    };
    for (const auto& [from, to] : invalid_edits) {
        std::string text = valid_report;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(parse_report("i-1", text).ok()) << text;
    }
    EXPECT_FALSE(parse_report("", valid_report).ok());
    EXPECT_FALSE(parse_report("i-1", "\xff\xfe").ok());
    EXPECT_FALSE(parse_report("i-1", "[1]").ok());
}

TEST(report, deregistration_may_name_the_start_time)
{
    constexpr std::uint64_t any_start = std::numeric_limits<std::uint64_t>::max();
    EXPECT_EQ(parse_deregistered_start(R"({"born":7})").value(), 7U);
    EXPECT_EQ(parse_deregistered_start("").value(), any_start);
    EXPECT_EQ(parse_deregistered_start("{}").value(), any_start);
}

// Guards against a target that is taken out of service by a deregistration that cannot be read.
TEST(report, a_deregistration_that_cannot_be_read_names_no_start)
{
    for (const char* body : {R"({"born":"x"})", R"({"born":1.5})", R"({"born":-1})", "born", "["}) {
        EXPECT_FALSE(parse_deregistered_start(body).ok()) << body;
    }
}

/// Returns arrays nested to a depth at which a recursive function exhausts the stack.
std::string nested_arrays()
{
    constexpr std::size_t depth = 2'000'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against a process that ends on an entry that is nested too deeply (issue 28, report 1).
TEST(report, an_entry_nested_without_bound_is_rejected_or_ignored)
{
    const std::string nested = nested_arrays();
    EXPECT_FALSE(parse_report("i-1", nested).ok());
    EXPECT_FALSE(parse_report("i-1", R"({"Service":)" + nested + "}").ok());
    EXPECT_FALSE(parse_report("i-1", R"({"Extra":)" + nested + "}").ok());
    EXPECT_FALSE(parse_deregistered_start(R"({"born":)" + nested + "}").ok());
}

// Guards against a process that ends on a number that is too large, or that takes it for another
// one (issue 28, report 1).
TEST(report, numbers_out_of_range_are_rejected)
{
    const std::string valid_report =
        R"({"Service":"pay","Address":"10.0.0.9:8080","Slots":103,"State":"ready","Seq":4})";
    ASSERT_TRUE(parse_report("i-1", valid_report).ok());
    const std::vector<std::pair<std::string, std::string>> edits = {
        {"103", "1e999"},
        {"103", "-1e999"},
        {"103", std::string(400, '9')},
        {"103", "18446744073709551616"},
        {"103", "4294967297"},
        {"\"Seq\":4", "\"Seq\":" + std::string(400, '9')},
        {":8080", ":0"},
        {":8080", ":65536"},
        {":8080", ":-1"},
        {":8080", ":4294975376"},
        {":8080", ":" + std::string(400, '9')},
        {":8080", ""},
    };
    for (const auto& [from, to] : edits) {
        std::string text = valid_report;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(parse_report("i-1", text).ok()) << text;
    }
}

// Guards against a member that ends on a document that is nested too deeply.
TEST(document, a_document_nested_without_bound_is_rejected)
{
    const std::string nested = nested_arrays();
    EXPECT_FALSE(parse_document(nested).ok());
    EXPECT_FALSE(parse_document(R"({"Version":)" + nested + "}").ok());
    EXPECT_FALSE(
        parse_document(R"({"Routes":{"Columns":["Name"],"Rows":[[)" + nested + "]]}}").ok());
    EXPECT_FALSE(parse_document(R"({"Routes":{"Columns":)" + nested + R"(,"Rows":[]}})").ok());
}

http_request sample_request()
{
    http_request request;
    request.method = "POST";
    request.path = "/a%2fb//c/../d?z=1&a=%20x&z=2&flag";
    request.headers = {{"Host", "shop.example"},
                       {"Attempt-Id", "9c41"},
                       {"Deadline-Ms", "1500"},
                       {"X-Twice", "1"},
                       {"X-Twice", "2"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"caller-service", "forged"},
                       {"Target-Instance", "i-evil"},
                       {"Transfer-Encoding", "chunked"}};
    request.body = std::make_shared<const std::string>("body");
    return request;
}

TEST(dialect, forwards_all_but_hop_by_hop_and_node_set_headers)
{
    const absl::StatusOr<client_request> read =
        parse_request(sample_request(), service_name("pay"));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->attempt_id, "9c41");
    EXPECT_EQ(read->host, "shop.example");
    EXPECT_EQ(*read->time_left, millis(1500));
    EXPECT_EQ(read->request.path, "/a%2fb//c/../d?z=1&a=%20x&z=2&flag");
    std::vector<std::string> forwarded;
    for (const header& h : read->request.headers) {
        forwarded.push_back(h.name + "=" + h.value);
    }
    const std::vector<std::string> expected = {"Host=shop.example", "Attempt-Id=9c41", "X-Twice=1",
                                               "X-Twice=2", "Caller-Service=pay"};
    EXPECT_EQ(forwarded, expected);
}

TEST(dialect, rejects_missing_attempt_id_or_host_and_malformed_deadline)
{
    for (const char* name : {"Attempt-Id", "Host"}) {
        http_request request = sample_request();
        for (header& h : request.headers) {
            h.name = h.name == name ? "X-Other" : h.name;
        }
        EXPECT_FALSE(parse_request(request, service_name("pay")).ok()) << name;
    }
    http_request request = sample_request();
    request.headers[2].value = "soon";
    EXPECT_FALSE(parse_request(request, service_name("pay")).ok());
}

TEST(dialect, only_requests_that_did_not_run_get_status_503)
{
    const dialect d;
    constexpr int not_run_status = 503;
    const http_response refused = d.to_caller(outcome::not_run(outcome_reason::overloaded), {});
    EXPECT_EQ(refused.status, not_run_status);
    ASSERT_NE(find_header(refused.headers, "Retry-After"), nullptr);
    EXPECT_EQ(*find_header(refused.headers, "Retry-After"), "0.200");
    for (std::size_t i = 0; i < outcome_reason_count; ++i) {
        const auto reason = static_cast<outcome_reason>(i);
        const int status = d.to_caller(outcome::unknown(reason), {}).status;
        EXPECT_TRUE(status == 502 || status == 504) << to_string(reason) << " " << status;
    }
}

TEST(dialect, target_request_carries_identity_deadline_and_attempt_id)
{
    const dialect d;
    dispatch_call call;
    call.request = std::make_shared<http_request>(sample_request());
    call.target_identity = "i-1";
    call.time_left = millis(700);
    const target_request r = d.to_target(call);
    EXPECT_EQ(*find_header(r.extra_headers, "Deadline-Ms"), "700");
    EXPECT_EQ(*find_header(r.extra_headers, "Target-Instance"), "i-1");
    ASSERT_TRUE(r.required_echo.has_value());
    EXPECT_EQ(r.required_echo->value, "9c41");
    http_response response;
    response.status = 503;
    EXPECT_FALSE(d.reports_not_run(response));
    response.headers = {{"not-executed", "1"}};
    EXPECT_TRUE(d.reports_not_run(response));
}

const std::string node_settings_text = R"(
Self:
  NodeName: "side-a-1"
  Ip: "10.1.0.8"
  Zone: "a"
  Region: "north"
  Bootstrap: true
  DataDir: null
  AppAddr: "10.1.0.8:8301"
  Service: "pay"
  Unknown: {x: 1}
Network:
  Listen:
    Inbound: "10.1.0.8:8300"
    Outbound: "10.1.0.8:8304"
    Ready: "10.1.0.8:8302"
    Control: "10.1.0.8:8306"
  PortRange: [7620, 7635]
  Seeds: ["10.1.0.12:8306", "10.2.0.10:8306"]
Terms:
  Tolerate: {Machines: 2, Zones: 0, Regions: 0}
  Bounds: {Grace: "4.5s"}
)";

TEST(settings, parses_platform_settings_into_process_settings)
{
    const absl::StatusOr<settings> s = parse_settings(node_settings_text);
    ASSERT_TRUE(s.ok()) << s.status();
    EXPECT_EQ(s->service.value(), "pay");
    EXPECT_EQ(s->callers.port, 8304);
    EXPECT_EQ(s->process.peer.port, 7620);
    EXPECT_EQ(s->grace, millis(4500));
    EXPECT_TRUE(s->process.bootstrap);
    EXPECT_EQ(s->process.desired_voters, 5U);
    ASSERT_EQ(s->process.members.size(), 2U);
    EXPECT_EQ(s->process.members[1].name, "10.2.0.10");
    EXPECT_EQ(s->process.members[1].control.port, 7620);
    EXPECT_EQ(s->process.members[1].api.port, 8306);
}

TEST(settings, rejects_missing_addresses_and_malformed_yaml)
{
    std::string text = node_settings_text;
    text.replace(text.find("Ready:"), 6, "Other:");
    EXPECT_FALSE(parse_settings(text).ok());
    EXPECT_FALSE(parse_settings("{").ok());
    EXPECT_FALSE(parse_settings("").ok());
    EXPECT_FALSE(parse_settings("- 1").ok());
    EXPECT_FALSE(parse_settings("Self: 1\nNetwork: 2\n").ok());
}

} // namespace
} // namespace fescuedyke::platform
