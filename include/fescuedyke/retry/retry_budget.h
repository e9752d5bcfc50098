#ifndef FESCUEDYKE_RETRY_RETRY_BUDGET_H
#define FESCUEDYKE_RETRY_RETRY_BUDGET_H

/// \file
/// Limits the retries from one node to one service to a small fraction of its calls.

namespace fescuedyke {

/// A token bucket that a call, or its success, refills by a fraction of a token and a retry drains
/// by one token.
class retry_budget {
public:
    /// \p tokens_per_call is the refill; \p max_tokens is the capacity and the initial content.
    retry_budget(double tokens_per_call, double max_tokens);

    /// Adds the tokens of one call.
    void refill();

    /// Takes the token for one retry. Returns whether one was available.
    bool spend();

    double tokens() const { return tokens_; }

private:
    double tokens_per_call_;
    double max_tokens_;
    double tokens_;
};

} // namespace fescuedyke

#endif
