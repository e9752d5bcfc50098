#ifndef FESCUEDYKE_OPERATOR_MEMBER_CLIENT_H
#define FESCUEDYKE_OPERATOR_MEMBER_CLIENT_H

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// \file
/// HTTP client for the operator API of members and nodes.

namespace fescuedyke {

/// The response of a process to an API request.
struct api_response {
    int status = 0;
    nlohmann::json body;
};

/// Sends requests through libcurl, one at a time.
class member_client {
public:
    /// \p members are the `IP:port` addresses of the members' operator API, tried in this order.
    member_client(std::vector<std::string> members, std::string token);

    /// Sends a request to one process at `IP:port`. Fails with kUnavailable if it does not respond.
    absl::StatusOr<api_response> send_request(const std::string& address, const std::string& method,
                                              const std::string& path,
                                              const std::string& body) const;

    /// Sends a GET request to the members in order until one serves it. Fails with kUnavailable if
    /// none does.
    absl::StatusOr<api_response> get_from_any_member(const std::string& path) const;

    /// Sends a GET request to every member and returns the responses of those that serve it; the
    /// others are counted in \p unreachable.
    std::vector<api_response> get_from_all_members(const std::string& path,
                                                   std::size_t& unreachable) const;

    /// Sends a policy change to the leader, which the other members name in their responses.
    /// Resends the same change while its outcome is unknown, and fails with kUnavailable if the
    /// outcome remains unknown.
    absl::StatusOr<api_response> send_policy_change(const std::string& body) const;

private:
    std::vector<std::string> members_;
    std::string token_;
};

} // namespace fescuedyke

#endif
