#ifndef FESCUEDYKE_RETRY_RETRY_BUDGET_H
#define FESCUEDYKE_RETRY_RETRY_BUDGET_H

/// \file
/// Keeps retries from one caller's node to one service a small share of its successes.

namespace fescuedyke {

/// A token budget: a success earns a fraction of a retry, a retry costs one.
class retry_budget {
public:
    /// \p share is the retries earned by one success; \p most is the greatest number saved up.
    retry_budget(double share, double most);

    void on_success();

    /// Takes the token for one retry. Returns whether there was one.
    bool spend();

    double tokens() const { return tokens_; }

private:
    double share_;
    double most_;
    double tokens_;
};

} // namespace fescuedyke

#endif
