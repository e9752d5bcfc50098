#ifndef FESCUEDYKE_RETRY_RETRY_BUDGET_H
#define FESCUEDYKE_RETRY_RETRY_BUDGET_H

/// \file
/// Limits the retries from one node to one service to a small fraction of its successes.

namespace fescuedyke {

/// A token bucket that a success refills by a fraction of a token and a retry drains by one token.
class retry_budget {
public:
    /// \p tokens_per_success is the refill by one success; \p max_tokens is the capacity and the
    /// initial content.
    retry_budget(double tokens_per_success, double max_tokens);

    void on_success();

    /// Takes the token for one retry. Returns whether one was available.
    bool spend();

    double tokens() const { return tokens_; }

private:
    double tokens_per_success_;
    double max_tokens_;
    double tokens_;
};

} // namespace fescuedyke

#endif
