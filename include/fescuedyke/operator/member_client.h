#ifndef FESCUEDYKE_OPERATOR_MEMBER_CLIENT_H
#define FESCUEDYKE_OPERATOR_MEMBER_CLIENT_H

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// \file
/// How the operators' command speaks to processes.

namespace fescuedyke {

/// What a process answered.
struct api_response {
    int status = 0;
    nlohmann::json body;
};

/// Requests over libcurl, one after the other.
class member_client {
public:
    /// \p members are `IP:port` of the members' HTTP side, tried in turn.
    member_client(std::vector<std::string> members, std::string token);

    /// Asks one process. Fails with kUnavailable when it does not answer.
    absl::StatusOr<api_response> send_request(const std::string& address, const std::string& method,
                                              const std::string& path,
                                              const std::string& body) const;

    /// Asks the members in turn until one answers for itself.
    absl::StatusOr<api_response> get_from_any_member(const std::string& path) const;

    /// Asks every member; those that do not answer are left out and counted in \p unreachable.
    std::vector<api_response> get_from_all_members(const std::string& path,
                                                   std::size_t& unreachable) const;

    /// Sends a change to the leader, wherever it is; the same change is sent again while its
    /// outcome is not known. Fails with kUnavailable when it stays unknown.
    absl::StatusOr<api_response> send_policy_change(const std::string& body) const;

private:
    std::vector<std::string> members_;
    std::string token_;
};

} // namespace fescuedyke

#endif
