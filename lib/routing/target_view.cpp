#include "fescuedyke/routing/target_view.h"

namespace fescuedyke {

std::string to_string(const endpoint& address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace fescuedyke
